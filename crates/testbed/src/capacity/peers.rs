//! Bytes on the connections of an entry: relays that count, and a member that only listens.

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

use super::samples::id;
use crate::client::Client;

/// Time within which a message has to come.
const LIMIT: Duration = Duration::from_secs(10);

/// Passes connections on and counts the bytes in both directions.
#[derive(Clone, Debug)]
pub struct Relay {
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Result<Self, Whatever> {
        let listener = TcpListener::bind("127.0.0.1:0").await.whatever_context("can't listen")?;
        let address = listener.local_addr().whatever_context("no address")?;
        let bytes = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&bytes);
        task::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else { continue };
                for (from, to) in [(near.clone(), far.clone()), (far, near)] {
                    task::spawn(copy(from, to, Arc::clone(&counter)));
                }
            }
        });
        Ok(Self { address, bytes })
    }

    pub fn bytes(&self) -> f64 {
        self.bytes.load(Ordering::Relaxed) as f64
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, counter: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        counter.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

async fn join_members(store: SocketAddr, address: SocketAddr) -> Result<(), Whatever> {
    let client = Client::new();
    let read = client.get(store, "/kv/members").await.whatever_context("no members")?;
    let stored: Value = read.json().whatever_context("the store answers in JSON")?;
    let value = stored["value"].as_str().whatever_context("no value")?;
    let mut members = Members::decode(value.as_bytes()).whatever_context("no members")?;
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).whatever_context("no time")?;
    let process = Process {
        incarnation: Incarnation(1),
        peer_address: address,
        client_address: address,
        data_centre: id("dc1"),
        joined_at: WallTime(wall.as_millis() as u64),
    };
    members.apply(&MembersCommand::Join { entry: id("listener"), process });
    let body = String::from_utf8(members.encode()).whatever_context("JSON is text")?;
    let path = format!("/kv/members?expect={}", stored["version"]);
    let written = client.call(store, Method::Put, &path, &[], &body).await.whatever_context("not written")?;
    (written.status == 200).then_some(()).whatever_context("another write to the members came first")
}

/// Bytes of a heartbeat and of its answer on the wire, with the headers of HTTP.
///
/// A member that only listens gets a heartbeat, which is then sent to a real entry for the answer.
pub async fn measure_heartbeat(store: SocketAddr, peer: SocketAddr) -> Result<(usize, usize), Whatever> {
    let listener = TcpListener::bind("127.0.0.1:0").await.whatever_context("can't listen")?;
    let address = listener.local_addr().whatever_context("no address")?;
    join_members(store, address).await?;
    let (mut near, _) = future::timeout(LIMIT, listener.accept())
        .await
        .whatever_context("no heartbeat")?
        .whatever_context("no call")?;
    let request = read_message(&mut near).await?;
    let mut far = TcpStream::connect(peer).await.whatever_context("the peer listens")?;
    far.write_all(&request).await.whatever_context("the peer reads")?;
    let answer = read_message(&mut far).await?;
    Ok((request.len(), answer.len()))
}

/// Reads until nothing more comes for a while, which suits one small message on a connection of its own.
async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, Whatever> {
    let (mut message, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(Ok(count @ 1..)) = future::timeout(Duration::from_millis(300), stream.read(&mut buf)).await {
        message.extend_from_slice(&buf[..count]);
    }
    (!message.is_empty()).then_some(message).whatever_context("an empty message")
}
