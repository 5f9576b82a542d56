//! The operator's command line, run against a small installation.

mod cluster;

use std::process::{Command, Output};

use carawaybarrow_core::keys::KeyHash;
use cluster::{Cluster, poll_until, urgent_job};
use serde_json::{Value, json};

/// Runs a command with the operator's key at these entries.
fn run_at(entries: &[String], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carawaybarrow"));
    command.args(args).env("CARAWAYBARROW_KEY", cluster::OPERATOR_SECRET);
    command.env("CARAWAYBARROW_ENTRY", entries.join(" ")).env_remove("CARAWAYBARROW_KEY_FILE");
    command.output().expect("the binary starts")
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.caller_addresses().iter().map(ToString::to_string).collect()
}

fn run(cluster: &Cluster, args: &[&str]) -> Output {
    run_at(&addresses(cluster), args)
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs a command that must succeed, and returns the JSON that it prints.
fn run_json(cluster: &Cluster, args: &[&str]) -> Value {
    let output = run(cluster, &[&["--json"], args].concat());
    assert_eq!(exit_code(&output), 0, "{args:?}: {}", stderr(&output));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Writes a file for `apply`.
fn write_file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}-{}.jsonc", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).expect("a file");
    path
}

/// Guards against a lost update when two operators change the same object, and against a conflict message that lacks
/// one of the two values. The second change is based on a revision that the first one has replaced.
#[async_std::test]
async fn conflict_shows_current_and_proposed_value() {
    let cluster = Cluster::start("cli-race", 1, 0).await;
    let first = run_json(&cluster, &["team", "set", "clinic", "--share", "40", "--limit", "30"]);
    let read = first["revision"].to_string();
    // Another operator changes the team after the first one has read it.
    run_json(&cluster, &["team", "set", "clinic", "--share", "50", "--expect", &read]);
    let change = json!([{ "change": "set_team", "id": "clinic", "value": { "share": 60, "limit": 30 },
        "expected": first["revision"] }]);
    let file = write_file("race", &change.to_string());
    for args in [&["team", "set", "clinic", "--share", "60", "--expect", &read][..], &["apply", &file]] {
        let lost = run(&cluster, args);
        let text = stderr(&lost);
        assert_eq!(exit_code(&lost), 3, "{text}");
        assert!(text.contains(r#""share":50"#) && text.contains(r#""share":60"#), "{text}");
    }
    let teams = run_json(&cluster, &["show", "teams"]);
    assert_eq!(teams["clinic"]["value"], json!({ "share": 50, "limit": 30 }));
}

/// Guards against a file that is applied in part, and against a report that stops at the first error. The file has
/// three errors and one valid object.
#[async_std::test]
async fn apply_reports_every_error_and_changes_nothing() {
    let cluster = Cluster::start("cli-faults", 1, 0).await;
    let text = "{\n  // Three faults.\n  \"teams\": { \"clinic\": { \"share\": 40, \"limit\": 0 } },\n  \
        \"pools\": { \"render\": { \"min_available\": 70 } },\n  \"queues\": {\n    \
        \"clips\": {\n      \"class\": \"urgent\",\n      \"pool\": \"nowhere\" } } }\n";
    let file = write_file("faults", text);
    let output = run(&cluster, &["apply", &file]);
    let shown = stderr(&output);
    assert_eq!(exit_code(&output), 2, "{shown}");
    for place in ["3:39: teams.clinic.limit", "7:7: queues.clips.class", "8:7: queues.clips.pool"] {
        assert!(shown.contains(&format!("{file}:{place}")), "{place} is missing in {shown}");
    }
    assert_eq!(run_json(&cluster, &["show"])["revision"], 0);
}

/// Guards against an `apply` that changes something although its file is already in force, and against one without
/// `--prune` that removes objects which the file leaves out.
#[async_std::test]
async fn apply_is_idempotent_and_removes_only_with_prune() {
    let cluster = Cluster::start("cli-apply", 1, 0).await;
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/configuration.jsonc");
    assert!(!run_json(&cluster, &["diff", example])["changes"].as_array().expect("a list").is_empty());
    assert_eq!(run_json(&cluster, &["show"])["revision"], 0, "diff changes nothing");
    let made = run_json(&cluster, &["apply", example]);
    assert_eq!(made["accepted"].as_array().map(Vec::len).map(Value::from).as_ref(), Some(&made["planned"]));
    assert_eq!(run_json(&cluster, &["apply", example])["planned"], 0);
    run_json(&cluster, &["class", "set", "night", "--by", "23:30"]);
    assert_eq!(run_json(&cluster, &["apply", example])["left_out"], json!(["classes.night"]));
    run_json(&cluster, &["apply", example, "--prune"]);
    assert!(run_json(&cluster, &["show", "classes"]).get("night").is_none());
}

/// Guards against a printed secret that the entries refuse, a secret that is stored instead of its hash, and a key that
/// is accepted after its withdrawal was reported as in force.
#[async_std::test]
async fn key_works_until_it_is_withdrawn() {
    let cluster = Cluster::start("cli-key", 2, 1).await;
    cluster.configure(8).await;
    let given = run_json(&cluster, &["key", "give", "clinic-2", "--team", "clinic"]);
    let secret = given["secret"].as_str().expect("a secret").to_owned();
    let shown = stdout(&run(&cluster, &["key", "list"]));
    assert!(shown.contains(&KeyHash::of_secret(&secret).to_string()) && !shown.contains(&secret), "{shown}");
    let caller = cluster.caller(&secret);
    poll_until("the key is accepted", || async {
        matches!(caller.submit(&urgent_job("a", 1)).await, carawaybarrow_testbed::submit::Outcome::Served).then_some(())
    })
    .await;
    let again = run(&cluster, &["key", "give", "clinic-2", "--team", "clinic"]);
    assert_eq!(exit_code(&again), 3, "a name is used once: {}", stderr(&again));
    assert_eq!(run_json(&cluster, &["key", "withdraw", "clinic-2"])["in_force"], true);
    for index in 0..2 {
        let body = json!({ "queue": "clips", "payload": "{}" }).to_string();
        let reply = cluster.call(index, http_types::Method::Post, "/v1/jobs", &secret, &body).await;
        assert_eq!(reply.status, 403, "{}", reply.text());
    }
}

/// Guards against a withdrawal that is reported as in force before all entries confirmed it: two entries are suspended,
/// so that they can't, and the command has to name them.
#[async_std::test]
async fn withdrawal_names_outstanding_entries() {
    let cluster = Cluster::start("cli-outstanding", 3, 0).await;
    for index in 0..3 {
        poll_until("all entries are members", || async {
            (cluster.status(index).await["members"] == json!(["e1", "e2", "e3"])).then_some(())
        })
        .await;
    }
    run_json(&cluster, &["team", "set", "clinic", "--share", "40", "--limit", "30"]);
    run_json(&cluster, &["key", "give", "clinic-1", "--team", "clinic"]);
    // Two of three entries could still attest the old configuration to each other; a single one could not.
    for entry in &cluster.entries[1..] {
        entry.signal("STOP");
    }
    let output = run_at(&addresses(&cluster)[..1], &["key", "withdraw", "clinic-1"]);
    for entry in &cluster.entries[1..] {
        entry.signal("CONT");
    }
    let text = stderr(&output);
    assert_eq!(exit_code(&output), 6, "{text}{}", stdout(&output));
    assert!(text.contains("outstanding: e2, e3"), "{text}");
}

/// Guards against changed exit codes, on which scripts depend, and against an unreachable first entry that fails a
/// command although another one is given.
#[async_std::test]
async fn exit_codes_identify_the_result() {
    let cluster = Cluster::start("cli-codes", 1, 0).await;
    let entries = addresses(&cluster);
    // The listener is dropped at once, so nothing listens on this port.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").to_string();
    let cases: [(&[&str], i32, &str); 8] = [
        (&["show", "teams"], 0, ""),
        (&["show", "colours"], 2, "colours"),
        (&["team", "set", "new"], 2, "--share"),
        (&["team", "set", "a b", "--share", "1", "--limit", "1"], 2, "is not a name"),
        (&["class", "set", "late", "--by", "24:00"], 2, "time of day"),
        (&["key", "withdraw", "none"], 2, "there is no such key"),
        (&["job", "show", "0123456789abcdef0123456789abcdef"], 2, "there is no such job"),
        (&["wave", "pause"], 3, "there is no wave"),
    ];
    for (args, expected, message) in cases {
        let output = run_at(&entries, args);
        assert_eq!(exit_code(&output), expected, "{args:?}: {}", stderr(&output));
        assert!(stderr(&output).contains(message), "{args:?}: {}", stderr(&output));
    }
    let no_entry = run_at(std::slice::from_ref(&closed), &["show"]);
    assert_eq!(exit_code(&no_entry), 4, "{}", stderr(&no_entry));
    // The first entry can't be reached, so reads and changes are sent to the next one.
    let both = [closed, entries[0].clone()];
    assert_eq!(exit_code(&run_at(&both, &["show"])), 0);
    assert_eq!(exit_code(&run_at(&both, &["class", "set", "patient", "--eventually"])), 0);
    cluster::control(cluster.store, "outage", &json!({ "mode": "refuse" })).await;
    let no_store = run_at(&entries, &["class", "set", "urgent", "--within", "1100ms"]);
    assert_eq!(exit_code(&no_store), 4, "{}", stderr(&no_store));
    cluster::end_control(cluster.store, "outage").await;
}
