//! JSON-RPC calls between entries: heartbeats, updates and journal commands.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::burn::BurnTable;
use carawaybarrow_core::freshness::{HEARTBEAT_INTERVAL, Heartbeat};
use carawaybarrow_core::ids::{EntryId, Incarnation, JobId, Revision, ShardId, TaskId};
use carawaybarrow_core::journal::{JobCommand, JobOutcome};
use carawaybarrow_core::units::{Millis, MonoTime};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::server::{RpcModule, Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::config_sync::{ConfigUpdate, VersionedMembers};
use crate::entry::Entry;
use crate::shards::{JobStatus, SubmitError};

/// Timeout of all calls but `journal.submit`; a later heartbeat answer would be of little use.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of journal commands, which wait for a group commit.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(8);

/// JSON-RPC error code of journal commands that were not written.
const NOT_WRITTEN_CODE: i32 = 1;

/// JSON-RPC error code of journal commands that may have been written.
const UNKNOWN_CODE: i32 = 2;

/// JSON-RPC error code of journal calls to an entry that doesn't own the shard.
const NOT_OWNER_CODE: i32 = 3;

/// The server for peers can't listen on its address.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen for peers on {address}: {source}"))]
pub struct PeerListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Heartbeat with the job shards of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerState {
    /// Heartbeat of the sender.
    pub heartbeat: Heartbeat,
    /// Job shards that the sender owns.
    pub shards: Vec<ShardId>,
}

/// Errors of calls to peers.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The call had no effect: the peer's address isn't known, or the peer rejected the call.
    #[snafu(display("the peer was not called or rejected the call"))]
    NotApplied,
    /// No answer came, or an unexpected one; the call may have taken effect.
    #[snafu(display("it is unknown whether the call to the peer took effect"))]
    Unknown,
}

/// State of a peer from its last heartbeat or heartbeat answer.
#[derive(Clone, Debug)]
struct KnownPeer {
    incarnation: Incarnation,
    shards: Vec<ShardId>,
    last_heartbeat_at: MonoTime,
}

/// Clients of the peers and the last state received from each peer.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<Map<SocketAddr, HttpClient>>,
    known: Mutex<Map<EntryId, KnownPeer>>,
}

impl Peers {
    fn client(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let builder = HttpClientBuilder::default().request_timeout(JOURNAL_TIMEOUT);
        let client = builder.build(format!("http://{address}")).ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: ArrayParams,
        timeout: Duration,
    ) -> Result<T, PeerError> {
        let Some(client) = self.client(address) else { return NotAppliedSnafu.fail() };
        match async_std::future::timeout(timeout, client.request(method, params)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(jsonrpsee::core::ClientError::Call(e))) if e.code() != UNKNOWN_CODE => NotAppliedSnafu.fail(),
            _ => UnknownSnafu.fail(),
        }
    }

    fn record_state(&self, state: &PeerState, now: MonoTime) {
        let known = KnownPeer {
            incarnation: state.heartbeat.incarnation,
            shards: state.shards.clone(),
            last_heartbeat_at: now,
        };
        self.known.lock().unwrap_or_else(PoisonError::into_inner).insert(state.heartbeat.entry.clone(), known);
    }

    /// Time since the last heartbeat or heartbeat answer of an incarnation of an entry; `None` if there was none, or if
    /// the last one is from another incarnation.
    #[must_use]
    pub fn time_since_heartbeat(&self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) -> Option<Millis> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(entry).filter(|k| k.incarnation == incarnation).map(|k| now.since(k.last_heartbeat_at))
    }

    /// The entry that reported that it owns a shard, if the report is at most `max_age` old.
    #[must_use]
    pub fn find_owner(&self, shard: ShardId, now: MonoTime, max_age: Millis) -> Option<EntryId> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let owns = |k: &KnownPeer| k.shards.contains(&shard) && now.since(k.last_heartbeat_at) <= max_age;
        known.iter().find(|(_, k)| owns(k)).map(|(id, _)| id.clone())
    }
}

fn params<T: Serialize>(value: &T) -> ArrayParams {
    let mut params = ArrayParams::new();
    params.insert(value).expect("messages have JSON forms");
    params
}

impl Entry {
    /// Sends heartbeats to all other members at the heartbeat interval.
    pub async fn send_heartbeats(self: Arc<Self>) {
        loop {
            self.heartbeat_all().await;
            task::sleep(HEARTBEAT_INTERVAL.to_duration()).await;
        }
    }

