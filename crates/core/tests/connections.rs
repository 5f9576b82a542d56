//! Which connections of callers give way when a budget is used up.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use carawaybarrow_core::byte_budget::ByteBudget;
use carawaybarrow_core::connections::{ConnectionId, ConnectionLimits, Connections, Grant};
use carawaybarrow_core::units::MonoTime;
use proptest::collection::vec;
use proptest::prelude::{any, prop_oneof, proptest};
use proptest::strategy::{Just, Strategy};

const LIMITS: ConnectionLimits = ConnectionLimits { connections: 3, request_bytes: 100 };

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn open(connections: &mut Connections, now: u64, client: u8) -> ConnectionId {
    let (id, grant) = connections.open(MonoTime(now), address(client));
    assert_eq!(grant, Grant::Granted(Vec::new()));
    id
}

/// Guards against a full server that accepts nobody, and against one that closes a connection which was used lately.
#[test]
fn connection_that_has_waited_longest_gives_way() {
    let mut connections = Connections::new(LIMITS);
    let ids: Vec<_> = (0..3).map(|n| open(&mut connections, n, n as u8)).collect();
    assert!(connections.begin_service(ids[0]));
    connections.end_service(ids[0], MonoTime(10));
    let (_, grant) = connections.open(MonoTime(11), address(9));
    assert_eq!(grant, Grant::Granted(vec![ids[1]]));
    assert_eq!(connections.len(), 3);
}

/// Guards against a request that is cut off while it is served, and against more connections than the limit.
#[test]
fn served_connections_never_give_way() {
    let mut connections = Connections::new(LIMITS);
    for n in 0..3 {
        let id = open(&mut connections, n, n as u8);
        assert_eq!(connections.reserve(id, 30), Grant::Granted(Vec::new()));
        assert!(connections.begin_service(id));
    }
    let (_, grant) = connections.open(MonoTime(5), address(9));
    assert_eq!(grant, Grant::Refused);
    assert_eq!((connections.len(), connections.bytes()), (3, 90));
}

/// Guards against unfinished requests that use up the memory, so that others are refused.
#[test]
fn memory_is_taken_from_the_request_that_has_waited_longest() {
    let mut connections = Connections::new(LIMITS);
    let ids: Vec<_> = (0..3).map(|n| open(&mut connections, n, n as u8)).collect();
    // The oldest connection uses no memory, so closing it would free none.
    assert_eq!(connections.reserve(ids[1], 50), Grant::Granted(Vec::new()));
    assert_eq!(connections.reserve(ids[2], 50), Grant::Granted(Vec::new()));
    assert_eq!(connections.reserve(ids[0], 40), Grant::Granted(vec![ids[1]]));
    assert_eq!(connections.bytes(), 90);
    assert_eq!(connections.reserve(ids[1], 1), Grant::Refused, "it has given way");
}

/// Guards against a request that closes others, which are younger, only to grow without end itself.
#[test]
fn request_that_has_waited_longest_is_refused_itself() {
    let mut connections = Connections::new(LIMITS);
    let ids: Vec<_> = (0..2).map(|n| open(&mut connections, n, n as u8)).collect();
    assert_eq!(connections.reserve(ids[0], 50), Grant::Granted(Vec::new()));
    assert_eq!(connections.reserve(ids[1], 50), Grant::Granted(Vec::new()));
    assert_eq!(connections.reserve(ids[0], 10), Grant::Refused);
    assert_eq!(connections.len(), 2, "the caller closes it");
}

/// Guards against one address that takes the connections of all others: it gives way itself, although others have waited
/// longer.
#[test]
fn address_that_uses_most_of_a_budget_gives_way_first() {
    let mut connections = Connections::new(LIMITS);
    open(&mut connections, 0, 1);
    let attacker: Vec<_> = (1..3).map(|n| open(&mut connections, n, 7)).collect();
    let (_, grant) = connections.open(MonoTime(9), address(7));
    assert_eq!(grant, Grant::Granted(vec![attacker[0]]));
}

/// Guards against limits at which a small VM serves no request, or a large one gives callers all its descriptors.
#[test]
fn limits_follow_the_vm() {
    let small = ConnectionLimits::for_vm(160, 4_100);
    assert_eq!(small.connections, 1_280);
    assert!(small.request_bytes > 16 << 20 && small.request_bytes < 24 << 20);
    assert_eq!(ConnectionLimits::for_vm(8_192, 4_100).connections, 2_050);
    let tiny = ConnectionLimits::for_vm(0, 0);
    assert!(tiny.connections > 0 && tiny.request_bytes > 262_144 + 16_384);
}

/// Guards against memory that is not released, and against a job that is never accepted because it is larger than the
/// budget.
#[test]
fn byte_budget_is_shared_and_released() {
    let budget = Arc::new(ByteBudget::new(100));
    let first = budget.try_reserve(60).expect("nothing is used");
    assert!(budget.try_reserve(50).is_none());
    let second = budget.try_reserve(40).expect("it fits");
    drop((first, second));
    assert_eq!(budget.used(), 0);
    let large = budget.try_reserve(500).expect("nothing is used");
    assert!(budget.try_reserve(1).is_none());
    drop(large);
    assert!(budget.try_reserve(1).is_some());
}

#[derive(Clone, Debug)]
enum Step {
    Open(u8),
    Reserve(usize, usize),
    Begin(usize),
    End(usize),
    Close(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        any::<u8>().prop_map(|client| Step::Open(client % 3)),
        (0..8_usize, 0..120_usize).prop_map(|(at, bytes)| Step::Reserve(at, bytes)),
        (0..8_usize).prop_map(Step::Begin),
        (0..8_usize).prop_map(Step::End),
        (0..8_usize).prop_map(Step::Close),
        Just(Step::Open(1)),
    ];
    vec(step, 0..60)
}

proptest! {
    /// Guards against budgets that are exceeded or leak, and against a served connection that gives way.
    #[test]
    fn budgets_hold(steps in steps()) {
        let mut connections = Connections::new(LIMITS);
        let mut known: Vec<ConnectionId> = Vec::new();
        let mut served: Vec<ConnectionId> = Vec::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = MonoTime(now as u64);
            let pick = |at: usize| known.get(at % known.len().max(1)).copied();
            let mut closed = Vec::new();
            match step {
                Step::Open(client) => {
                    let (id, grant) = connections.open(now, address(client));
                    if let Grant::Granted(victims) = grant {
                        closed = victims;
                        known.push(id);
                    }
                }
                Step::Reserve(at, bytes) => {
                    if let Some(Grant::Granted(victims)) = pick(at).map(|id| connections.reserve(id, bytes)) {
                        closed = victims;
                    }
                }
                Step::Begin(at) => {
                    if let Some(id) = pick(at).filter(|id| connections.begin_service(*id)) {
                        served.push(id);
                    }
                }
                Step::End(at) => {
                    if let Some(id) = pick(at) {
                        connections.end_service(id, now);
                        served.retain(|s| *s != id);
                    }
                }
                Step::Close(at) => {
                    if let Some(id) = pick(at) {
                        connections.close(id);
                        closed.push(id);
                        served.retain(|s| *s != id);
                    }
                }
            }
            assert!(closed.iter().all(|id| !served.contains(id)), "a served connection gave way");
            known.retain(|id| !closed.contains(id));
            assert!(connections.len() <= LIMITS.connections && connections.bytes() <= LIMITS.request_bytes);
        }
        known.iter().for_each(|id| connections.close(*id));
        assert!(connections.bytes() == 0 || !connections.is_empty());
    }
}
