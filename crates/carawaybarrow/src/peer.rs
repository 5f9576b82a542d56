//! Messages between entries.

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

use crate::config_sync::{ConfigUpdate, MembersUpdate};
use crate::entry::Entry;
use crate::shards::{JobStatus, SubmitError};

/// Time for an answer to a heartbeat; an answer later than this would be of little use.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for an answer to a journal command, which waits for a group commit.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Error code of a journal command that was not written.
const NOT_WRITTEN: i32 = 1;

/// Error code of a journal command that may have been written.
const UNKNOWN: i32 = 2;

/// Error code of a journal command sent to an entry that doesn't own the shard.
const NOT_OWNER: i32 = 3;

/// A server that can't listen.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen for peers on {address}: {source}"))]
pub struct PeerListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Heartbeat with the roles of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerState {
    /// Heartbeat.
    pub heartbeat: Heartbeat,
    /// Job shards that the sender owns.
    pub shards: Vec<ShardId>,
}

/// A call to a peer without an answer of use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The peer was not reached or did not take the call.
    #[snafu(display("the peer did not take the call"))]
    NotTaken,
    /// The call may have taken effect.
    #[snafu(display("the peer did not tell the outcome"))]
    Unknown,
}

/// What is known about a peer.
#[derive(Clone, Debug)]
struct Known {
    incarnation: Incarnation,
    shards: Vec<ShardId>,
    heard: MonoTime,
}

/// Clients of the peers and what they last said.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<Map<SocketAddr, HttpClient>>,
    known: Mutex<Map<EntryId, Known>>,
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
        limit: Duration,
    ) -> Result<T, PeerError> {
        let Some(client) = self.client(address) else { return NotTakenSnafu.fail() };
        match async_std::future::timeout(limit, client.request(method, params)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(jsonrpsee::core::ClientError::Call(e))) if e.code() != UNKNOWN => NotTakenSnafu.fail(),
            _ => UnknownSnafu.fail(),
        }
    }

    fn note(&self, state: &PeerState, now: MonoTime) {
        let known = Known { incarnation: state.heartbeat.incarnation, shards: state.shards.clone(), heard: now };
        self.known.lock().unwrap_or_else(PoisonError::into_inner).insert(state.heartbeat.entry.clone(), known);
    }

    /// Time since an entry's process was last heard; `None` if never.
    #[must_use]
    pub fn silence(&self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) -> Option<Millis> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(entry).filter(|k| k.incarnation == incarnation).map(|k| now.since(k.heard))
    }

    /// The entry that says that it owns a shard, if it was heard within `limit`.
    #[must_use]
    pub fn find_owner(&self, shard: ShardId, now: MonoTime, limit: Millis) -> Option<EntryId> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let owns = |k: &Known| k.shards.contains(&shard) && now.since(k.heard) <= limit;
        known.iter().find(|(_, k)| owns(k)).map(|(id, _)| id.clone())
    }
}

fn params<T: Serialize>(value: &T) -> ArrayParams {
    let mut params = ArrayParams::new();
    params.insert(value).expect("messages have JSON forms");
    params
}

impl Entry {
    /// Sends heartbeats to all members.
    pub async fn send_heartbeats(self: Arc<Self>) {
        loop {
            self.heartbeat_all().await;
            task::sleep(HEARTBEAT_INTERVAL.to_duration()).await;
        }
    }

    /// Sends one heartbeat to each member and takes the answers.
    pub async fn heartbeat_all(self: &Arc<Self>) {
        let members = self.holder.members();
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
        let state = self.describe_to(id, incarnation);
        self.metrics.count_peer_call("heartbeat");
        let answer = self.peers.call::<PeerState>(address, "peer.heartbeat", params(&state), HEARTBEAT_TIMEOUT).await;
        let Ok(answer) = answer else { return };
        let now = self.clock.now();
        self.peers.note(&answer, now);
        let behind = {
            let mut freshness = self.freshness();
            let behind = freshness.handle_answer(answer.heartbeat.clone(), sent, now);
            let fresh = freshness.is_fresh(now).is_ok();
            drop(freshness);
            self.note_fresh(fresh);
            behind
        };
        if behind {
            self.catch_up(address, &answer.heartbeat).await;
        }
    }

    /// Asks a peer that holds something newer for it.
    async fn catch_up(&self, address: SocketAddr, heartbeat: &Heartbeat) {
        let revision = self.holder.config().config.revision;
        if heartbeat.config_revision > revision {
            self.metrics.count_peer_call("config");
            let answer = self.peers.call(address, "config.since", params(&revision), HEARTBEAT_TIMEOUT).await;
            if let Ok(update) = answer {
                self.take_config_update(update);
            }
        }
        if heartbeat.members_revision > self.holder.members().members.revision {
            let answer = self.peers.call(address, "members.get", ArrayParams::new(), HEARTBEAT_TIMEOUT).await;
            if let Ok(update) = answer {
                self.take_members(update);
            }
        }
    }

    /// Asks the configured seeds for a configuration, which serves a start during an outage of the store.
    pub async fn ask_seeds(&self) {
        for address in &self.settings.seeds {
            let revision = self.holder.config().config.revision;
            let answer = self.peers.call(*address, "config.since", params(&revision), HEARTBEAT_TIMEOUT).await;
            if let Ok(update) = answer {
                self.take_config_update(update);
            }
        }
    }

