//! Budget for the connections of callers: how many may be open, how much memory their requests may use, and which of
//! them gives way when the budget is used up.
//!
//! Callers are not trusted. A connection costs memory and a descriptor as long as its client likes, so the one gives way
//! that has waited longest for the end of a request. A request that has arrived whole is served and never gives way.

use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::map::Map;
use crate::units::MonoTime;

/// Part of the descriptors of a VM that callers may use, in percent. The others are for files, entries, workers and the
/// store.
const DESCRIPTOR_PERCENT: u64 = 50;

/// Connections of callers per MB of memory, which is 32 KiB each at a quarter of the memory: buffers of the kernel and
/// the state of the connection, without its request.
const CONNECTIONS_PER_MB: u64 = 8;

/// Part of the memory of a VM that requests of callers may use, in percent.
const REQUEST_MEMORY_PERCENT: u64 = 12;

/// Smallest budget for requests in bytes: some requests of the largest size.
const MIN_REQUEST_BYTES: u64 = 2 << 20;

/// Smallest budget of connections.
const MIN_CONNECTIONS: u64 = 32;

/// Limits for the connections of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum memory of all requests that are being received or served, in bytes.
    pub request_bytes: usize,
}

impl ConnectionLimits {
    /// No limits, for servers that only the installation's own processes call.
    pub const NONE: Self = Self { connections: usize::MAX, request_bytes: usize::MAX };

    /// Limits on a VM with so much memory and so many descriptors.
    #[must_use]
    pub fn for_vm(memory_mb: u64, descriptors: u64) -> Self {
        let by_descriptors = descriptors.saturating_mul(DESCRIPTOR_PERCENT) / 100;
        let by_memory = memory_mb.saturating_mul(CONNECTIONS_PER_MB);
        let connections = by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        let request_bytes = (memory_mb.saturating_mul(1 << 20) / 100).saturating_mul(REQUEST_MEMORY_PERCENT);
        let to_usize = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        Self { connections: to_usize(connections), request_bytes: to_usize(request_bytes.max(MIN_REQUEST_BYTES)) }
    }
}

/// Number of a connection of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Resource of which a budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Open connections.
    Connections,
    /// Memory of requests.
    Memory,
}

/// Whether a connection gets what it asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It does, once these connections are closed.
    Granted(Vec<ConnectionId>),
    /// It must be closed, as all others are being served or have waited for less time.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    address: IpAddr,
    /// Time since which it has waited for the end of a request: when it was opened, or its last request was answered.
    waiting_since: MonoTime,
    is_served: bool,
    bytes: usize,
}

/// What connections use of the budgets.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    connections: usize,
    bytes: usize,
}

impl Usage {
    const fn of(&self, shortage: Shortage) -> usize {
        match shortage {
            Shortage::Connections => self.connections,
            Shortage::Memory => self.bytes,
        }
    }
}

/// Open connections of a server and what they use.
#[derive(Clone, Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    next: u64,
    open: Map<ConnectionId, Connection>,
    /// Connections that are not being served, the one that has waited longest first.
    waiting: BTreeSet<(MonoTime, ConnectionId)>,
    by_address: Map<IpAddr, Usage>,
    bytes: usize,
}

impl Connections {
    /// Creates a budget without connections.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { limits, next: 0, open: Map::default(), waiting: BTreeSet::new(), by_address: Map::default(), bytes: 0 }
    }

    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Memory of all requests in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a connection, which counts as open even if another one has to give way first.
    pub fn open(&mut self, now: MonoTime, address: IpAddr) -> (ConnectionId, Grant) {
        let id = ConnectionId(self.next);
        self.next += 1;
        let mut closed = Vec::new();
        if self.open.len() >= self.limits.connections {
            let Some(victim) = self.find_victim(Shortage::Connections) else { return (id, Grant::Refused) };
            self.close(victim);
            closed.push(victim);
        }
        self.open.insert(id, Connection { address, waiting_since: now, is_served: false, bytes: 0 });
        self.waiting.insert((now, id));
        self.by_address.entry(address).or_default().connections += 1;
        (id, Grant::Granted(closed))
    }

    /// Reserves memory for the request of a connection. Those that give way count as closed. A connection that is not open
    /// any more, or that is the one to give way, is refused.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize) -> Grant {
        let mut closed = Vec::new();
        while self.bytes.saturating_add(bytes) > self.limits.request_bytes {
            match self.find_victim(Shortage::Memory) {
                Some(victim) if victim != id => {
                    self.close(victim);
                    closed.push(victim);
                }
                // What others have given up so far stays free.
                _ => return Grant::Refused,
            }
        }
        let Some(connection) = self.open.get_mut(&id) else { return Grant::Refused };
        connection.bytes += bytes;
        self.by_address.entry(connection.address).or_default().bytes += bytes;
        self.bytes += bytes;
        Grant::Granted(closed)
    }

    /// Records that the request of a connection has arrived whole, so that it doesn't give way. Returns `false` if it has
    /// given way before.
    pub fn begin_service(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.open.get_mut(&id) else { return false };
        connection.is_served = true;
        self.waiting.remove(&(connection.waiting_since, id));
        true
    }

    /// Records that the request of a connection was answered, and releases its memory.
    pub fn end_service(&mut self, id: ConnectionId, now: MonoTime) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        let bytes = std::mem::take(&mut connection.bytes);
        connection.is_served = false;
        self.waiting.remove(&(connection.waiting_since, id));
        connection.waiting_since = now;
        self.waiting.insert((now, id));
        self.by_address.entry(connection.address).or_default().bytes -= bytes;
        self.bytes -= bytes;
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else { return };
        self.waiting.remove(&(connection.waiting_since, id));
        self.bytes -= connection.bytes;
        if let Some(usage) = self.by_address.get_mut(&connection.address) {
            usage.bytes -= connection.bytes;
            usage.connections -= 1;
            if usage.connections == 0 {
                self.by_address.remove(&connection.address);
            }
        }
    }

    /// Connection to close: the one that has waited longest, of the address that uses more than half of the budget if there
    /// is one, else of all. `None` if each is being served or frees nothing.
    fn find_victim(&self, shortage: Shortage) -> Option<ConnectionId> {
        let limit = match shortage {
            Shortage::Connections => self.limits.connections,
            Shortage::Memory => self.limits.request_bytes,
        };
        let is_largest = |(_, usage): &(&IpAddr, &Usage)| usage.of(shortage) > limit / 2;
        let largest = self.by_address.iter().find(is_largest).map(|(address, _)| *address);
        let frees = |c: &Connection| shortage == Shortage::Connections || c.bytes > 0;
        let mut waiting = self.waiting.iter().filter_map(|(_, id)| Some((*id, self.open.get(id)?)));
        let first = waiting.clone().find(|(_, c)| frees(c)).map(|(id, _)| id);
        waiting.find(|(_, c)| frees(c) && largest == Some(c.address)).map(|(id, _)| id).or(first)
    }
}
