//! Explanations for operators: why a job doesn't start, and why a VM is in its state.

use std::sync::Arc;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::fleet::{Vm, VmState};
use carawaybarrow_core::health::Eligibility;
use carawaybarrow_core::ids::{JobId, PoolId, VmId};
use carawaybarrow_core::job::JobSpec;
use carawaybarrow_core::journal::{JobShard, Record, State};
use carawaybarrow_core::wave::Phase;
use futures::future;
use serde_json::{Value, json};
use tide::{Response, StatusCode};

use crate::admin;
use crate::caller_api::{self, HttpRequest};
use crate::entry::Entry;
use crate::shards;

/// Adds the routes for explanations.
pub fn add_routes(app: &mut tide::Server<Arc<Entry>>) {
    app.at("/v1/explain/jobs/:id").get(explain_job);
    app.at("/v1/explain/vms/:id").get(explain_vm);
}

fn not_found(place: &str) -> Response {
    let message = format!("there is no such {place}");
    caller_api::respond(StatusCode::NotFound, &json!({ "errors": [{ "place": place, "message": message }] }))
}

async fn explain_job(req: HttpRequest) -> tide::Result {
    let Some(_) = admin::find_operator(&req) else { return Ok(admin::refuse_non_operator()) };
    let Ok(job) = req.param("id").unwrap_or_default().parse::<JobId>() else { return Ok(not_found("job")) };
    Ok(match req.state().find_explanation(&job).await {
        Ok(Some(explanation)) => caller_api::respond(StatusCode::Ok, &explanation),
        Ok(None) => not_found("job"),
        Err(failure) => caller_api::respond(StatusCode::ServiceUnavailable, &failure),
    })
}

async fn explain_vm(req: HttpRequest) -> tide::Result {
    let Some(_) = admin::find_operator(&req) else { return Ok(admin::refuse_non_operator()) };
    let Ok(vm) = req.param("id").unwrap_or_default().parse::<VmId>() else { return Ok(not_found("vm")) };
    Ok(match req.state().describe_vm(&vm) {
        Some(explanation) => caller_api::respond(StatusCode::Ok, &explanation),
        None => not_found("vm"),
    })
}

impl Entry {
    /// Explains a job that this entry holds: an urgent one, or a durable one in a shard that it owns.
    #[must_use]
    pub fn explain_held_job(&self, job: &JobId) -> Option<Value> {
        let urgent = self.dispatch().urgent.get(job).map(|urgent| (urgent.spec.clone(), urgent.tried.clone()));
        if let Some((spec, tried)) = urgent {
            let mut explanation = self.describe_spec(&spec, "urgent");
            explanation["tried"] = json!(tried);
            explanation["reasons"] = json!(self.list_wait_reasons(&spec));
            return Some(explanation);
        }
        self.shards.read(self.shards.of_job(job), |document| document.record(job).cloned()).flatten().map(|record| {
            let mut explanation = self.describe_record(&record);
            if record.state == State::Waiting {
                explanation["reasons"] = json!(self.list_wait_reasons(&record.spec));
            }
            explanation
        })
    }

    /// Looks for an explanation of a job at this entry, then at all other members, then in the store. If the store can't
    /// be read either, fails with the members that did not answer.
    async fn find_explanation(&self, job: &JobId) -> Result<Option<Value>, Value> {
        if let Some(explanation) = self.explain_held_job(job) {
            return Ok(Some(explanation));
        }
        let members = self.config_state.members();
        let others: Vec<_> = members.members.current.keys().filter(|id| **id != self.settings.entry).collect();
        let answers = future::join_all(others.iter().map(|id| self.explain_at_peer(id, job))).await;
        let missing: Vec<_> = others.iter().zip(&answers).filter(|(_, a)| a.is_err()).map(|(id, _)| *id).collect();
        if let Some(explanation) = answers.iter().flatten().flatten().next() {
            return Ok(Some(explanation.clone()));
        }
        let failure =
            json!({ "missing": missing, "errors": [{ "place": "store", "message": "the journal can't be read now" }] });
        let stored = self.store.get(&shards::shard_key(self.shards.of_job(job))).await;
        let Ok(stored) = stored else { return Err(failure) };
        let Some(stored) = stored else { return Ok(None) };
        let Ok(document) = JobShard::decode(&stored.bytes) else { return Err(failure) };
        Ok(match document.record(job) {
            Some(record) => {
                let mut explanation = self.describe_record(record);
                explanation["reasons"] =
                    json!(["the owner of the job's shard did not answer; the shard may have no owner now"]);
                explanation["missing"] = json!(missing);
                Some(explanation)
            }
            None => document
                .get(job)
                .map(|view| json!({ "job": job, "state": view.state, "archived": true, "missing": missing })),
        })
    }

    fn describe_spec(&self, spec: &JobSpec, kind: &str) -> Value {
        let position = self.dispatch().queues.get(&spec.pool).and_then(|queue| queue.find_position(&spec.id));
        json!({
            "job": spec.id, "kind": kind, "entry": self.settings.entry, "team": spec.team, "queue": spec.queue,
            "class": spec.class, "pool": spec.pool, "accepted_at": spec.accepted_at, "deadline": spec.deadline,
            "ahead_in_team": position.map(|p| p.ahead), "waiting_in_team": position.map(|p| p.waiting),
        })
    }

