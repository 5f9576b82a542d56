//! Commands `class`, `pool`, `team` and `queue`, each with `set` and `list`.

use carawaybarrow_core::config::{Change, Class, Config, Pool, Queue, Target, Team};
use carawaybarrow_core::ids::{ClassId, PoolId, QueueId, Revision, TeamId};
use carawaybarrow_core::units::{Millis, Percent};
use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::change_file;
use crate::cli::{self, CommandFn, Output};
use crate::command_key;
use crate::command_show;
use crate::failure::Failure;
use crate::operator_client::OperatorClient;

const SET_HELP: &str = "Options that are left out keep their value; a new object needs those without a default.
Without --expect, the revision that was read is expected, so a change made in between is a conflict.";

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    vec![
        (build_group("class", "Set and list the classes of work", set_class_args), run_class),
        (build_group("pool", "Set and list the pools of VMs", set_pool_args), run_pool),
        (build_group("team", "Set and list the teams", set_team_args), run_team),
        (build_group("queue", "Set and list the queues", set_queue_args), run_queue),
    ]
}

fn build_group(name: &'static str, about: &'static str, add_args: fn(Command) -> Command) -> Command {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("Revision that last changed the object; 0 if it must not exist");
    let set = add_args(Command::new("set").about("Create or change an object").after_help(SET_HELP)).arg(expect);
    Command::new(name).about(about).subcommand_required(true).subcommands([set, command_show::build_list()])
}

fn bool_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("true|false").value_parser(value_parser!(bool)).help(help)
}

fn set_class_args(command: Command) -> Command {
    command
        .arg(cli::required_arg::<ClassId>("id", "CLASS", "Name of the class"))
        .arg(cli::optional_arg::<Millis>("within", "DURATION", "Start within this time, such as 1100ms").long("within"))
        .arg(Arg::new("by").long("by").value_name("HH:MM").value_parser(parse_minute).help("End by this time, UTC"))
        .arg(Arg::new("eventually").long("eventually").action(ArgAction::SetTrue).help("End without a deadline"))
        .group(ArgGroup::new("target").args(["within", "by", "eventually"]).required(true))
}

fn set_pool_args(command: Command) -> Command {
    command
        .arg(cli::required_arg::<PoolId>("id", "POOL", "Name of the pool"))
        .arg(
            cli::optional_arg::<Percent>("min-available", "PERCENT", "Percentage of its VMs that must be available")
                .long("min-available"),
        )
        .arg(
            cli::optional_arg::<u32>(
                "baseline",
                "N",
                "Number of VMs that the pool is assigned before the spare pool gets any [new pool: 0]",
            )
            .long("baseline"),
        )
        .arg(bool_option("spare", "Whether its VMs are lent to other pools [new pool: false]"))
}

fn set_team_args(command: Command) -> Command {
    command
        .arg(cli::required_arg::<TeamId>("id", "TEAM", "Name of the team"))
        .arg(
            cli::optional_arg::<Percent>("share", "PERCENT", "Percentage of the running jobs while the fleet is full")
                .long("share"),
        )
        .arg(cli::optional_arg::<u32>("limit", "N", "Maximum number of running jobs across the fleet").long("limit"))
}

fn set_queue_args(command: Command) -> Command {
    command
        .arg(cli::required_arg::<QueueId>("id", "QUEUE", "Name of the queue"))
        .arg(cli::optional_arg::<ClassId>("class", "CLASS", "Class of its jobs").long("class"))
        .arg(cli::optional_arg::<PoolId>("pool", "POOL", "Pool that runs its jobs").long("pool"))
        .arg(bool_option("open-to-all", "Whether work is accepted without a key [new queue: false]"))
        .arg(bool_option("idempotent", "Whether a job may be run again [new queue: false]"))
}

