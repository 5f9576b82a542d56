//! Settings and configuration files: every error is reported with its line and column.

use std::path::Path;

use carawaybarrow::change_file::ChangeFile;
use carawaybarrow::change_plan;
use carawaybarrow::failure::Failure;
use carawaybarrow::settings::Settings;
use carawaybarrow_core::config::Config;
use carawaybarrow_core::finding::Findings;

/// A key hash with the length of a SHA-256 digest. No test uses its secret.
const KEY_HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Valid settings, one field per line.
fn valid_lines() -> Vec<String> {
    vec![
        "{".into(),
        r#""entry": "e1","#.into(),
        r#""data_centre": "dc1","#.into(),
        r#""callers": "127.0.0.1:8080","#.into(),
        r#""peers": "127.0.0.1:8081","#.into(),
        r#""store": "127.0.0.1:7000","#.into(),
        r#""vm_list": "127.0.0.1:7001","#.into(),
        format!(r#""operators": [{{ "name": "ana", "key_sha256": "{KEY_HASH}" }}],"#),
        "}".into(),
    ]
}

fn show(findings: &Findings) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

/// Guards against an error in the settings that is overlooked, reported at another position or together with false
/// errors.
#[test]
fn each_settings_error_is_reported_at_its_position() {
    let operators = |list: &str| format!(r#""operators": [{list}],"#);
    let ana = format!(r#"{{ "name": "ana", "key_sha256": "{KEY_HASH}" }}"#);
    let other = KEY_HASH.replace('0', "f");
    // The line that is replaced, counted from 1, its new text, and the start of each finding.
    let cases: Vec<(usize, String, Vec<&str>)> = vec![
        (2, String::new(), vec!["1:1: entry: missing"]),
        (2, r#""entry": 7,"#.into(), vec!["2:1: entry: expected a text in quotes"]),
        (2, r#""entry": "a b","#.into(), vec![r#"2:1: entry: "a b" is not a name: use 1 to 64 of"#]),
        (3, r#""data_centre": "","#.into(), vec![r#"3:1: data_centre: "" is not a name"#]),
        (4, r#""callers": "localhost","#.into(), vec!["4:1: callers: expected an address such as 10.0.0.1:8081"]),
        (5, r#""peers": "127.0.0.1:8080","#.into(), vec!["5:1: peers: callers and peers need different addresses"]),
        (5, r#""peers": "0.0.0.0:8081","#.into(), vec!["5:1: peers: other entries can't reach 0.0.0.0"]),
        (6, r#""store": "127.0.0.1:0","#.into(), vec!["6:1: store: port 0 can't be reached"]),
        (7, r#""vm_list": "127.0.0.1:7000","#.into(), vec!["7:1: vm_list: store and vm_list need different addresses"]),
        (7, r#""vm_list": "127.0.0.1:8081","#.into(), vec!["7:1: vm_list: peers and vm_list need different addresses"]),
        (8, String::new(), vec!["1:1: operators: at least one operator is needed"]),
        (8, operators(""), vec!["8:1: operators: at least one operator is needed"]),
        (8, r#""operators": {},"#.into(), vec!["8:14: operators: expected a list of objects"]),
        (8, operators("1"), vec!["8:15: operators: expected an object with name and key_sha256"]),
        (8, operators(r#"{ "name": "ana" }"#), vec!["8:15: key_sha256: missing"]),
        (
            8,
            operators(r#"{ "name": "ana", "key_sha256": "AB", "x": 1 }"#),
            vec!["8:32: key_sha256: a key hash has 64 hexadecimal digits", "8:52: x: unknown field"],
        ),
        (
            8,
            operators(&format!(r#"{ana}, {{ "name": "ana", "key_sha256": "{other}" }}"#)),
            vec!["8:116: operators: ana is listed twice"],
        ),
        (
            8,
            operators(&format!(r#"{ana}, {{ "name": "ben", "key_sha256": "{KEY_HASH}" }}"#)),
            vec!["8:116: operators: ana has the same key"],
        ),
        (9, r#""seeds": 1 }"#.into(), vec!["9:1: seeds: expected a list of addresses"]),
        (9, r#""seeds": ["127.0.0.1:9", "x"] }"#.into(), vec!["9:26: seeds: expected an address such as"]),
        (9, r#""seeds": ["127.0.0.1:0"] }"#.into(), vec!["9:11: seeds: port 0 can't be reached"]),
        (9, r#""job_shards": 0 }"#.into(), vec!["9:1: job_shards: expected a whole number from 1 to 1024"]),
        (9, r#""job_shards": 1.5 }"#.into(), vec!["9:1: job_shards: expected a whole number from 1 to 1024"]),
        (9, r#""job_shards": "16" }"#.into(), vec!["9:1: job_shards: expected a whole number"]),
        (9, r#""body_bytes": 1000001 }"#.into(), vec!["9:1: body_bytes: expected a whole number from 1024 to 1000000"]),
        (9, r#""outage_limit": "75" }"#.into(), vec![r#"9:1: outage_limit: "75" is not a duration"#]),
        (9, r#""outage_limit": "75 min" }"#.into(), vec![r#"9:1: outage_limit: "75 min" is not a duration"#]),
        (9, r#""outage_limit": 75 }"#.into(), vec!["9:1: outage_limit: expected a text in quotes"]),
        (9, r#""outage_limit": "7h" }"#.into(), vec!["9:1: outage_limit: expected a duration from 10s to 21600s"]),
        (9, r#""drain_delay": "61s" }"#.into(), vec!["9:1: drain_delay: expected a duration from 0ms to 60s"]),
        (9, r#""colour": "red" }"#.into(), vec!["9:1: colour: unknown field"]),
        (9, r#""entry": "e2" }"#.into(), vec!["9:1: entry: given twice"]),
        (9, "'job_shards': 4 }".into(), vec!["9:1: "]),
        (9, "] }".into(), vec!["9:1: "]),
    ];
    for (line, text, expected) in cases {
        let mut lines = valid_lines();
        lines[line - 1].clone_from(&text);
        let findings = Settings::parse(&lines.join("\n")).expect_err(&text);
        let shown = show(&findings);
        assert_eq!(shown.len(), expected.len(), "{text}: {shown:?}");
        for (finding, start) in shown.iter().zip(expected) {
            assert!(finding.starts_with(start), "{text}: {finding:?} does not start with {start:?}");
        }
    }
    assert!(Settings::parse(&valid_lines().join("\n")).is_ok());
}

/// Guards against a report that stops at the first error of the settings.
#[test]
fn all_settings_errors_are_reported_together() {
    let text =
        "{ // several faults\n\"entry\": \"a b\",\n\"callers\": \"x\",\n\"drain_delay\": \"1\",\n\"colour\": 1 }";
    let findings = Settings::parse(text).expect_err("faults");
    let places: Vec<_> = findings.iter().map(|f| f.place.as_str()).collect();
    for place in ["1:1", "2:1", "3:1", "4:1", "5:1"] {
        assert!(places.contains(&place), "{place} is missing in {places:?}");
    }
    // The missing data_centre, peers, store, vm_list and operators.
    assert_eq!(places.iter().filter(|place| **place == "1:1").count(), 5, "{places:?}");
}

/// Guards against an error in a file of changes, or in a configuration file, that is overlooked, reported at another
/// position or together with false errors.
#[test]
fn each_configuration_error_is_reported_at_its_position() {
    let class = r#""classes": { "urgent": { "target": { "kind": "within", "ms": 1100 } } }"#;
    let cases: Vec<(String, Vec<&str>)> = vec![
        (String::new(), vec!["f:1:1: expected a list of changes in [], or a configuration in {}"]),
        (r#"{ "colours": {} }"#.into(), vec!["f:1:3: colours: unknown section"]),
        (r#"{ "teams": [] }"#.into(), vec!["f:1:12: teams: expected an object with names and values"]),
        (r#"{ "teams": {}, "teams": {} }"#.into(), vec!["f:1:16: teams: given twice"]),
        (
            r#"{ "teams": { "a": { "share": 1, "limit": 1 }, "a": { "share": 1, "limit": 1 } } }"#.into(),
            vec!["f:1:47: teams.a: given twice"],
        ),
        (
            "{ \"teams\": {\n // comment, with }\n \"a\": { \"share\": 101, \"limit\": 1 },\n \"b c\": { \"share\": 1 } } }".into(),
            vec!["f:3:", "f:4:2: \"b c\" is not a name", "f:4:"],
        ),
        (r#"{ "teams": { "a": { "share": 1, "limit": 0 } } }"#.into(), vec!["f:1:33: teams.a.limit: 0 would never"]),
        (
            r#"{ "teams": { "a": { "share": 60, "limit": 1 }, "b": { "share": 41, "limit": 1 } } }"#.into(),
            vec!["f:1:14: teams: the shares add up to 101%"],
        ),
        (
            format!(r#"{{ {class}, "queues": {{ "clips": {{ "class": "urgent", "pool": "render" }} }} }}"#),
            vec!["f:1:118: queues.clips.pool: there is no pool render"],
        ),
        (
            r#"{ "classes": { "a": { "target": { "kind": "within", "ms": 1 } } } }"#.into(),
            vec!["f:1:53: classes.a.target.ms: 1ms is below 10ms"],
        ),
        (r#"[ 1, { "id": "a" } ]"#.into(), vec!["f:1:3: expected a change in {}", "f:1:6: change: missing"]),
        (r#"[ { "change": "set_colour", "id": "a" } ]"#.into(), vec![r#"f:1:3: "set_colour" is not a change"#]),
        (r#"[ { "change": "set_team", "id": "a" } ]"#.into(), vec!["f:1:3: value: missing"]),
        (
            r#"[ { "change": "remove_team", "id": "a", "colour": 1 } ]"#.into(),
            vec!["f:1:41: colour: unknown field"],
        ),
        (r#"[ { "change": "remove_team", "id": "a" } ]"#.into(), vec!["f:1:3: teams.a: there is no such object"]),
        ("[ 1".into(), vec!["f:1:1: "]),
    ];
    for (text, expected) in cases {
        let planned = ChangeFile::parse("f".into(), text.clone()).map_err(Failure::Invalid);
        let planned = planned.and_then(|file| change_plan::plan_changes(&Config::default(), &file, false));
        let Err(Failure::Invalid(findings)) = planned else { panic!("{text}: {planned:?}") };
        let shown = show(&findings);
        assert_eq!(shown.len(), expected.len(), "{text}: {shown:?}");
        for (finding, start) in shown.iter().zip(expected) {
            assert!(finding.starts_with(start), "{text}: {finding:?} does not start with {start:?}");
        }
    }
}

/// Guards against example files that became invalid when the format changed.
#[test]
fn example_files_are_valid() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let settings = Settings::load(&dir.join("entry.jsonc"));
    assert!(settings.is_ok(), "{settings:?}");
    let file = ChangeFile::load(&dir.join("configuration.jsonc")).expect("a valid file");
    let plan = change_plan::plan_changes(&Config::default(), &file, false).expect("a valid configuration");
    assert_eq!(plan.steps.len(), file.changes.len());
}

/// Guards against changes in an order with an invalid intermediate configuration: entries refuse it although the result
/// would be valid.
#[test]
fn changes_are_ordered_so_that_each_step_is_valid() {
    let parse = |text: &str| ChangeFile::parse("f".into(), text.into()).expect("valid");
    let before = parse(r#"{ "teams": { "a": { "share": 40, "limit": 1 }, "b": { "share": 60, "limit": 1 } } }"#);
    let mut config = Config::default();
    for step in change_plan::plan_changes(&config, &before, false).expect("valid").steps {
        apply(&mut config, step.change);
    }
    // The shares must not exceed 100 %, so `b` must be lowered before `a` is raised.
    let after = parse(r#"{ "teams": { "a": { "share": 60, "limit": 1 }, "b": { "share": 40, "limit": 1 } } }"#);
    let steps = change_plan::plan_changes(&config, &after, false).expect("valid").steps;
    assert_eq!(steps.len(), 2);
    for step in steps {
        apply(&mut config, step.change);
    }
    let shares: Vec<_> = config.teams.values().map(|team| team.value.share.get()).collect();
    assert_eq!(shares, [60, 40]);
}

fn apply(config: &mut Config, change: carawaybarrow_core::config::Change) {
    use carawaybarrow_core::commit::Document;
    use carawaybarrow_core::config::{ConfigCommand, ConfigOutcome};
    let by = "ana".parse().expect("a name");
    let at = carawaybarrow_core::units::WallTime(0);
    let outcome = config.apply(&ConfigCommand { by, at, expected: None, change });
    assert!(matches!(outcome, ConfigOutcome::Accepted { .. }), "{outcome:?}");
}