    fn describe_to(&self, id: &EntryId, incarnation: Incarnation) -> PeerState {
        let heartbeat = self.freshness().heartbeat(id, incarnation, self.clock.now());
        PeerState { heartbeat, shards: self.shards.owned() }
    }

    fn answer_heartbeat(self: &Arc<Self>, state: &PeerState) -> PeerState {
        let now = self.clock.now();
        self.peers.note(state, now);
        let behind = self.freshness().handle_heartbeat(&state.heartbeat, now);
        if behind && let Some(address) = self.peer_of(&state.heartbeat.entry) {
            let (entry, heartbeat) = (Arc::clone(self), state.heartbeat.clone());
            task::spawn(async move { entry.catch_up(address, &heartbeat).await });
        }
        self.describe_to(&state.heartbeat.entry, state.heartbeat.incarnation)
    }

    /// Sends journal commands to the owner of their shard.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached or doesn't own the shard, or the outcome isn't known.
    pub async fn submit_to_peer(
        &self,
        owner: &EntryId,
        shard: ShardId,
        commands: &[JobCommand],
    ) -> Result<Vec<JobOutcome>, PeerError> {
        let address = self.peer_of(owner).ok_or(PeerError::NotTaken)?;
        let mut args = params(&shard);
        args.insert(commands).expect("commands have JSON forms");
        self.metrics.count_peer_call("journal");
        self.peers.call(address, "journal.submit", args, JOURNAL_TIMEOUT).await
    }

    /// Asks the owner of a shard for a job.
    ///
    /// # Errors
    ///
    /// Fails if the owner can't be reached or doesn't own the shard.
    pub async fn get_job_from_peer(&self, owner: &EntryId, job: &JobId) -> Result<Option<JobStatus>, PeerError> {
        let address = self.peer_of(owner).ok_or(PeerError::NotTaken)?;
        self.peers.call(address, "journal.get", params(job), HEARTBEAT_TIMEOUT).await
    }

    /// Asks an entry which of these tasks it doesn't watch.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn ask_unwatched(&self, entry: &EntryId, tasks: &[TaskId]) -> Result<Vec<TaskId>, PeerError> {
        let address = self.peer_of(entry).ok_or(PeerError::NotTaken)?;
        self.metrics.count_peer_call("unwatched");
        self.peers.call(address, "tasks.unwatched", params(&tasks), HEARTBEAT_TIMEOUT).await
    }

    /// Tells all peers that a shard was written without its owner, so that the owner reads it at once.
    pub fn announce_write(self: &Arc<Self>, shard: ShardId) {
        let members = self.holder.members();
        let others = members.members.current.iter().filter(|(id, _)| **id != self.settings.entry);
        for (_, member) in others {
            let (entry, address) = (Arc::clone(self), member.process.peer_address);
            self.metrics.count_peer_call("written");
            // If the call is lost, the owner sees the write at its next look at the shard.
            task::spawn(async move {
                entry.peers.call::<()>(address, "journal.written", params(&shard), HEARTBEAT_TIMEOUT).await
            });
        }
    }

    /// Asks an entry for its burn counts.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn get_burn_from_peer(&self, peer: &EntryId) -> Result<BurnTable, PeerError> {
        let address = self.peer_of(peer).ok_or(PeerError::NotTaken)?;
        self.metrics.count_peer_call("burn");
        self.peers.call(address, "burn.get", ArrayParams::new(), HEARTBEAT_TIMEOUT).await
    }

    /// Asks an entry what it knows of a job.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be reached.
    pub async fn explain_at_peer(&self, peer: &EntryId, job: &JobId) -> Result<Option<Value>, PeerError> {
        let address = self.peer_of(peer).ok_or(PeerError::NotTaken)?;
        self.metrics.count_peer_call("explain");
        self.peers.call(address, "explain.job", params(job), HEARTBEAT_TIMEOUT).await
    }

    fn peer_of(&self, entry: &EntryId) -> Option<SocketAddr> {
        self.holder.members().members.current.get(entry).map(|m| m.process.peer_address)
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
        Ok::<MembersUpdate, ErrorObjectOwned>(MembersUpdate::clone(&entry.holder.members()))
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
        entry.get_owned_job(&job).ok_or_else(|| ErrorObjectOwned::owned(NOT_OWNER, "not the owner", None::<()>))
    })?;
    Ok(module)
}

fn into_error(error: SubmitError) -> ErrorObjectOwned {
    let code = match error {
        SubmitError::NotOwner => NOT_OWNER,
        SubmitError::NotWritten { .. } => NOT_WRITTEN,
        SubmitError::Unknown => UNKNOWN,
    };
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}

/// Starts to listen for peers. Returns the handle and the address.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn listen(address: SocketAddr) -> Result<(SocketAddr, Server), PeerListenError> {
    let server = Server::builder().build(address).await.context(PeerListenSnafu { address })?;
    let address = server.local_addr().context(PeerListenSnafu { address })?;
    Ok((address, server))
}

/// Serves peers.
///
/// # Panics
///
/// Panics if two methods have the same name, which is an error in this module.
#[must_use]
pub fn serve(server: Server, entry: Arc<Entry>) -> ServerHandle {
    let module = build_module(entry).expect("method names are distinct");
    server.start(module)
}
