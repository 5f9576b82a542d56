//! Blocking HTTP/1.1 with one thread a connection: servers that can fall silent, break connections or crash, and a client.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(k, _)| k == name).map_or("", |(_, v)| v)
    }
}

pub enum Action {
    Reply(u16, String),
    /// No answer: the connection stays open and returns nothing further.
    Silent,
    /// The connection is reset or closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Action + Send + Sync>;

/// A listening server. `stop` closes the listener and all connections, as the end of a process does.
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Server {
        let listener = (0..100)
            .find_map(|_| {
                let bound = TcpListener::bind(address).ok();
                if bound.is_none() {
                    thread::sleep(Duration::from_millis(20));
                }
                bound
            })
            .expect("the address of a stand-in is free");
        listener.set_nonblocking(true).unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let (is_stopped, streams) = (Arc::clone(&stopped), Arc::clone(&open));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            streams.lock().unwrap().push(copy);
                        }
                        let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
                        thread::spawn(move || serve(stream, &handler, &is_stopped));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Server { stopped, open }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, stopped: &AtomicBool) {
    let mut buf = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buf) {
        let Some(request) = parse_request(&head, body) else { break };
        let action = handler(&request);
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        match action {
            Action::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice()).is_err() {
                    break;
                }
            }
            Action::Silent => {
                let mut rest = [0; 4096];
                while !stopped.load(Ordering::SeqCst) && matches!(stream.read(&mut rest), Ok(1..)) {}
                break;
            }
            Action::Close => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Reads a message: its head and its body.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16384];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => buf.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let field = |name: &str| {
        head.lines().find_map(|l| {
            let (k, v) = l.split_once(':')?;
            k.eq_ignore_ascii_case(name).then(|| v.trim().to_owned())
        })
    };
    let length: usize = field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => buf.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Some((head, body))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%'
            && let Some(value) = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok())
        {
            out.push(value);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_request(head: &str, body: Vec<u8>) -> Option<Request> {
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (unescape(k), unescape(v)));
    let headers = lines.filter_map(|l| l.split_once(':')).map(|(k, v)| (k.to_owned(), v.trim().to_owned()));
    Some(Request { method, path: path.to_owned(), query: query.collect(), headers: headers.collect(), body })
}

/// Sends one request on a new connection. Returns the status and the body; `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    for (k, v) in headers {
        head.push_str(&format!("{k}: {v}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
