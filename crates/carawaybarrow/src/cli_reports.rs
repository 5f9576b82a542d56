//! Commands that show reports and explanations: their arguments, the path that they request, and the text of the
//! response.

use std::fmt::Write;

use carawaybarrow_core::ids::{JobId, VmId};
use carawaybarrow_core::ledger::Month;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;
use snafu::Snafu;

/// Error for a response that can't be shown.
#[derive(Debug, Snafu)]
#[snafu(display("the answer of the entry can't be read: {message}"))]
pub struct ShowError {
    message: String,
}

/// Builds the commands `report` and `explain`.
#[must_use]
pub fn commands() -> Vec<Command> {
    let month = Arg::new("month").value_name("YYYY-MM").required(true).value_parser(value_parser!(Month));
    let csv =
        Arg::new("csv").long("csv").action(ArgAction::SetTrue).help("Print CSV for paper records and spreadsheets");
    let job = Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(JobId));
    let vm = Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(VmId));
    vec![
        Command::new("report")
            .about("Show a report")
            .subcommand_required(true)
            .subcommand(Command::new("month").about("Show the lines and totals of a month").arg(month).arg(csv)),
        Command::new("explain")
            .about("Show why a job or a VM is where it is")
            .subcommand_required(true)
            .subcommand(Command::new("job").about("Explain a job").arg(job))
            .subcommand(Command::new("vm").about("Explain a VM").arg(vm)),
    ]
}

/// Path that a command requests from an entry; `None` for a command of another module.
#[must_use]
pub fn find_path(name: &str, args: &ArgMatches) -> Option<String> {
    match (name, args.subcommand()?) {
        ("report", ("month", args)) => {
            let format = if args.get_flag("csv") { "csv" } else { "text" };
            Some(format!("/v1/reports/month/{}?format={format}", args.get_one::<Month>("month")?))
        }
        ("explain", ("job", args)) => Some(format!("/v1/explain/jobs/{}", args.get_one::<JobId>("id")?)),
        ("explain", ("vm", args)) => Some(format!("/v1/explain/vms/{}", args.get_one::<VmId>("id")?)),
        _ => None,
    }
}

/// Renders the text that a command prints for the body of a response.
///
/// # Errors
///
/// Fails if the body is not UTF-8 for a report, or not JSON for an explanation.
pub fn render(name: &str, bytes: &[u8]) -> Result<String, ShowError> {
    if name == "report" {
        return String::from_utf8(bytes.to_vec()).map_err(|e| ShowError { message: e.to_string() });
    }
    let found: Value = serde_json::from_slice(bytes).map_err(|e| ShowError { message: e.to_string() })?;
    let mut text = String::new();
    for (field, value) in found.as_object().into_iter().flatten().filter(|(_, v)| !v.is_null()) {
        match value {
            Value::Array(items) => {
                writeln!(text, "{field}:").expect("a string takes each write");
                for item in items {
                    let item = item.as_str().map_or_else(|| item.to_string(), str::to_owned);
                    writeln!(text, "  {item}").expect("a string takes each write");
                }
            }
            Value::String(value) => writeln!(text, "{field}: {value}").expect("a string takes each write"),
            other => writeln!(text, "{field}: {other}").expect("a string takes each write"),
        }
    }
    Ok(text)
}
