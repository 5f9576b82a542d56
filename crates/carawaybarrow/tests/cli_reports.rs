//! Arguments of the report and explain commands, and the text that they print.

use carawaybarrow::cli_reports;
use clap::Command;

fn find_path(line: &str) -> Option<String> {
    let command = Command::new("carawaybarrow").subcommands(cli_reports::commands());
    let matches = command.try_get_matches_from(line.split(' ')).ok()?;
    let (name, args) = matches.subcommand()?;
    cli_reports::find_path(name, args)
}

/// Guards against a command that requests the wrong path, and against an invalid month or VM id that is sent to an
/// entry.
#[test]
fn commands_request_their_paths() {
    let cases = [
        ("c report month 2026-04", Some("/v1/reports/month/2026-04?format=text")),
        ("c report month 2026-04 --csv", Some("/v1/reports/month/2026-04?format=csv")),
        ("c report month 2026-13", None),
        ("c report month", None),
        ("c explain job 7fc8", Some("/v1/explain/jobs/7fc8")),
        ("c explain vm vm-1", Some("/v1/explain/vms/vm-1")),
        ("c explain vm ../config", None),
    ];
    for (line, path) in cases {
        assert_eq!(find_path(line).as_deref(), path, "{line}");
    }
}

/// Guards against a month report that is printed with other bytes than the entry sent, against an explanation without
/// its reasons, and against a response that is not JSON and is printed as an explanation.
#[test]
fn responses_are_rendered() {
    let report = "row,at\r\ngap,\r\n";
    assert_eq!(cli_reports::render("report", report.as_bytes()).expect("text"), report);
    let found = br#"{"vm":"vm-1","routing":null,"reasons":["the VM is draining","pool a is full"]}"#;
    let text = cli_reports::render("explain", found).expect("JSON");
    assert_eq!(text, "reasons:\n  the VM is draining\n  pool a is full\nvm: vm-1\n");
    assert!(cli_reports::render("explain", b"<html>").is_err());
}
