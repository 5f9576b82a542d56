//! Commands `apply` and `diff`.

use std::path::PathBuf;

use carawaybarrow_core::Map;
use carawaybarrow_core::config::Change;
use carawaybarrow_core::ids::Revision;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::change_file::{self, ChangeFile};
use crate::change_plan::{self, Plan, Step};
use crate::cli::{self, CommandFn, Output};
use crate::failure::Failure;
use crate::operator_client::OperatorClient;

const FORMAT: &str = "FILE is JSON with comments. It holds a list of changes:
  [{ \"change\": \"set_team\", \"id\": \"clinic\", \"value\": { \"share\": 40, \"limit\": 30 }, \"expected\": 12 }]
or a configuration with the sections classes, pools, teams, queues and keys:
  { \"teams\": { \"clinic\": { \"share\": 40, \"limit\": 30 } } }
`expected` is optional: the revision that last changed the object, 0 if it must not exist.
Objects that a section leaves out stay, unless --prune is given. Sections that are left out are not touched.

Example:
  carawaybarrow diff configuration.jsonc && carawaybarrow apply configuration.jsonc";

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let add_args = |command: Command| {
        let file = Arg::new("file").value_name("FILE").required(true).value_parser(value_parser!(PathBuf));
        let prune = Arg::new("prune")
            .long("prune")
            .action(ArgAction::SetTrue)
            .help("Remove the objects in force that a section of FILE leaves out");
        command.args([file.help("Changes or a configuration"), prune]).after_help(FORMAT)
    };
    let apply = add_args(Command::new("apply").about("Apply a file of changes or a configuration"));
    let diff = add_args(Command::new("diff").about("Show what apply would change"));
    vec![(apply, run_apply), (diff, run_diff)]
}

fn read_plan(args: &ArgMatches, client: &OperatorClient) -> Result<Plan, Failure> {
    let file = ChangeFile::load(&cli::value::<PathBuf>(args, "file")).map_err(Failure::Invalid)?;
    change_plan::plan_changes(&client.read_config()?, &file, args.get_flag("prune"))
}

fn run_diff(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let plan = read_plan(args, &OperatorClient::from_args(args)?)?;
    let steps: Vec<_> = plan.steps.iter().map(step_to_json).collect();
    output.print(&json!({ "changes": steps, "left_out": plan.left_out }), || {
        let mut text: String = plan.steps.iter().map(describe_step).collect();
        if plan.steps.is_empty() {
            text.push_str("no differences\n");
        }
        text + &describe_left_out(&plan.left_out)
    })
}

fn run_apply(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let client = OperatorClient::from_args(args)?;
    let plan = read_plan(args, &client)?;
    let mut new_revisions: Map<(&str, SmolStr), Revision> = Map::default();
    let mut accepted: Vec<Value> = Vec::new();
    let mut outstanding = None;
    for step in &plan.steps {
        let (section, id) = change_file::object_id(&step.change);
        let object = (section, SmolStr::new(id));
        // A second change of the same object expects the revision that the first one made.
        let expected = new_revisions.get(&object).copied().unwrap_or(step.expected);
        let answer = match client.change(&step.change, Some(expected)) {
            Ok(answer) => answer,
            Err(failure) => {
                print_applied(output, &accepted, plan.steps.len(), &[])?;
                return Err(failure);
            }
        };
        new_revisions.insert(object, answer.revision);
        accepted.push(json!({ "object": format!("{section}.{id}"), "revision": answer.revision }));
        outstanding = (!answer.in_force)
            .then_some(Failure::NotInForce { revision: answer.revision, outstanding: answer.outstanding });
    }
    print_applied(output, &accepted, plan.steps.len(), &plan.left_out)?;
    // A revision in force includes all earlier ones, so only the response to the last change matters.
    outstanding.map_or(Ok(()), Err)
}

fn print_applied(output: &Output, accepted: &[Value], planned: usize, left_out: &[String]) -> Result<(), Failure> {
    let value = json!({ "accepted": accepted, "planned": planned, "left_out": left_out });
    output.print(&value, || {
        let mut text = String::new();
        for change in accepted {
            let object = change["object"].as_str().unwrap_or_default();
            text.push_str(&format!("revision {}: {object}\n", change["revision"]));
        }
        text.push_str(&format!("{} of {planned} changes accepted\n", accepted.len()));
        text + &describe_left_out(left_out)
    })
}

fn describe_left_out(left_out: &[String]) -> String {
    left_out.iter().map(|object| format!("not in the file, stays: {object}\n")).collect()
}

fn step_to_json(step: &Step) -> Value {
    json!({ "change": step.change, "before": step.before, "expected": step.expected })
}

fn describe_step(step: &Step) -> String {
    let (section, id) = change_file::object_id(&step.change);
    let mut text = String::new();
    if let Some(before) = &step.before {
        text.push_str(&format!("- {section}.{id} {}\n", describe_value(before)));
    }
    if let Some(value) = value_of(&step.change) {
        text.push_str(&format!("+ {section}.{id} {value}\n"));
    }
    text
}

fn value_of(change: &Change) -> Option<Value> {
    serde_json::to_value(change).ok()?.get("value").cloned()
}

fn describe_value(change: &Change) -> String {
    value_of(change).map(|value| value.to_string()).unwrap_or_default()
}