    /// Sends one heartbeat to each other member, without waiting for the answers.
    pub async fn heartbeat_all(self: &Arc<Self>) {
        let members = self.config_state.members();
        let others = members.members.current.iter().filter(|(id, _)| **id != self.settings.entry);
        for (id, member) in others {
            let (entry, id) = (Arc::clone(self), id.clone());
            let (incarnation, address) = (member.process.incarnation, member.process.peer_address);
            // One slow peer must not delay the heartbeats to the others.
            task::spawn(async move { entry.heartbeat_peer(&id, incarnation, address).await });
        }
    }

    async fn heartbeat_peer(&self, id: &EntryId, incarnation: Incarnation, address: SocketAddr) {
        let sent = self.clock.now();
        let state = self.build_state_for(id, incarnation);
        self.metrics.count_peer_call("heartbeat");
        let answer = self.peers.call::<PeerState>(address, "peer.heartbeat", params(&state), CALL_TIMEOUT).await;
        let Ok(answer) = answer else { return };
        let now = self.clock.now();
        self.peers.record_state(&answer, now);
        let is_behind = {
            let mut freshness = self.freshness();
            let is_behind = freshness.handle_answer(answer.heartbeat.clone(), sent, now);
            let fresh = freshness.check_freshness(now).is_ok();
            drop(freshness);
            self.record_freshness(fresh);
            is_behind
        };
        if is_behind {
            self.fetch_updates(address, &answer.heartbeat).await;
        }
    }

    /// Fetches the configuration and the member list from a peer that holds newer ones.
    async fn fetch_updates(&self, address: SocketAddr, heartbeat: &Heartbeat) {
        let revision = self.config_state.config().config.revision;
        if heartbeat.config_revision > revision {
            self.metrics.count_peer_call("config");
            let answer = self.peers.call(address, "config.since", params(&revision), CALL_TIMEOUT).await;
            if let Ok(update) = answer {
                self.apply_config_update(update);
            }
        }
        if heartbeat.members_revision > self.config_state.members().members.revision {
            let answer = self.peers.call(address, "members.get", ArrayParams::new(), CALL_TIMEOUT).await;
            if let Ok(update) = answer {
                self.apply_members(update);
            }
        }
    }

    /// Fetches the configuration from the configured seeds, which allows a start during an outage of the store.
    pub async fn fetch_config_from_seeds(&self) {
        for address in &self.settings.seeds {
            let revision = self.config_state.config().config.revision;
            let answer = self.peers.call(*address, "config.since", params(&revision), CALL_TIMEOUT).await;
            if let Ok(update) = answer {
                self.apply_config_update(update);
            }
        }
    }

    fn build_state_for(&self, id: &EntryId, incarnation: Incarnation) -> PeerState {
        let heartbeat = self.freshness().heartbeat(id, incarnation, self.clock.now());
        PeerState { heartbeat, shards: self.shards.owned() }
    }

    fn answer_heartbeat(self: &Arc<Self>, state: &PeerState) -> PeerState {
        let now = self.clock.now();
        self.peers.record_state(state, now);
        let is_behind = self.freshness().handle_heartbeat(&state.heartbeat, now);
        if is_behind && let Some(address) = self.find_peer_address(&state.heartbeat.entry) {
            let (entry, heartbeat) = (Arc::clone(self), state.heartbeat.clone());
            task::spawn(async move { entry.fetch_updates(address, &heartbeat).await });
        }
        self.build_state_for(&state.heartbeat.entry, state.heartbeat.incarnation)
    }

    /// Sends journal commands to the owner of their shard.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached or doesn't own the shard, or if the outcome isn't known.
    pub async fn submit_to_peer(
        &self,
        owner: &EntryId,
        shard: ShardId,
        commands: &[JobCommand],
    ) -> Result<Vec<JobOutcome>, PeerError> {
        let address = self.find_peer_address(owner).ok_or(PeerError::NotApplied)?;
        let mut args = params(&shard);
        args.insert(commands).expect("commands have JSON forms");
        self.metrics.count_peer_call("journal");
        self.peers.call(address, "journal.submit", args, JOURNAL_TIMEOUT).await
    }

    /// Reads a job from the owner of its shard.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached or doesn't own the shard.
    pub async fn get_job_from_peer(&self, owner: &EntryId, job: &JobId) -> Result<Option<JobStatus>, PeerError> {
        let address = self.find_peer_address(owner).ok_or(PeerError::NotApplied)?;
        self.peers.call(address, "journal.get", params(job), CALL_TIMEOUT).await
    }

