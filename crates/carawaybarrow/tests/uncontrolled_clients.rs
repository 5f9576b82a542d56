//! Clients that send more than the limits allow, or never finish their requests. The processes must live, stay within the
//! memory and the descriptors of their VM, and answer an ordinary caller.

mod installation;

use std::fs;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_std::io::{self, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::{HOST, KEYED_QUEUE_PREFIX};
use futures::future;

use installation::{Installation, KEY, Size};

/// One crowd at a time, as each loads the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Memory of the VM in MB.
const MEMORY_MB: u64 = 64;

/// Descriptors of the VM.
const MAX_DESCRIPTORS: usize = 300;

/// Longest time that a client spends on its request. A client that the server no longer reads from stops then.
const CLIENT_LIMIT: Duration = Duration::from_secs(10);

/// Time between checks whether a process still reads what was sent, and the largest number of such checks.
const SETTLING_INTERVAL: Duration = Duration::from_millis(500);
const SETTLING_CHECKS: usize = 60;

/// CPU time in ticks that an entry uses in such an interval without requests, at most.
const IDLE_TICKS: u64 = 10;

/// Attempts until the entry accepts a first job.
const START_ATTEMPTS: usize = 200;

/// Attempts of the ordinary caller, each on a connection of its own.
const ORDINARY_ATTEMPTS: usize = 10;

/// What a client sends before it stops and keeps its connection open.
#[derive(Clone, Copy, Debug)]
enum Sent {
    /// A chunked body of `bytes` in chunks of `chunk` bytes, without its end.
    Chunks { bytes: usize, chunk: usize },
    /// A body of `bytes` that the head declares one byte longer.
    Length { bytes: usize },
    /// A header of `bytes` without a line end.
    Header { bytes: usize },
    /// Lines of headers, `bytes` in all, without the end of the head.
    Headers { bytes: usize },
    /// Empty lines, `bytes` in all, and no request.
    EmptyLines { bytes: usize },
    /// Half a request line.
    HalfLine,
    /// A whole job of many steps of one task.
    Steps { count: usize },
}

impl Sent {
    fn encode(self) -> Vec<u8> {
        let head = |more: &str| {
            format!("POST {KEYED_QUEUE_PREFIX}00000000000000cc HTTP/1.1\r\nhost: {HOST}\r\nx-key: {KEY}\r\n{more}")
        };
        let mut text = match self {
            Self::Chunks { .. } => head("transfer-encoding: chunked\r\n\r\n"),
            Self::Length { bytes } => head(&format!("content-length: {}\r\n\r\n", bytes + 1)),
            Self::Header { .. } => head("x-long: "),
            Self::Headers { .. } => head(""),
            Self::EmptyLines { .. } => String::new(),
            Self::HalfLine => "POST /sho".to_owned(),
            Self::Steps { count } => {
                let steps = vec!["{\"count\":1}"; count].join(",");
                // It is due in the year 2100.
                let schedule = "\"start-at-ms\":4102444800000,\"interval-ms\":1000,\"repeat-count\":1";
                let body = format!("{{\"spec\":\"50\",{schedule},\"steps\":[{steps}]}}");
                head(&format!("content-length: {}\r\n\r\n{body}", body.len()))
            }
        };
        match self {
            Self::Chunks { bytes, chunk } => {
                let one = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
                text.push_str(&one.repeat(bytes / chunk));
            }
            Self::Length { bytes } | Self::Header { bytes } => text.push_str(&"a".repeat(bytes)),
            Self::Headers { bytes } => text.push_str(&"x-more: aaaaaaaaaaaaaaaaaaaaaa\r\n".repeat(bytes / 32)),
            Self::EmptyLines { bytes } => text.push_str(&"\r\n".repeat(bytes / 2)),
            Self::HalfLine | Self::Steps { .. } => {}
        }
        text.into_bytes()
    }
}

/// Sends a request that does not end. Returns the connection, which is open unless the server has closed it.
async fn send(entry: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let attempt = async {
        let mut stream = TcpStream::connect(entry).await?;
        // An error means that the server has closed the connection.
        let _ = stream.write_all(bytes).await;
        Ok(stream)
    };
    io::timeout(CLIENT_LIMIT, attempt).await.ok()
}

/// Peak of the memory of a process in MB.
fn peak_memory_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is listed");
    line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number of kB") / 1_024
}

fn count_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).expect("the process runs").count()
}

