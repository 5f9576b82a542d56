//! Command line: the commands, their common options, and the output.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use serde_json::Value;

use crate::failure::{self, Failure};
use crate::operator_client;
use crate::{
    command_apply, command_job, command_key, command_object, command_report, command_serve, command_show, command_wave,
};

/// Function that runs a command with its arguments.
pub type CommandFn = fn(&ArgMatches, &Output) -> Result<(), Failure>;

/// Function that builds the commands of a module, each with the function that runs it.
type CommandBuilder = fn() -> Vec<(Command, CommandFn)>;

/// Builders of all commands.
const COMMAND_BUILDERS: [CommandBuilder; 8] = [
    command_serve::build,
    command_apply::build,
    command_show::build,
    command_key::build,
    command_object::build,
    command_wave::build,
    command_job::build,
    command_report::build,
];

const EXAMPLES: &str = "Examples:
  carawaybarrow check --settings entry.jsonc --configuration configuration.jsonc
  carawaybarrow serve --settings entry.jsonc
  carawaybarrow apply configuration.jsonc --entry 10.0.0.1:8080 --entry 10.0.0.2:8080
  carawaybarrow key give clinic-2026 --team clinic
  carawaybarrow show teams --json";

/// Prints results as text, or as JSON with `--json`.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    is_json: bool,
}

impl Output {
    /// Prints a result: `value` as JSON, or `text`.
    ///
    /// # Errors
    ///
    /// Fails if the standard output can't be written.
    pub fn print(&self, value: &Value, text: impl FnOnce() -> String) -> Result<(), Failure> {
        let text = if self.is_json { format!("{value}\n") } else { text() };
        print_text(&text)
    }

    fn print_failure(&self, failure: &Failure) {
        if self.is_json {
            eprintln!("{}", failure.to_json());
        } else {
            eprintln!("{}", failure.to_text());
        }
    }
}

fn print_text(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(|e| Failure::Failed(format!("the result can't be printed: {e}")))
}

/// Builds the command line.
#[must_use]
pub fn build_command() -> Command {
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("ADDR")
        .global(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(format!(
            "Address of an entry; repeat the option to name fallbacks [env: {}]",
            operator_client::ENTRY_VARIABLE
        ));
    let key_file = Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .global(true)
        .value_parser(value_parser!(PathBuf))
        .help(format!(
            "File with the operator's key [env: {}, or the key itself in {}]",
            operator_client::KEY_FILE_VARIABLE,
            operator_client::KEY_VARIABLE
        ));
    let json = Arg::new("json").long("json").global(true).action(ArgAction::SetTrue).help("Print JSON");
    let completions = Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell)));
    let commands = COMMAND_BUILDERS.iter().flat_map(|build| build()).map(|(command, _)| command);
    clap::command!()
        .about("Fleet capacity and maintenance manager")
        .after_help(format!("{EXAMPLES}\n\n{}", failure::EXIT_CODES))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([entry, key_file, json])
        .subcommands(commands)
        .subcommand(completions)
}

/// Parses the arguments of the process and runs the command.
#[must_use]
pub fn run() -> ExitCode {
    let matches = build_command().get_matches();
    let output = Output { is_json: matches.get_flag("json") };
    let Some((name, args)) = matches.subcommand() else { return ExitCode::from(2) };
    match run_command(name, args, &output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.print_failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run_command(name: &str, args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    if let Some(shell) = args.try_get_one::<Shell>("shell").ok().flatten() {
        let mut script = Vec::new();
        clap_complete::generate(*shell, &mut build_command(), "carawaybarrow", &mut script);
        return print_text(&String::from_utf8_lossy(&script));
    }
    let found = COMMAND_BUILDERS.iter().flat_map(|build| build()).find(|(command, _)| command.get_name() == name);
    match found {
        Some((_, run)) => run(args, output),
        None => Err(Failure::invalid("command", format!("there is no command {name}"))),
    }
}

/// The subcommand of a command that requires one.
#[must_use]
pub fn subcommand(args: &ArgMatches) -> (&str, &ArgMatches) {
    args.subcommand().expect("the command requires a subcommand")
}

/// A required argument with a value of type `T`.
#[must_use]
pub fn required_arg<T>(name: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync + 'static> + Clone + Send + Sync + 'static,
{
    optional_arg::<T>(name, value, help).required(true)
}

/// An optional argument with a value of type `T`, positional unless the caller adds `long`.
#[must_use]
pub fn optional_arg<T>(name: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync + 'static> + Clone + Send + Sync + 'static,
{
    Arg::new(name).value_name(value).help(help).value_parser(|text: &str| text.parse::<T>())
}

/// The value of a required argument.
#[must_use]
pub fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name).expect("the argument is required").clone()
}
