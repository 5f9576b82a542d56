//! Commands `job show`, `job cancel` and `job resolve`.

use carawaybarrow_core::ids::JobId;
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use http_types::Method;
use serde_json::{Value, json};

use crate::cli::{self, CommandFn, Output};
use crate::failure::Failure;
use crate::operator_client::OperatorClient;

const EXAMPLES: &str = "Examples:
  carawaybarrow job show 0123456789abcdef0123456789abcdef
  carawaybarrow job resolve 0123456789abcdef0123456789abcdef --found failed --reason 'no file in the archive'";

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let id = || cli::required_arg::<JobId>("id", "JOB", "Id of the job, from the response that accepted it");
    let found = Arg::new("found")
        .long("found")
        .required(true)
        .value_name("OUTCOME")
        .value_parser(PossibleValuesParser::new(["done", "failed", "not-run"]));
    let reason = Arg::new("reason").long("reason").value_name("TEXT").required_if_eq("found", "failed");
    let job = Command::new("job")
        .about("Show, cancel and resolve durable jobs")
        .subcommand_required(true)
        .subcommands([
            Command::new("show").about("Show the state of a job, and its answer if it is done").arg(id()),
            Command::new("cancel").about("Cancel a job; a running task is stopped").arg(id()),
            Command::new("resolve")
                .about("Record the outcome of a job whose outcome is unknown")
                .arg(id())
                .arg(found.help("Outcome of the job, as found by the operator"))
                .arg(reason.help("Reason for the failure")),
        ])
        .after_help(EXAMPLES);
    vec![(job, run)]
}

fn run(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let (name, args) = cli::subcommand(args);
    let client = OperatorClient::from_args(args)?;
    let id: JobId = cli::value(args, "id");
    let path = format!("/v1/jobs/{id}");
    let answer = match name {
        "show" => client.read(&path)?,
        "cancel" => client.send(Method::Delete, &path, None)?,
        _ => {
            let found = match cli::value::<String>(args, "found").as_str() {
                "failed" => json!({ "found": "failed", "reason": cli::value::<String>(args, "reason") }),
                "done" => json!({ "found": "done" }),
                _ => json!({ "found": "not_run" }),
            };
            client.send(Method::Post, &format!("{path}/resolve"), Some(&json!({ "found": found })))?
        }
    };
    output.print(&answer, || describe_job(&answer))
}

fn describe_job(answer: &Value) -> String {
    let fields = answer.as_object().into_iter().flatten();
    let line = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}: {text}\n"),
        other => format!("{name}: {other}\n"),
    };
    fields.map(line).collect()
}
