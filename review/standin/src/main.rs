//! Plays one case of the review: `review-standin CASE FOLDER`. Starts entries with the command of the deploy file, and
//! stand-ins for the platform, on loopback addresses. Writes what was seen to `FOLDER/record.txt`. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod hopeless_job;
mod installation;
mod record;
mod removed_route;
mod restarted_workers;
mod slow_vm_list;
mod vm_api;

use std::path::PathBuf;
use std::process::exit;

use async_std::task;

use crate::record::Record;

/// Outcome of a case.
enum Outcome {
    Held,
    Broken,
}

/// Why a case could not run.
type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("the record can't be written: {e}");
            exit(2);
        }
    };
    record.line(format!("case {case}, trouble {}", if has_trouble { "on" } else { "off" }));
    let result = task::block_on(async {
        match case.as_str() {
            "restarted-workers" => restarted_workers::play(&mut record, has_trouble).await,
            "slow-vm-list" => slow_vm_list::play(&mut record, has_trouble).await,
            "hopeless-job" => hopeless_job::play(&mut record, has_trouble).await,
            "removed-route" => removed_route::play(&mut record, has_trouble).await,
            _ => Err(format!("there is no case {case:?}").into()),
        }
    });
    match result {
        Ok(Outcome::Held) => {
            record.line("the rule held");
            exit(0);
        }
        Ok(Outcome::Broken) => {
            record.line("the rule was broken");
            exit(1);
        }
        Err(e) => {
            record.line(format!("the case could not run: {e}"));
            exit(2);
        }
    }
}
