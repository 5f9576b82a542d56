//! Orders about VMs: maintenance waves that operators request, and moves between pools.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Set;
use carawaybarrow_core::answer_time::AnswerTime;
use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::candidacy::Strength;
use carawaybarrow_core::sched::graph::VmKey;
use carawaybarrow_core::sched::maintenance::{VM_CALL_LIMIT, Vm, VmAnswer, Wave, WaveProgress};
use carawaybarrow_core::sched::vm_turns::{StoredMoves, VmTurns};
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::configuration::WAVE_REQUEST_PREFIX;
use carawaybarrow_platform::store::{Change, ChangeOutcome, StoreError, StoreRevision};
use carawaybarrow_platform::vms::{
    LeaseHolder, VmClient, encode_wave_state, is_wave_complete, parse_wave_request, wave_status_key,
};

use crate::node::records::{self, SCHEDULER_KEY, VM_MOVES_KEY};
use crate::node::term::Term;
use crate::node::view::{self, STORE_TIMEOUT};

/// Time for the answer to an order, and margin of the time for a page of the list of VMs.
const VM_API_TIMEOUT: Duration = VM_CALL_LIMIT.to_duration();

/// Number of lists in a row without an answer up to which the time for the next one doubles.
const MAX_LIST_DOUBLINGS: u32 = 3;

/// Time between reads of the requested waves.
const WAVE_INTERVAL: Millis = Millis(1_000);

/// Time between decisions about VMs: a peak lasts seconds, and a VM takes 1.5 s to join another pool. Lists of the VMs
/// are at least as far apart.
const DECISION_INTERVAL: Millis = Millis(150);

/// Minimum time between lists per 1,000 VMs, so that lists of a large fleet take no more CPU than those of a small one.
/// In between, decisions use the last list and the orders since.
const LIST_INTERVAL_PER_1000: Millis = Millis(400);

/// Time since the store is last known to have held the term, up to which waves advance. An entry that fences the term begins
/// the next one at the earliest [`FENCING_DELAY`](carawaybarrow_core::sched::fence::FENCING_DELAY) after its end.
const MAX_STORE_AGE: Millis = Millis(3_000);

/// Size of a VM in the list, in bytes; the platform's published example has 165 with short names.
const VM_BYTES: u64 = 200;

/// Part of the link that lists of VMs may take, in percent.
const LIST_PERCENT: u64 = 10;

/// Lists the VMs, advances the waves and moves VMs until the term ends. Returns at once if the platform has no VM API.
pub async fn run(term: Arc<Term>) {
    let Some(address) = term.view.settings.vm_list else { return };
    let vms = VmClient::new(address, &term.view.settings.entry);
    let holder = LeaseHolder { entry: term.owner.entry.clone(), token: term.revision.0 };
    let began = view::now().mono;
    let mut complete_waves: Set<u64> = Set::default();
    let mut waves: Vec<Wave> = Vec::new();
    // VMs that any wave names; `None` until the requests were read.
    let mut in_waves: Option<Set<VmKey>> = None;
    let earlier = &term.earlier_vm_orders;
    let mut turns = VmTurns::new(began, term.view.settings.bounds.order_lease, earlier.moves.clone());
    let mut balance = BalanceState::default();
    let mut waves_read_at = None;
    let mut listed: Vec<Vm> = Vec::new();
    let mut next_list = MonoTime(0);
    let mut list_time = new_list_time();
    while !term.is_ended() {
        let now = view::now().mono;
        if waves_read_at.is_none_or(|at| now.since(at) >= WAVE_INTERVAL) {
            waves_read_at = Some(now);
            read_new_waves(&term, &mut waves, &complete_waves, &mut in_waves).await;
        }
        if now >= next_list {
            let requested = view::now().mono;
            match list_vms(&vms, &mut list_time).await {
                Ok(new) => listed = new,
                Err(e) => {
                    log::info!(error:% = e; "the list of VMs can't be read");
                    task::sleep(DECISION_INTERVAL.to_duration()).await;
                    continue;
                }
            }
            next_list = view::now().mono + list_interval(&term.view.settings.strength, listed.len());
            term.with(|s| s.apply_vm_list(requested, view::now().mono, &listed));
        }
        // An earlier scheduler may have given orders until just before this term. It has stored which VMs it moved, but not
        // which it ordered down for a wave.
        let may_order_any = earlier.may_order_at_once || turns.has_passed(view::now().mono);
        if !may_order_any {
            if let (Some(moved), Some(in_waves)) = (turns.earlier(), &in_waves) {
                balance.set_untouchable(Some(moved.union(in_waves).cloned().collect()));
                if !move_vms(&term, &vms, &holder, &mut turns, &mut balance, &listed).await {
                    return;
                }
            }
            task::sleep(DECISION_INTERVAL.to_duration()).await;
            continue;
        }
        balance.set_untouchable(None);
        for wave in &mut waves {
            // The term may have ended during a call, or while the process was suspended. A later scheduler gives its first
            // orders 3 s after it began, and a call takes up to 1 s. Other entries may confirm a term that has been fenced.
            if !term.is_confirmed() || term.stored_age() > MAX_STORE_AGE {
                term.with(|s| s.end_long_evacuations(view::now().mono, wave, &listed));
                continue;
            }
            if !advance_wave(&term, &vms, &holder, wave, &listed).await {
                return;
            }
            if wave.is_complete() && store_wave_state(&term, wave, true).await {
                complete_waves.insert(wave.request.number);
            }
        }
        waves.retain(|w| !complete_waves.contains(&w.request.number));
        if !move_vms(&term, &vms, &holder, &mut turns, &mut balance, &listed).await {
            return;
        }
        task::sleep(DECISION_INTERVAL.to_duration()).await;
    }
}