/// Parses a time of day `HH:MM` into minutes since midnight.
fn parse_minute(text: &str) -> Result<u16, String> {
    let wrong = || format!("{text:?} is not a time of day from 00:00 to 23:59");
    let (hour, minute) = text.split_once(':').ok_or_else(wrong)?;
    match (hour.parse::<u16>(), minute.parse::<u16>()) {
        (Ok(hour @ 0..=23), Ok(minute @ 0..=59)) if minute <= 59 => Ok(hour * 60 + minute),
        _ => Err(wrong()),
    }
}

fn run_class(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    run_set_or_list(args, output, "classes", |_, args| {
        let target = match (args.get_one::<Millis>("within"), args.get_one::<u16>("by")) {
            (Some(ms), _) => Target::Within { ms: *ms },
            (None, Some(minute)) => Target::By { minute_of_day: *minute },
            (None, None) => Target::Eventually,
        };
        Ok(Change::SetClass { id: cli::value(args, "id"), value: Class { target } })
    })
}

fn run_pool(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    run_set_or_list(args, output, "pools", |config, args| {
        let id: PoolId = cli::value(args, "id");
        let old = config.pools.get(&id).map(|pool| &pool.value);
        let value = Pool {
            min_available: option_or_current(args, "min-available", old.map(|p| p.min_available))?,
            baseline: option_or_current(args, "baseline", old.map(|p| p.baseline).or(Some(0)))?,
            spare: option_or_current(args, "spare", old.map(|p| p.spare).or(Some(false)))?,
            deadline_windows: old.map(|p| p.deadline_windows.clone()).unwrap_or_default(),
        };
        Ok(Change::SetPool { id, value })
    })
}

fn run_team(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    run_set_or_list(args, output, "teams", |config, args| {
        let id: TeamId = cli::value(args, "id");
        let old = config.teams.get(&id).map(|team| &team.value);
        let value = Team {
            share: option_or_current(args, "share", old.map(|t| t.share))?,
            limit: option_or_current(args, "limit", old.map(|t| t.limit))?,
        };
        Ok(Change::SetTeam { id, value })
    })
}

fn run_queue(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    run_set_or_list(args, output, "queues", |config, args| {
        let id: QueueId = cli::value(args, "id");
        let old = config.queues.get(&id).map(|queue| &queue.value);
        let value = Queue {
            class: option_or_current(args, "class", old.map(|q| q.class.clone()))?,
            pool: option_or_current(args, "pool", old.map(|q| q.pool.clone()))?,
            open_to_all: option_or_current(args, "open-to-all", old.map(|q| q.open_to_all).or(Some(false)))?,
            idempotent: option_or_current(args, "idempotent", old.map(|q| q.idempotent).or(Some(false)))?,
        };
        Ok(Change::SetQueue { id, value })
    })
}

/// Value of an option, or else the current value of the object's field.
fn option_or_current<T: Clone + Send + Sync + 'static>(
    args: &ArgMatches,
    name: &str,
    old: Option<T>,
) -> Result<T, Failure> {
    let missing = || Failure::invalid(format!("--{name}"), "a new object needs this option");
    args.get_one::<T>(name).cloned().or(old).ok_or_else(missing)
}

fn run_set_or_list(
    args: &ArgMatches,
    output: &Output,
    section: &str,
    build_change: impl FnOnce(&Config, &ArgMatches) -> Result<Change, Failure>,
) -> Result<(), Failure> {
    let (_, inner) = cli::subcommand(args);
    if command_show::is_list(args) {
        return command_show::run_list(inner, section, output);
    }
    let client = OperatorClient::from_args(inner)?;
    let config = client.read_config()?;
    let change = build_change(&config, inner)?;
    let current_revision = config.find_current(&change).map_or(Revision(0), |(_, modified)| modified);
    let expected = inner.get_one::<u64>("expect").map_or(current_revision, |revision| Revision(*revision));
    let accepted = client.change(&change, Some(expected))?;
    let (_, id) = change_file::object_id(&change);
    let (revision, in_force) = (accepted.revision, accepted.in_force);
    let shown = json!({ "object": format!("{section}.{id}"), "revision": revision, "in_force": in_force });
    output.print(&shown, || format!("revision {revision}: {section}.{id}\n"))?;
    command_key::check_in_force(accepted)
}
