//! Cases of the review that are shown by scripts: `review-3 CASE RECORD`. Exit codes: 1 the rule was broken, 0 it held, 2 the
//! case couldn't run.

mod cases;
mod http;
mod json;
mod record;
mod rig;
mod store;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else { rig::cannot_run("usage: review-3 CASE RECORD") };
    let record = std::path::Path::new(record);
    let case = case.clone();
    let record = record.to_owned();
    let outcome = std::panic::catch_unwind(move || run(&case, &record));
    rig::end_processes();
    std::process::exit(outcome.map_or(2, i32::from));
}

fn run(case: &str, record: &std::path::Path) -> bool {
    match case {
        "late-start" => cases::late_start(record),
        "ticket" => cases::ticket(record),
        "unanswered-moves" => cases::unanswered_moves(record),
        "late-creation" => cases::late_creation(record),
        "gang" => cases::gang(record),
        _ => rig::cannot_run("no such case"),
    }
}