/// Time for lists of VMs before the first one.
#[must_use]
pub const fn new_list_time() -> AnswerTime {
    AnswerTime::new(VM_CALL_LIMIT, MAX_LIST_DOUBLINGS)
}

/// Lists the VMs.
///
/// # Errors
///
/// Fails if the API gives no usable answer in the time that its last answers require.
pub async fn list_vms(vms: &VmClient, time: &mut AnswerTime) -> Result<Vec<Vm>, StoreError> {
    let requested = view::now().mono;
    let listed = vms.list(time.limit(Millis(0)).to_duration()).await;
    match &listed {
        Ok(_) => time.record_answer(view::now().mono.since(requested)),
        Err(e) if e.may_have_taken_effect() => time.record_unanswered(),
        Err(_) => {}
    }
    listed
}

/// Time between lists of `count` VMs, so that lists leave bandwidth and CPU to orders and answers.
fn list_interval(strength: &Strength, count: usize) -> Millis {
    let transfer = strength.transfer_time(count as u64 * VM_BYTES);
    let for_cpu = LIST_INTERVAL_PER_1000.0 * count as u64 / 1_000;
    DECISION_INTERVAL.max(Millis(transfer.0 * 100 / LIST_PERCENT)).max(Millis(for_cpu))
}

/// Orders the moves that the demand of the pools requires. Returns whether the term may give more orders.
async fn move_vms(
    term: &Arc<Term>,
    vms: &VmClient,
    holder: &LeaseHolder,
    turns: &mut VmTurns,
    balance: &mut BalanceState,
    listed: &[Vm],
) -> bool {
    // A worker that is not in the stored recovery set gets no tasks, so a moved VM would be of no use, and the next
    // scheduler would wait for the worker that it had.
    if term.is_ended() || !term.reaches_store() {
        return true;
    }
    let moves = term.with(|s| s.plan_moves(view::now().mono, balance, listed));
    if moves.is_empty() {
        return true;
    }
    if !store_moves(term, turns.record(view::now().mono, moves.iter().map(|m| m.vm.clone()))).await {
        moves.iter().for_each(|planned| term.with(|s| s.apply_move_answer(balance, planned, VmAnswer::Refused)));
        return true;
    }
    let answers = moves.iter().map(|planned| vms.order_move(holder, &planned.vm, &planned.pool, VM_API_TIMEOUT));
    let answers = futures::future::join_all(answers).await;
    for (planned, (answer, error)) in moves.iter().zip(answers) {
        let error = error.map(|e| e.to_string()).unwrap_or_default();
        log::info!(vm:% = planned.vm, pool:% = planned.pool, need = planned.need, have = planned.have, token = holder.token, answer:? = answer, error:% = error; "move ordered");
        term.with(|s| s.apply_move_answer(balance, planned, answer));
        if answer == VmAnswer::Fenced {
            term.end("the list of VMs has seen a higher token");
            return false;
        }
    }
    true
}

/// Stores which VMs are moved, so that the next scheduler leaves them alone for a while. Returns whether the store confirmed the
/// write.
async fn store_moves(term: &Arc<Term>, moves: StoredMoves) -> bool {
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
        puts: vec![(VM_MOVES_KEY.to_owned(), records::encode(&moves), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(_)) => true,
        answer => {
            log::info!(answer:? = answer; "moves are not stored, and not ordered");
            false
        }
    }
}

