//! The lines and exit codes on which scripts rely.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};

use carawaybarrow_testbed::client::Client;
use common::Worker;
use serde_json::{Value, json};

/// A server command, which is killed at the end of the test.
struct Server {
    child: Child,
    lines: Vec<Value>,
}

impl Server {
    /// Starts a command and reads the given number of lines.
    fn start(args: &[&str], lines: usize) -> Self {
        let mut child = command().args(args).stdout(Stdio::piped()).spawn().expect("the command starts");
        let out = BufReader::new(child.stdout.take().expect("a pipe"));
        let lines = out.lines().take(lines).map(|l| serde_json::from_str(&l.expect("a line")).expect("JSON")).collect();
        Self { child, lines }
    }

    fn addr(&self, line: usize) -> SocketAddr {
        self.lines[line]["listening"].as_str().and_then(|a| a.parse().ok()).expect("an address")
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Killing fails only if the command has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_carawaybarrow-testbed"))
}

fn run(args: &[&str]) -> (Output, Value) {
    let output = command().args(args).output().expect("the command runs");
    let line = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output, line)
}

/// Guards against scripts that hang because a server doesn't print its address, and against workers that are missing
/// from the VM list or placed in the wrong rack.
#[async_std::test]
async fn servers_print_their_addresses_and_workers_register() {
    let store = Server::start(&["store"], 1);
    assert_eq!(Client::new().get(store.addr(0), "/kv/config").await.expect("an answer").status, 404);
    let vms = Server::start(&["vms"], 1);
    let list = vms.addr(0).to_string();
    let workers = Server::start(&["workers", "--count", "5", "--register", &list], 6);
    assert_eq!(workers.lines[5], json!({ "ready": 5 }));
    let listed: Vec<Value> = Client::new().get(vms.addr(0), "/vms").await.expect("an answer").json().expect("JSON");
    assert_eq!(listed.len(), 5);
    for (i, vm) in listed.iter().enumerate() {
        assert_eq!(vm["address"], workers.lines[i]["listening"]);
        assert_eq!(vm["vm"], workers.lines[i]["vm"]);
    }
    assert_eq!([&listed[3]["rack"], &listed[4]["rack"]], ["dc1-r1", "dc2-r1"], "four VMs to a rack");
}

/// Guards against `check-starts` passing although a job ran twice or a required job never ran.
#[async_std::test]
async fn check_starts_fails_on_a_double_start() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    for (task, mark) in [("t1", "p-1"), ("t2", "p-1"), ("t3", "p-2")] {
        worker.run(&lease, task, true, &json!({ "mark": mark })).await;
    }
    let addr = worker.addr.to_string();
    let cases: [(&[&str], bool); 6] = [
        (&[], true),
        (&["--once", "p-2", "--ran", "p-1"], true),
        (&["--once", "p-2", "p-1"], false),
        (&["--once-prefix", "p-"], false),
        (&["--once-prefix", "q-"], true),
        (&["--ran", "p-3"], false),
    ];
    for (args, is_right) in cases {
        let all = [&["check-starts", "--workers", &addr], args].concat();
        let (output, line) = async_std::task::spawn_blocking({
            let all: Vec<String> = all.iter().map(ToString::to_string).collect();
            move || run(&all.iter().map(String::as_str).collect::<Vec<_>>())
        })
        .await;
        assert_eq!(output.status.success(), is_right, "{args:?}: {output:?}");
        assert_eq!(line["marks"], json!({ "p-1": 2, "p-2": 1 }));
    }
}

/// Guards against a summary that counts jobs as unknown or failed although no entry accepted the connection, so that
/// none can have run.
#[test]
fn jobs_that_reach_no_entry_are_reported_as_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (output, line) = run(&["call", "--entry", &closed.to_string(), "--queue", "clips", "--count", "2"]);
    assert!(output.status.success(), "{output:?}");
    let counts = [&line["asked"], &line["served"], &line["refused_not_run"], &line["unknown"], &line["failed"]];
    assert_eq!(counts, [2, 0, 2, 0, 0]);
}
