//! HTTP interface for operators.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::config::{Change, ConfigCommand, ConfigOutcome};
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::fleet::{FleetCommand, FleetOutcome};
use carawaybarrow_core::ids::{JobId, OperatorId, Revision};
use carawaybarrow_core::journal::{JobCommand, JobOutcome, Resolution};
use carawaybarrow_core::units::Millis;
use serde::Deserialize;
use serde_json::json;
use tide::{Response, StatusCode};

use crate::caller_api::{self, HttpRequest};
use crate::entry::Entry;
use crate::store::CommitError;

/// Maximum time that an operator's request waits for a change to be in force at all entries.
const IN_FORCE_TIMEOUT: Millis = Millis(8_000);

/// Interval at which a waiting request checks whether the change is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of VMs in a wave for which the operator set no maximum.
const DEFAULT_WAVE_SIZE: u32 = u32::MAX;

/// Body of a request that changes the configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    #[serde(default)]
    expected: Option<Revision>,
    change: Change,
}

/// Body of a request about the maintenance wave.
#[derive(Debug, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
enum WaveRequest {
    Start {
        #[serde(default)]
        most: Option<u32>,
    },
    Pause,
    Resume,
    Stop {
        reason: String,
    },
}

/// Body of a request that resolves a job of unknown outcome.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ResolveBody {
    found: Resolution,
}

/// Adds the routes for operators.
pub fn add_routes(app: &mut tide::Server<Arc<Entry>>) {
    app.at("/v1/config").get(|req: HttpRequest| async move {
        let Some(_) = find_operator(&req) else { return Ok(refuse_non_operator()) };
        Ok(caller_api::respond(StatusCode::Ok, &req.state().config_state.config().config))
    });
    app.at("/v1/config/changes").post(change_config);
    app.at("/v1/fleet").get(|req: HttpRequest| async move {
        let Some(_) = find_operator(&req) else { return Ok(refuse_non_operator()) };
        Ok(caller_api::respond(StatusCode::Ok, &req.state().fleet.document()))
    });
    app.at("/v1/fleet/commands").post(change_wave);
    app.at("/v1/jobs/:id/resolve").post(resolve_job);
    app.at("/v1/status").get(show_status);
}

/// The operator whose key is in the request; `None` if no operator has it.
pub(crate) fn find_operator(req: &HttpRequest) -> Option<OperatorId> {
    let key = caller_api::read_key(req)?;
    req.state().settings.operators.iter().find(|o| o.key_sha256 == key).map(|o| o.name.clone())
}

/// The response to a request without the key of an operator.
pub(crate) fn refuse_non_operator() -> Response {
    let mut errors = Findings::new();
    errors.add("authorization", "no operator has this key");
    caller_api::respond(StatusCode::Unauthorized, &json!({ "errors": errors }))
}

/// The response to a change that the store did not confirm.
fn describe_commit_error(error: CommitError) -> Response {
    let (status, written) = match error {
        CommitError::NotWritten { .. } => (StatusCode::ServiceUnavailable, "no"),
        CommitError::Unknown => (StatusCode::GatewayTimeout, "unknown"),
    };
    let errors = [json!({ "place": "store", "message": error.to_string() })];
    caller_api::respond(status, &json!({ "written": written, "errors": errors }))
}

async fn change_config(mut req: HttpRequest) -> tide::Result {
    let Some(by) = find_operator(&req) else { return Ok(refuse_non_operator()) };
    let entry = Arc::clone(req.state());
    let body = match caller_api::read_json::<ChangeBody>(&mut req).await {
        Ok(body) => body,
        Err(res) => return Ok(res),
    };
    let command = ConfigCommand { by, at: entry.clock.wall(), expected: body.expected, change: body.change };
    Ok(match entry.change_config(command).await {
        Ok(ConfigOutcome::Accepted { revision }) => wait_in_force(&entry, revision).await,
        Ok(outcome @ ConfigOutcome::Conflict { .. }) => caller_api::respond(StatusCode::Conflict, &outcome),
        Ok(outcome @ ConfigOutcome::Invalid { .. }) => caller_api::respond(StatusCode::UnprocessableEntity, &outcome),
        Err(e) => describe_commit_error(e),
    })
}

/// Waits until an accepted change is in force, for at most [`IN_FORCE_TIMEOUT`]. The response names the entries that
/// have not confirmed it.
async fn wait_in_force(entry: &Arc<Entry>, revision: Revision) -> Response {
    let started = entry.clock.now();
    // The change isn't confirmed before a probe that is current, which shows that this entry knows all members to wait
    // for.
    entry.probe().await;
    loop {
        // Peers are notified of the change by a heartbeat, and confirm it in the answer to a later one.
        entry.heartbeat_all().await;
        task::sleep(IN_FORCE_POLL_INTERVAL).await;
        let now = entry.clock.now();
        let in_force = entry.freshness().confirmations().check_in_force(revision, now);
        let waited = now.since(started);
        if in_force.basis.is_some() || waited >= IN_FORCE_TIMEOUT {
            let body = json!({
                "outcome": "accepted",
                "revision": revision,
                "in_force": in_force.basis.is_some(),
                "outstanding": in_force.outstanding,
                "waited_ms": waited,
            });
            return caller_api::respond(StatusCode::Ok, &body);
        }
    }
}