/// Adds the requested waves that are neither known nor complete, and the VMs of all requested ones to `in_waves`.
async fn read_new_waves(
    term: &Arc<Term>,
    waves: &mut Vec<Wave>,
    complete_waves: &Set<u64>,
    in_waves: &mut Option<Set<VmKey>>,
) {
    let items = match term.view.store.list(WAVE_REQUEST_PREFIX, STORE_TIMEOUT).await {
        Ok((items, _)) => items,
        Err(e) => return log::info!(error:% = e; "the list of waves can't be read"),
    };
    let in_waves = in_waves.get_or_insert_default();
    for item in items {
        let Some(value) = &item.value else { continue };
        let request = match parse_wave_request(value) {
            Ok(request) => request,
            Err(e) => {
                log::warn!(key:% = item.key, error:% = e; "a request for a wave is malformed");
                continue;
            }
        };
        in_waves.extend(request.vms.iter().cloned());
        if complete_waves.contains(&request.number) || waves.iter().any(|w| w.request.number == request.number) {
            continue;
        }
        match term.view.store.get(&wave_status_key(request.number), STORE_TIMEOUT).await {
            Ok(Some(item)) if item.value.as_deref().is_some_and(is_wave_complete) => continue,
            Ok(_) => {}
            Err(e) => {
                log::info!(wave = request.number, error:% = e; "state of a wave can't be read");
                continue;
            }
        }
        let stored = match read_wave_progress(term, request.number).await {
            Ok(stored) => stored,
            Err(e) => {
                log::info!(wave = request.number, error:% = e; "progress of a wave can't be read");
                continue;
            }
        };
        let now = view::now();
        let progress = stored.unwrap_or_else(|| WaveProgress { started: now.wall, ordered: Vec::new() });
        log::info!(wave = request.number, vms = request.vms.len(), ceiling = request.ceiling, within_ms = request.within.0, ordered = progress.ordered.len(); "wave begins or continues");
        let wave = Wave::new(request, now, &progress);
        if store_wave_state(term, &wave, false).await {
            waves.push(wave);
        }
    }
}

/// Stored progress of a wave of earlier terms; `None` for a wave that begins now.
async fn read_wave_progress(term: &Arc<Term>, number: u64) -> Result<Option<WaveProgress>, StoreError> {
    let item = term.view.store.get(&records::wave_progress_key(number), STORE_TIMEOUT).await?;
    Ok(item.and_then(|i| i.value).and_then(|value| match records::decode(&value) {
        Ok(progress) => Some(progress),
        Err(e) => {
            log::error!(wave = number, error:% = e; "progress of a wave is malformed; maintenance is ordered again for all its VMs");
            None
        }
    }))
}

/// Stores the state of a wave for operators, and its progress for a later scheduler. Returns whether the store
/// confirmed the write.
async fn store_wave_state(term: &Arc<Term>, wave: &Wave, is_complete: bool) -> bool {
    let number = wave.request.number;
    let (key, value) = encode_wave_state(number, is_complete);
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
        puts: vec![(key, value, None), (records::wave_progress_key(number), records::encode(&wave.progress()), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(StoreRevision(revision))) => {
            log::info!(wave = number, complete = is_complete, ordered = wave.progress().ordered.len(), revision = revision; "state of a wave stored");
            true
        }
        answer => {
            log::info!(wave = number, complete = is_complete, answer:? = answer; "state of a wave is not stored yet");
            false
        }
    }
}

/// Advances a wave and orders the maintenance of VMs that are ready. Returns whether the term may give more orders.
async fn advance_wave(term: &Arc<Term>, vms: &VmClient, holder: &LeaseHolder, wave: &mut Wave, listed: &[Vm]) -> bool {
    let before = wave.progress();
    let ready = term.with(|s| s.advance_wave(view::now().mono, wave, listed));
    term.request_plan();
    let number = wave.request.number;
    let answers = ready.iter().map(|vm| vms.order_maintenance(holder, vm, number, VM_API_TIMEOUT));
    let answers = futures::future::join_all(answers).await;
    for (vm, (answer, error)) in ready.into_iter().zip(answers) {
        let error = error.map(|e| e.to_string()).unwrap_or_default();
        log::info!(vm:% = vm, wave = wave.request.number, token = holder.token, answer:? = answer, error:% = error; "maintenance ordered");
        term.with(|s| s.apply_maintenance_answer(view::now().mono, wave, &vm, answer));
        if answer == VmAnswer::Fenced {
            term.end("the list of VMs has seen a higher token");
            return false;
        }
    }
    if wave.progress() != before {
        // If this is not stored, a later scheduler orders the maintenance again, which changes nothing for VMs that
        // were down.
        store_wave_state(term, wave, false).await;
    }
    true
}