/// Waits until the process has read what was sent: its CPU time no longer rises as fast as while it reads.
async fn settle(process: u32) {
    let mut last = (peak_memory_mb(process), cpu_ticks(process));
    for _ in 0..SETTLING_CHECKS {
        task::sleep(SETTLING_INTERVAL).await;
        let now = (peak_memory_mb(process), cpu_ticks(process));
        if now.0 == last.0 && now.1 - last.1 <= IDLE_TICKS {
            return;
        }
        last = now;
    }
}

/// CPU time of a process in ticks of the system's clock, which has 100 in a second.
fn cpu_ticks(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number of ticks")).sum()
}

/// Lets `clients` clients send the same to one entry, and checks what must hold beside their open connections.
fn check_crowd(seed: u64, clients: usize, sent: Sent) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    task::block_on(async {
        let limits = format!("memory-mb = {MEMORY_MB}\nmax-fds = {MAX_DESCRIPTORS}\n");
        let size = Size::SMALL;
        let installation = Installation::start_with_limits(seed, size, size.entries, &limits).await;
        installation::await_start(&installation, &Caller::new(KEY)).await;
        let entry = installation.addresses()[1];
        // The entry that accepted the first job may be another one.
        let first = Job { id: "00000000000000ee".to_owned(), steps: vec![1], run_time_ms: Some(50) };
        for _ in 0..START_ATTEMPTS {
            if Caller::new(KEY).submit(entry, &first).await == Answer::Yes(String::new()) {
                break;
            }
            task::sleep(Duration::from_millis(100)).await;
        }
        let process = installation.entries[1].lock().expect("the lock is not poisoned").id().expect("it runs");
        let bytes = sent.encode();
        let crowd: Vec<_> = future::join_all((0..clients).map(|_| send(entry, &bytes))).await;
        let open = crowd.iter().flatten().count();
        settle(process).await;
        assert_eq!(open, clients, "the entry did not listen");
        // The crowd's connections are still open at its side.
        let (memory_mb, descriptors) = (peak_memory_mb(process), count_descriptors(process));
        println!("{sent:?}, {clients} clients, {open} connected: {memory_mb} MB at most, {descriptors} descriptors");
        let job = Job { id: "00000000000000dd".to_owned(), steps: vec![1], run_time_ms: Some(50) };
        let mut answer = Answer::Open;
        for _ in 0..ORDINARY_ATTEMPTS {
            answer = Caller::new(KEY).submit(entry, &job).await;
            if answer != Answer::Open {
                break;
            }
        }
        let folder = installation.folder.display();
        for entry in &installation.entries {
            assert!(entry.lock().expect("the lock is not poisoned").is_running(), "a process has ended, see {folder}");
        }
        assert!(memory_mb <= MEMORY_MB, "{memory_mb} MB of {MEMORY_MB}");
        assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors of {MAX_DESCRIPTORS}");
        assert_eq!(answer, Answer::Yes(String::new()), "an ordinary request, see {folder}");
        drop(crowd);
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against bodies in large chunks that stop just short of their end and stay open: each was held, without limits
/// of time or memory.
#[test]
fn bodies_in_large_chunks_that_stop_short() {
    check_crowd(230, 400, Sent::Chunks { bytes: 262_000, chunk: 65_500 });
}

/// Guards against the same in small chunks.
#[test]
fn bodies_in_small_chunks_that_stop_short() {
    check_crowd(231, 250, Sent::Chunks { bytes: 262_000, chunk: 8 });
}

/// Guards against the same for bodies of a declared length.
#[test]
fn bodies_of_a_declared_length_that_stop_short() {
    check_crowd(232, 400, Sent::Length { bytes: 262_143 });
}

/// Guards against headers without a line end, which were read without a limit until the timeout of the header.
#[test]
fn headers_without_a_line_end() {
    check_crowd(233, 120, Sent::Header { bytes: 2_000_000 });
}

/// Guards against heads over the limit that have line ends. It passed before: such a head ended its connection.
#[test]
fn heads_without_an_end() {
    check_crowd(234, 120, Sent::Headers { bytes: 2_000_000 });
}

/// Guards against empty lines without end before a request. It passed before: two of them ended the connection, although
/// a server should skip some.
#[test]
fn empty_lines_without_end() {
    check_crowd(235, 120, Sent::EmptyLines { bytes: 2_000_000 });
}

/// Guards against connections with unfinished heads that take all descriptors.
#[test]
fn half_requests_on_many_connections() {
    check_crowd(236, 500, Sent::HalfLine);
}

/// Guards against whole jobs that take many times their size while they are parsed and stored.
#[test]
fn jobs_of_many_small_steps() {
    check_crowd(237, 200, Sent::Steps { count: 9_000 });
}
