//! Commands `key give`, `key withdraw` and `key list`.

use carawaybarrow_core::config::{Change, Key};
use carawaybarrow_core::ids::{KeyId, Revision, TeamId};
use carawaybarrow_core::keys::KeyHash;
use clap::{ArgMatches, Command};
use serde_json::json;

use crate::cli::{self, CommandFn, Output};
use crate::command_show;
use crate::failure::Failure;
use crate::operator_client::{Accepted, OperatorClient};

/// Number of random bytes in a secret.
const SECRET_BYTES: usize = 32;

const EXAMPLES: &str = "Examples:
  carawaybarrow key give clinic-2026 --team clinic
  carawaybarrow key withdraw clinic-2025";

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let id = || cli::required_arg::<KeyId>("id", "KEY", "Name of the key");
    let give = Command::new("give")
        .about("Create a key for a team and print its secret once; the name of a key can't be used again")
        .args([id(), cli::required_arg::<TeamId>("team", "TEAM", "Team whose work the key admits").long("team")]);
    let withdraw = Command::new("withdraw")
        .about("Withdraw a key and wait until the withdrawal is in force at all entries")
        .arg(id());
    let key = Command::new("key")
        .about("Give, withdraw and list the keys of teams")
        .subcommand_required(true)
        .subcommands([give, withdraw, command_show::build_list()])
        .after_help(EXAMPLES);
    vec![(key, run)]
}

fn run(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    match cli::subcommand(args) {
        ("give", args) => give_key(args, output),
        ("withdraw", args) => withdraw_key(args, output),
        (_, args) => command_show::run_list(args, "keys", output),
    }
}

fn create_secret() -> Result<String, Failure> {
    let mut bytes = [0; SECRET_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|e| Failure::Failed(format!("can't generate random bytes for the secret: {e}")))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

fn give_key(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let (id, team): (KeyId, TeamId) = (cli::value(args, "id"), cli::value(args, "team"));
    let client = OperatorClient::from_args(args)?;
    let secret = create_secret()?;
    let value = Key { team: team.clone(), hash: KeyHash::of_secret(&secret) };
    let accepted = client.change(&Change::GiveKey { id: id.clone(), value }, Some(Revision(0)))?;
    // The secret is printed even if the key is not yet in force, because it isn't stored and can't be shown again.
    let shown = json!({ "key": id, "team": team, "secret": secret, "revision": accepted.revision });
    output.print(&shown, || format!("key {id} of team {team}, revision {}\nsecret: {secret}\n", accepted.revision))?;
    check_in_force(accepted)
}

fn withdraw_key(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let id: KeyId = cli::value(args, "id");
    let client = OperatorClient::from_args(args)?;
    let change = Change::WithdrawKey { id: id.clone() };
    let config = client.read_config()?;
    // If the entry doesn't have the key, its configuration may be stale. Then no revision is expected, and the document
    // in the store decides.
    let expected = config.find_current(&change).map(|(_, modified)| modified);
    let accepted = client.change(&change, expected)?;
    let (revision, waited, unconfirmed) = (accepted.revision, accepted.waited_ms, accepted.outstanding.clone());
    check_in_force(accepted)?;
    let shown =
        json!({ "key": id, "revision": revision, "in_force": true, "waited_ms": waited, "outstanding": unconfirmed });
    output.print(&shown, || {
        let mut text = format!("key {id} is withdrawn and in force, revision {revision}, after {waited} ms\n");
        // The outstanding entries are too few for a majority on the old configuration, so none of them can confirm its
        // keys, and none starts keyed work.
        for entry in &unconfirmed {
            text.push_str(&format!("entry {entry} has not confirmed it, and starts no keyed work until it does\n"));
        }
        text
    })
}

/// Checks that an accepted change is in force.
///
/// # Errors
///
/// Fails with the outstanding entries if the change is not yet in force.
pub fn check_in_force(accepted: Accepted) -> Result<(), Failure> {
    let Accepted { revision, in_force, outstanding, .. } = accepted;
    if in_force { Ok(()) } else { Err(Failure::NotInForce { revision, outstanding }) }
}