    /// Asks an entry which of `tasks` it doesn't watch.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn ask_unwatched(&self, entry: &EntryId, tasks: &[TaskId]) -> Result<Vec<TaskId>, PeerError> {
        let address = self.find_peer_address(entry).ok_or(PeerError::NotApplied)?;
        self.metrics.count_peer_call("unwatched");
        self.peers.call(address, "tasks.unwatched", params(&tasks), CALL_TIMEOUT).await
    }

    /// Notifies all peers that this entry wrote a shard directly, so that its owner reloads it at once.
    pub fn announce_write(self: &Arc<Self>, shard: ShardId) {
        let members = self.config_state.members();
        let others = members.members.current.iter().filter(|(id, _)| **id != self.settings.entry);
        for (_, member) in others {
            let (entry, address) = (Arc::clone(self), member.process.peer_address);
            self.metrics.count_peer_call("written");
            // If the call is lost, the owner observes the write at its next refresh of the shard.
            task::spawn(async move {
                entry.peers.call::<()>(address, "journal.written", params(&shard), CALL_TIMEOUT).await
            });
        }
    }

    /// Reads the burn counts of an entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn get_burn_from_peer(&self, peer: &EntryId) -> Result<BurnTable, PeerError> {
        let address = self.find_peer_address(peer).ok_or(PeerError::NotApplied)?;
        self.metrics.count_peer_call("burn");
        self.peers.call(address, "burn.get", ArrayParams::new(), CALL_TIMEOUT).await
    }

    /// Reads an entry's explanation of a job that it holds; `None` if it doesn't hold the job.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn explain_at_peer(&self, peer: &EntryId, job: &JobId) -> Result<Option<Value>, PeerError> {
        let address = self.find_peer_address(peer).ok_or(PeerError::NotApplied)?;
        self.metrics.count_peer_call("explain");
        self.peers.call(address, "explain.job", params(job), CALL_TIMEOUT).await
    }

    fn find_peer_address(&self, entry: &EntryId) -> Option<SocketAddr> {
        self.config_state.members().members.current.get(entry).map(|m| m.process.peer_address)
    }
}

fn build_module(entry: Arc<Entry>) -> Result<RpcModule<Arc<Entry>>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(entry);
    module.register_method("peer.heartbeat", |params, entry, _| {
        let state = params.one::<PeerState>()?;
        Ok::<_, ErrorObjectOwned>(entry.answer_heartbeat(&state))
    })?;
    module.register_method("config.since", |params, entry, _| {
        let revision = params.one::<Revision>()?;
        Ok::<ConfigUpdate, ErrorObjectOwned>(entry.config_since(revision))
    })?;
    module.register_method("members.get", |_, entry, _| {
        Ok::<VersionedMembers, ErrorObjectOwned>(VersionedMembers::clone(&entry.config_state.members()))
    })?;
    module
        .register_method("burn.get", |_, entry, _| Ok::<BurnTable, ErrorObjectOwned>(entry.dispatch().burn.clone()))?;
    module.register_method("explain.job", |params, entry, _| {
        let job = params.one::<JobId>()?;
        Ok::<Option<Value>, ErrorObjectOwned>(entry.explain_held_job(&job))
    })?;
    module.register_async_method("journal.submit", |params, entry, _| async move {
        let (shard, commands) = params.parse::<(ShardId, Vec<JobCommand>)>()?;
        entry.submit_as_owner(shard, commands).await.map_err(into_error)
    })?;
    module.register_method("tasks.unwatched", |params, entry, _| {
        let tasks = params.one::<Vec<TaskId>>()?;
        Ok::<Vec<TaskId>, ErrorObjectOwned>(entry.find_unwatched(tasks))
    })?;
    module.register_async_method("journal.written", |params, entry, _| async move {
        entry.refresh_owned(params.one::<ShardId>()?).await;
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method("journal.get", |params, entry, _| {
        let job = params.one::<JobId>()?;
        entry.get_owned_job(&job).ok_or_else(|| ErrorObjectOwned::owned(NOT_OWNER_CODE, "not the owner", None::<()>))
    })?;
    Ok(module)
}

fn into_error(error: SubmitError) -> ErrorObjectOwned {
    let code = match error {
        SubmitError::NotOwner => NOT_OWNER_CODE,
        SubmitError::NotWritten { .. } => NOT_WRITTEN_CODE,
        SubmitError::Unknown => UNKNOWN_CODE,
    };
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}

/// Binds the server for peers. Returns the bound address and the server.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn listen(address: SocketAddr) -> Result<(SocketAddr, Server), PeerListenError> {
    let server = Server::builder().build(address).await.context(PeerListenSnafu { address })?;
    let address = server.local_addr().context(PeerListenSnafu { address })?;
    Ok((address, server))
}

/// Starts to answer calls of peers.
///
/// # Panics
///
/// Panics if two methods have the same name, which is an error in this module.
#[must_use]
pub fn serve(server: Server, entry: Arc<Entry>) -> ServerHandle {
    let module = build_module(entry).expect("method names are distinct");
    server.start(module)
}
