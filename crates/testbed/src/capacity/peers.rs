//! Measures the bytes on an entry's connections, with relays that count them and with a member that only listens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::{future, task};
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::Incarnation;
use carawaybarrow_core::membership::{Members, MembersCommand, Process};
use carawaybarrow_core::units::WallTime;
use http_types::Method;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Whatever};

use super::fixtures::id;
use crate::client::Client;

/// Time within which an entry has to call the listening member.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);

/// A TCP relay to one target that counts the bytes in both directions.
#[derive(Clone, Debug)]
pub struct CountingRelay {
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    pub async fn start(target: SocketAddr) -> Result<Self, Whatever> {
        let listener = TcpListener::bind("127.0.0.1:0").await.whatever_context("the relay can't listen")?;
        let address = listener.local_addr().whatever_context("the relay has no local address")?;
        let bytes = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&bytes);
        task::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else { continue };
                for (from, to) in [(client.clone(), server.clone()), (server, client)] {
                    task::spawn(forward(from, to, Arc::clone(&counter)));
                }
            }
        });
        Ok(Self { address, bytes })
    }

    pub fn bytes(&self) -> f64 {
        self.bytes.load(Ordering::Relaxed) as f64
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, counter: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        counter.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Adds a member named `listener` with this address to the member list in the store.
async fn register_listener(store: SocketAddr, address: SocketAddr) -> Result<(), Whatever> {
    let client = Client::new();
    let read =
        client.get(store, "/kv/members").await.whatever_context("the store doesn't answer a read of the members")?;
    let stored: Value = read.json().whatever_context("the store's answer isn't JSON")?;
    let value = stored["value"].as_str().whatever_context("the store's answer has no value")?;
    let mut members = Members::decode(value.as_bytes()).whatever_context("the stored members can't be decoded")?;
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).whatever_context("the clock is before 1970")?;
    let process = Process {
        incarnation: Incarnation(1),
        peer_address: address,
        client_address: address,
        data_centre: id("dc1"),
        joined_at: WallTime(wall.as_millis() as u64),
    };
    members.apply(&MembersCommand::Join { entry: id("listener"), process });
    let body = String::from_utf8(members.encode()).whatever_context("the encoded members aren't UTF-8")?;
    let path = format!("/kv/members?expect={}", stored["version"]);
    let written = client
        .call(store, Method::Put, &path, &[], &body)
        .await
        .whatever_context("the store doesn't answer a write of the members")?;
    (written.status == 200).then_some(()).whatever_context("the store refused the write of the members")
}

/// Bytes of a heartbeat and of its answer on the wire, with the headers of HTTP.
///
/// A member that only listens receives a heartbeat, which is then forwarded to the entry `peer` for an answer.
pub async fn measure_heartbeat(store: SocketAddr, peer: SocketAddr) -> Result<(usize, usize), Whatever> {
    let listener = TcpListener::bind("127.0.0.1:0").await.whatever_context("the member can't listen")?;
    let address = listener.local_addr().whatever_context("the member has no local address")?;
    register_listener(store, address).await?;
    let (mut caller, _) = future::timeout(HEARTBEAT_TIMEOUT, listener.accept())
        .await
        .whatever_context("no entry called the listening member in time")?
        .whatever_context("the connection of a heartbeat can't be accepted")?;
    let request = read_message(&mut caller).await?;
    let mut entry = TcpStream::connect(peer).await.whatever_context("can't connect to the peer")?;
    entry.write_all(&request).await.whatever_context("the heartbeat can't be sent to the peer")?;
    let answer = read_message(&mut entry).await?;
    Ok((request.len(), answer.len()))
}

/// Reads until no bytes arrive for 300 ms. This finds the end of a single small message, without parsing it.
async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, Whatever> {
    let (mut message, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(Ok(count @ 1..)) = future::timeout(Duration::from_millis(300), stream.read(&mut buf)).await {
        message.extend_from_slice(&buf[..count]);
    }
    (!message.is_empty()).then_some(message).whatever_context("no bytes arrived on the connection")
}
