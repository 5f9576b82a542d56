//! Commands `wave start`, `pause`, `resume`, `stop` and `status`.

use carawaybarrow_core::fleet::Fleet;
use carawaybarrow_core::wave::Wave;
use clap::{Arg, ArgMatches, Command, value_parser};
use http_types::Method;
use serde_json::{Value, json};

use crate::cli::{self, CommandFn, Output};
use crate::failure::Failure;
use crate::operator_client::{self, OperatorClient};
use crate::table::render_table;

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let most = Arg::new("most").long("most").value_name("N").value_parser(value_parser!(u32));
    let reason = Arg::new("reason").long("reason").value_name("TEXT").required(true);
    let wave = Command::new("wave")
        .about("Start, control and show the maintenance wave over the VMs of all pools")
        .subcommand_required(true)
        .subcommands([
            Command::new("start")
                .about("Start a wave over all VMs; it replaces one that is paused, stopped or finished")
                .arg(most.help("Maximum number of VMs to maintain")),
            Command::new("pause").about("Grant no further drains until the wave is resumed"),
            Command::new("resume").about("Resume a paused or stopped wave, and clear its recorded failures"),
            Command::new("stop").about("Stop the wave").arg(reason.help("Reason for the record")),
            Command::new("status").about("Show the wave and the VMs of each pool"),
        ])
        .after_help(
            "Examples:\n  carawaybarrow wave start --most 4\n  carawaybarrow wave stop --reason 'race morning'",
        );
    vec![(wave, run)]
}

fn run(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let (name, args) = cli::subcommand(args);
    let client = OperatorClient::from_args(args)?;
    let body = match name {
        "start" => json!({ "command": "start", "most": args.get_one::<u32>("most") }),
        "stop" => json!({ "command": "stop", "reason": cli::value::<String>(args, "reason") }),
        "status" => return show_status(&client, output),
        name => json!({ "command": name }),
    };
    let answer = client.send(Method::Post, "/v1/fleet/commands", Some(&body))?;
    let wave: Option<Wave> = operator_client::read_as(answer["wave"].clone())?;
    output.print(&answer, || wave.as_ref().map_or_else(String::new, describe_wave))
}

fn describe_wave(wave: &Wave) -> String {
    let most = if wave.most == u32::MAX { "all".to_owned() } else { wave.most.to_string() };
    let mut text = format!(
        "wave {} started by {}: {}; {} of {most} VMs taken, {} in maintenance, {} failed\n",
        wave.id,
        wave.started_by,
        wave.phase,
        wave.taken,
        wave.open(),
        wave.failures.len()
    );
    for failure in &wave.failures {
        text.push_str(&format!("failed: VM {} in {}, batch {}\n", failure.vm, failure.domain, failure.batch.0));
    }
    text
}

fn show_status(client: &OperatorClient, output: &Output) -> Result<(), Failure> {
    let answer = client.read("/v1/fleet")?;
    let fleet: Fleet = operator_client::read_as(answer.clone())?;
    output.print(&answer, || {
        let wave = fleet.wave().map_or_else(|| "no wave yet\n".to_owned(), describe_wave);
        let rows: Vec<_> = answer["vms"].as_object().into_iter().flatten().map(|(id, vm)| vm_to_row(id, vm)).collect();
        wave + &render_table(&["VM", "POOL", "STATE", "DATA CENTRE", "RACK", "LENT FROM"], &rows)
    })
}

fn vm_to_row(id: &str, vm: &Value) -> Vec<String> {
    let text = |field: &str| vm[field].as_str().unwrap_or("-").to_owned();
    vec![id.to_owned(), text("pool"), text("state"), text("data_centre"), text("rack"), text("lent_from")]
}