async fn change_wave(mut req: HttpRequest) -> tide::Result {
    let Some(by) = find_operator(&req) else { return Ok(refuse_non_operator()) };
    let entry = Arc::clone(req.state());
    let request = match caller_api::read_json::<WaveRequest>(&mut req).await {
        Ok(request) => request,
        Err(res) => return Ok(res),
    };
    let Some(command) = build_wave_command(&entry, request, by) else {
        let errors = [json!({ "place": "wave", "message": "there is no wave" })];
        return Ok(caller_api::respond(StatusCode::Conflict, &json!({ "errors": errors })));
    };
    Ok(match entry.change_fleet(vec![command]).await.as_deref() {
        Ok([FleetOutcome::Applied | FleetOutcome::Unchanged]) => {
            caller_api::respond(StatusCode::Ok, &json!({ "wave": entry.fleet.document().wave() }))
        }
        Ok(outcomes) => caller_api::respond(StatusCode::Conflict, &json!({ "outcomes": outcomes })),
        Err(e) => describe_commit_error(*e),
    })
}

/// The command for a request; `None` if it needs a wave and there is none.
fn build_wave_command(entry: &Entry, request: WaveRequest, by: OperatorId) -> Option<FleetCommand> {
    let document = entry.fleet.document();
    let current = document.wave();
    let at = entry.clock.wall();
    Some(match request {
        WaveRequest::Start { most } => FleetCommand::StartWave {
            replaces: current.map(|w| w.id),
            cutoff: at,
            most: most.unwrap_or(DEFAULT_WAVE_SIZE),
            by,
            at,
        },
        WaveRequest::Pause => FleetCommand::PauseWave { wave: current?.id, by },
        WaveRequest::Resume => {
            let wave = current?;
            FleetCommand::ResumeWave { wave: wave.id, expect: wave.phase_changes, by }
        }
        WaveRequest::Stop { reason } => FleetCommand::StopWave { wave: current?.id, reason, by },
    })
}

async fn resolve_job(mut req: HttpRequest) -> tide::Result {
    let Some(by) = find_operator(&req) else { return Ok(refuse_non_operator()) };
    let entry = Arc::clone(req.state());
    let body = match caller_api::read_json::<ResolveBody>(&mut req).await {
        Ok(body) => body,
        Err(res) => return Ok(res),
    };
    let Ok(job) = req.param("id").unwrap_or_default().parse::<JobId>() else {
        let errors = [json!({ "place": "job", "message": "there is no such job" })];
        return Ok(caller_api::respond(StatusCode::NotFound, &json!({ "errors": errors })));
    };
    let command = JobCommand::Resolve { job: job.clone(), by, found: body.found, at: entry.clock.wall() };
    Ok(match entry.submit(entry.shards.of_job(&job), vec![command]).await.as_deref() {
        Ok([JobOutcome::Ended { view } | JobOutcome::AlreadyThere { view }]) => {
            caller_api::respond(StatusCode::Ok, &json!({ "job": job, "state": view.state, "ran": view.ran }))
        }
        Ok(outcomes) => caller_api::respond(StatusCode::Conflict, &json!({ "outcomes": outcomes })),
        Err(e) => caller_api::respond(
            StatusCode::ServiceUnavailable,
            &json!({ "errors": [{ "place": "store", "message": e.to_string() }] }),
        ),
    })
}

async fn show_status(req: HttpRequest) -> tide::Result {
    let Some(_) = find_operator(&req) else { return Ok(refuse_non_operator()) };
    let entry = req.state();
    let now = entry.clock.now();
    let freshness = match entry.freshness().check_freshness(now) {
        Ok(basis) => format!("{basis:?}"),
        Err(reason) => reason.to_string(),
    };
    let members = entry.config_state.members();
    let waiting: Vec<_> = {
        let dispatch = entry.dispatch();
        let count =
            |(pool, queue): (_, &carawaybarrow_core::queue::ReadyQueue)| json!({ "pool": pool, "jobs": queue.len() });
        dispatch.queues.iter().map(count).collect()
    };
    let body = json!({
        "entry": entry.settings.entry,
        "incarnation": entry.incarnation.to_string(),
        "revision": entry.config_state.config().config.revision,
        "fresh": entry.is_fresh(),
        "freshness": freshness,
        "store_reachable": entry.is_store_reachable(),
        "members": members.members.current.keys().collect::<Vec<_>>(),
        "shards": entry.shards.owned(),
        "waiting": waiting,
    });
    Ok(caller_api::respond(StatusCode::Ok, &body))
}