    fn describe_record(&self, record: &Record) -> Value {
        let mut explanation = self.describe_spec(&record.spec, "durable");
        explanation["state"] = json!(record.state.name());
        explanation["failures"] = json!(record.failures);
        explanation["last_failure"] = json!(record.last_failure);
        match &record.state {
            State::Waiting => {}
            State::Claimed { claim, cancel_requested } => {
                explanation["claim"] = json!(claim);
                explanation["cancel_requested"] = json!(cancel_requested);
            }
            State::Ended { at, claim, .. } => {
                explanation["ended_at"] = json!(at);
                explanation["claim"] = json!(claim);
            }
        }
        explanation
    }

    /// Reasons why a waiting job of this entry doesn't start.
    fn list_wait_reasons(&self, spec: &JobSpec) -> Vec<String> {
        let now = self.clock.now();
        let mut reasons = Vec::new();
        if spec.team.is_some() && !self.is_fresh() {
            reasons.push("this entry can't confirm that keys and limits are current".to_owned());
        }
        if !self.is_store_reachable() {
            reasons.push("the store can't be reached, so no durable job is claimed".to_owned());
        }
        let dispatch = self.dispatch();
        if let Some(team) = spec.team.as_ref().filter(|team| !dispatch.permits.may_start(team)) {
            reasons.push(format!(
                "no further job of team {team} may start at this entry because the entry holds no free permit out of \
                 the team's limit that may be used now"
            ));
        }
        let slots = dispatch.slots(&spec.pool, now);
        match (slots.total, slots.free) {
            (0, _) => reasons.push(format!("no worker of pool {} takes work", spec.pool)),
            (total, 0) => reasons.push(format!("pool {} is full: all {total} slots are in use", spec.pool)),
            _ => {}
        }
        let quarantined =
            dispatch.health.get(&spec.pool).map_or(0, carawaybarrow_core::health::PoolHealth::count_quarantined);
        if quarantined > 0 {
            reasons.push(format!("{quarantined} VMs of pool {} are quarantined", spec.pool));
        }
        if spec.deadline.is_some_and(|deadline| deadline < self.clock.wall()) {
            reasons.push("the deadline has passed".to_owned());
        }
        reasons
    }

    fn describe_vm(&self, id: &VmId) -> Option<Value> {
        let fleet = self.fleet.document();
        let vm = fleet.vm(id)?;
        let availability = fleet.availability(&vm.pool);
        let (routing, eligibility) = {
            let dispatch = self.dispatch();
            let health = dispatch.health.get(&vm.pool);
            (dispatch.endpoints.state(id), health.map(|health| health.check_eligibility(id, self.clock.now())))
        };
        let mut reasons = list_vm_reasons(vm);
        if eligibility.is_some_and(|eligibility| eligibility != Eligibility::Eligible) {
            reasons.push(format!("entry {} has quarantined the VM", self.settings.entry));
        }
        reasons.extend(self.list_pool_reasons(&vm.pool, availability.available, availability.size));
        if let Some(wave) = fleet.wave().filter(|wave| !matches!(wave.phase, Phase::Running | Phase::Finished { .. })) {
            reasons.push(format!("wave {} grants no drains: {}", wave.id, wave.phase));
        }
        Some(json!({
            "vm": id, "entry": self.settings.entry, "record": vm, "routing": routing.map(|s| format!("{s:?}").to_lowercase()),
            "pool": { "size": availability.size, "available": availability.available },
            "wave": fleet.wave().map(|wave| json!({ "id": wave.id, "phase": wave.phase })), "reasons": reasons,
        }))
    }

    /// Reasons why the VMs of a pool may not be drained or moved now.
    fn list_pool_reasons(&self, pool: &PoolId, available: u32, size: u32) -> Vec<String> {
        let snapshot = self.config_state.config();
        let Some(pool_config) = snapshot.config.pools.get(pool) else {
            return vec![format!("pool {pool} is not configured")];
        };
        let mut reasons = Vec::new();
        let min_available = pool_config.value.min_available;
        // Another drain would leave one available VM less.
        if u64::from(available.saturating_sub(1)) * 100 < u64::from(size) * u64::from(min_available.get()) {
            reasons.push(format!("pool {pool} is outside its budget for a drain: {available} of {size} VMs are available, {min_available} must be"));
        }
        let wall = self.clock.wall();
        if pool_config.value.deadline_windows.iter().any(|w| w.from <= wall && wall < w.to) {
            reasons.push(format!("pool {pool} is in a deadline window, in which its VMs are not drained or moved"));
        }
        reasons
    }
}

fn list_vm_reasons(vm: &Vm) -> Vec<String> {
    let mut reasons = Vec::new();
    let cause = vm.permit.as_ref().map_or_else(String::new, |permit| format!(" ({:?})", permit.cause));
    match vm.state {
        VmState::Serving => {}
        VmState::Draining => reasons.push(format!("the VM is draining{cause}")),
        VmState::Drained => reasons.push(format!("the VM is drained{cause}")),
        VmState::Rebooting => reasons.push(format!("the VM reboots{cause}")),
        VmState::Failed => reasons.push("the VM can't be reached or doesn't work".to_owned()),
    }
    reasons
}
