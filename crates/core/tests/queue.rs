//! Order of starts: slack, minimum of patient starts, shares, limits, shedding and expected wait.

use std::collections::BTreeMap;

use carawaybarrow_core::admission::{self, Room};
use carawaybarrow_core::deadline::Deadline;
use carawaybarrow_core::ids::{JobId, QueueId, TeamId};
use carawaybarrow_core::job::Refusal;
use carawaybarrow_core::queue::{self, Bounds, PushOutcome, ReadyQueue, Slots, Urgency, WaitingJob};
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::{Millis, MonoTime, Percent};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: Slots = Slots { total: 16, free: 1 };

fn team(name: &str) -> Option<TeamId> {
    Some(TeamId::new(name).unwrap())
}

fn id(name: &str) -> JobId {
    JobId::new(name).unwrap()
}

fn urgent(name: &str, team_name: &str, deadline: u64) -> WaitingJob {
    WaitingJob {
        job: id(name),
        team: team(team_name),
        queue: QueueId::new("clips").unwrap(),
        urgency: Urgency::Urgent,
        durable: false,
        deadline: Some(Deadline::StartBy(MonoTime(deadline))),
        run: Millis(100),
        since: MonoTime(0),
    }
}

fn patient(name: &str, team_name: &str, since: u64) -> WaitingJob {
    WaitingJob {
        urgency: Urgency::Patient,
        durable: true,
        deadline: None,
        since: MonoTime(since),
        ..urgent(name, team_name, 0)
    }
}

fn shares(parts: &[(&str, u8)]) -> Shares {
    Shares::new(parts.iter().map(|(name, part)| (TeamId::new(name).unwrap(), Percent::new(*part).unwrap())))
}

fn push(queue: &mut ReadyQueue, waiting: WaitingJob) {
    assert_eq!(queue.push(waiting, SLOTS, MonoTime(0)), PushOutcome::Queued);
}

fn start(queue: &mut ReadyQueue, slots: Slots, now: u64) -> Option<String> {
    queue.start_next(slots, MonoTime(now), |_| true).map(|waiting| waiting.job.to_string())
}

/// Guards against starts in order of arrival instead of slack. The run time is subtracted from deadlines for the end.
#[test]
fn least_slack_starts_first_within_a_team() {
    let mut queue = ReadyQueue::default();
    push(&mut queue, urgent("late", "a", 900));
    push(&mut queue, urgent("soon", "a", 300));
    let long =
        WaitingJob { deadline: Some(Deadline::EndBy(MonoTime(1000))), run: Millis(800), ..urgent("long", "a", 0) };
    push(&mut queue, long);
    let order: Vec<_> = std::iter::from_fn(|| start(&mut queue, SLOTS, 0)).collect();
    assert_eq!(order, ["long", "soon", "late"]);
}

/// Guards against a job that leaves the queue although no slot is free to run it.
#[test]
fn nothing_starts_without_a_free_slot() {
    let mut queue = ReadyQueue::default();
    push(&mut queue, urgent("a", "a", 900));
    assert_eq!(start(&mut queue, Slots { total: 16, free: 0 }, 0), None);
    assert_eq!(queue.len(), 1);
}

/// Guards against shares that delay urgent work while there are free slots for all waiting jobs.
#[test]
fn shares_count_only_while_more_jobs_wait_than_slots_are_free() {
    let fill = || {
        let mut queue = ReadyQueue::new(shares(&[("a", 50), ("b", 50)]));
        queue.add_running(team("a"));
        push(&mut queue, urgent("a1", "a", 100));
        push(&mut queue, urgent("b1", "b", 900));
        queue
    };
    assert_eq!(start(&mut fill(), Slots { total: 16, free: 2 }, 0).unwrap(), "a1");
    assert_eq!(start(&mut fill(), Slots { total: 16, free: 1 }, 0).unwrap(), "b1");
}

/// Guards against an old patient job that waits behind a stream of urgent work until the start that is reserved for
/// patient jobs, one in `STARTS_PER_PATIENT_START`. A job that isn't due yet still waits for that start.
#[test]
fn due_patient_job_starts_after_one_urgent_job() {
    let mut queue = ReadyQueue::default();
    for i in 0..6 {
        push(&mut queue, urgent(&format!("u{i}"), "a", 100));
    }
    push(&mut queue, patient("old", "b", 0));
    push(&mut queue, patient("new", "b", 1));
    let now = queue::DUE_AGE.0;
    let order: Vec<_> = (0..4).filter_map(|_| start(&mut queue, SLOTS, now)).collect();
    assert_eq!(order, ["u0", "old", "u1", "u2"]);
}

/// Guards against entitlements that don't add up to 1, and against teams without a share that are entitled to nothing.
#[test]
fn entitlements_are_renormalised_over_demand() {
    let table = [
        (vec![("a", 60), ("b", 20)], vec!["a", "b"], vec![0.75, 0.25]),
        (vec![("a", 60), ("b", 20)], vec!["a", "c", "d"], vec![0.75, 0.125, 0.125]),
        (vec![("a", 60), ("b", 40)], vec!["a", "c"], vec![60.0 / 61.0, 1.0 / 61.0]),
        (vec![("a", 0)], vec!["a", "b"], vec![0.5, 0.5]),
    ];
    for (parts, demand, expected) in table {
        let demand: Vec<_> = demand.iter().map(|name| team(name)).collect();
        let entitlements = shares(&parts).entitlements(&demand);
        assert_eq!(entitlements.len(), expected.len());
        assert!(entitlements.iter().zip(&expected).all(|(a, b)| (a - b).abs() < 1e-9), "{entitlements:?}");
    }
}

/// Guards against cancelled jobs that start, and against jobs that are reported as cancelled although they have
/// started.
#[test]
fn cancel_removes_only_waiting_jobs() {
    let mut queue = ReadyQueue::default();
    for i in 0..100 {
        push(&mut queue, urgent(&format!("j{i}"), if i % 2 == 0 { "a" } else { "b" }, 100 + i));
    }
    assert_eq!(start(&mut queue, SLOTS, 0).unwrap(), "j0");
    let to_cancel: Vec<_> = (0..50).map(|i| id(&format!("j{i}"))).collect();
    let cancelled = queue.cancel(&to_cancel);
    assert_eq!(cancelled.len(), 49);
    assert!(cancelled.iter().all(|waiting| waiting.job != id("j0")));
    assert_eq!(queue.cancel(&to_cancel).len(), 0);
    assert_eq!(queue.cancel_team(&TeamId::new("a").unwrap()).len(), 25);
    assert_eq!(queue.len(), 25);
    assert_eq!(queue.expected_wait(Urgency::Urgent, SLOTS), Millis((25 * 100 + 100) / 16));
}

/// Guards against a queue that grows without bound, and against shedding a job that could still meet its target instead
/// of one that can't.
#[test]
fn full_queue_sheds_the_job_least_likely_to_meet_its_target() {
    let bounds = Bounds { team: 2, pool: 3 };
    let fill = |first: u64, second: u64| {
        let mut queue = ReadyQueue::default().with_bounds(bounds);
        push(&mut queue, urgent("first", "a", first));
        push(&mut queue, urgent("second", "a", second));
        queue
    };
    // In the first two cases the first job is already too late. In the third one the last job has less slack after its
    // expected wait of 12 ms than the first one, in the fourth one it has more.
    let table = [(40, 500, 500, "first"), (40, 52, 55, "first"), (60, 61, 62, "third"), (60, 500, 600, "first")];
    for (first, second, third, victim) in table {
        let mut queue = fill(first, second);
        assert_eq!(queue.room(team("a").as_ref(), Urgency::Urgent), Room::TeamFull);
        let pushed = queue.push(urgent("third", "a", third), SLOTS, MonoTime(50));
        let PushOutcome::Displaced { waiting, refusal } = pushed else { panic!("{pushed:?}") };
        assert_eq!(waiting.job, id(victim));
        assert_eq!(refusal, Refusal::TeamLimit { retry_after: admission::MIN_RETRY_AFTER });
        assert_eq!(queue.len(), 2);
    }

    let mut queue = fill(500, 600);
    push(&mut queue, urgent("other", "b", 700));
    let pushed = queue.push(urgent("more", "c", 700), SLOTS, MonoTime(550));
    let PushOutcome::Displaced { waiting, refusal: Refusal::Overloaded { .. } } = pushed else { panic!("{pushed:?}") };
    assert_eq!(waiting.job, id("first"));
}

/// Guards against shedding a job that was confirmed as durable, and against a patient backlog that shuts out urgent
/// requests. The durable job that exceeds the bound is itself removed, and can be queued again from the journal.
#[test]
fn durable_job_beyond_a_bound_stays_in_the_journal() {
    let mut queue = ReadyQueue::default().with_bounds(Bounds { team: 2, pool: 2 });
    push(&mut queue, patient("p1", "a", 0));
    push(&mut queue, patient("p2", "a", 0));
    let pushed = queue.push(patient("p3", "a", 0), SLOTS, MonoTime(0));
    let PushOutcome::Displaced { waiting, .. } = pushed else { panic!("{pushed:?}") };
    assert_eq!((waiting.job, waiting.durable), (id("p3"), true));
    push(&mut queue, urgent("u1", "a", 900));
    assert_eq!(queue.push(urgent("u1", "a", 900), SLOTS, MonoTime(0)), PushOutcome::Duplicate);
    assert_eq!((queue.count_waiting(Urgency::Patient), queue.count_waiting(Urgency::Urgent)), (2, 1));
}

/// Guards against callers who wait for a job that can't meet its target any more.
#[test]
fn expired_requests_are_removed_but_durable_jobs_stay() {
    let mut queue = ReadyQueue::default();
    push(&mut queue, urgent("u1", "a", 100));
    push(&mut queue, urgent("u2", "a", 200));
    push(&mut queue, WaitingJob { durable: true, ..urgent("master", "a", 100) });
    let expired: Vec<_> = queue.take_expired(MonoTime(200)).into_iter().map(|waiting| waiting.job).collect();
    assert_eq!(expired, [id("u1")]);
    assert_eq!(queue.len(), 2);
}

/// Guards against a job that is lost, or still counted as running, after the worker refused it.
#[test]
fn job_of_a_refused_start_is_queued_again() {
    let mut queue = ReadyQueue::default();
    push(&mut queue, urgent("u1", "a", 100));
    let waiting = queue.start_next(SLOTS, MonoTime(0), |_| true).unwrap();
    assert_eq!(queue.count_running(team("a").as_ref()), 1);
    queue.put_back(waiting);
    assert_eq!(queue.count_running(team("a").as_ref()), 0);
    assert_eq!(start(&mut queue, SLOTS, 0).unwrap(), "u1");
    queue.finish(team("a").as_ref());
    assert!(queue.list_teams().is_empty(), "a team without demand has no entitlement");
}

/// Guards against a wait estimate that ignores the number of slots, the free slots, or the part of the starts that
/// patient jobs take.
#[test]
fn expected_wait_covers_queued_jobs_slots_and_patient_starts() {
    let mut queue = ReadyQueue::default();
    let (busy, idle) = (Slots { total: 10, free: 0 }, Slots { total: 10, free: 10 });
    assert_eq!(queue.expected_wait(Urgency::Urgent, Slots::default()), queue::NO_SLOTS_WAIT);
    assert_eq!(queue.expected_wait(Urgency::Urgent, idle), Millis(0));
    for i in 0..70 {
        push(&mut queue, urgent(&format!("u{i}"), "a", 900));
    }
    assert_eq!(queue.expected_wait(Urgency::Urgent, busy), Millis(700));
    for i in 0..20 {
        push(&mut queue, patient(&format!("p{i}"), "a", 0));
    }
    assert_eq!(queue.expected_wait(Urgency::Urgent, busy), Millis(800));
    assert_eq!(queue.expected_wait(Urgency::Patient, busy), Millis(900));
}

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Urgent { team: usize, slack: u64 },
    Patient { team: usize },
    Start,
    Finish { team: usize },
}

const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

fn arb_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..TEAMS.len(), 1_u64..5000).prop_map(|(team, slack)| Step::Urgent { team, slack }),
        1 => (0..TEAMS.len()).prop_map(|team| Step::Patient { team }),
        4 => Just(Step::Start),
        2 => (0..TEAMS.len()).prop_map(|team| Step::Finish { team }),
    ]
}

fn seeded(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded(200, 2))]

    /// Guards against patient work that starves under urgent arrivals, and against a start beyond a team's limit, also
    /// when other teams wait behind it.
    #[test]
    fn patient_minimum_and_limits_hold_under_any_arrivals(
        steps in prop::collection::vec(arb_step(), 1..400),
        limits in prop::collection::vec(1_u32..6, TEAMS.len()),
        free in 1_u32..20,
    ) {
        let mut queue = ReadyQueue::new(shares(&[("a", 50), ("b", 20)]));
        let (mut running, mut waiting) = (BTreeMap::<String, u32>::new(), BTreeMap::<(String, bool), u32>::new());
        let limit_of = |name: &str| limits[TEAMS.iter().position(|team| *team == name).unwrap()];
        let mut urgent_in_a_row = 0;
        for (i, step) in steps.into_iter().enumerate() {
            let now = MonoTime(i as u64 * 10);
            match step {
                Step::Urgent { team, slack } => {
                    push(&mut queue, urgent(&format!("u{i}"), TEAMS[team], now.0 + slack));
                    *waiting.entry((TEAMS[team].into(), true)).or_default() += 1;
                }
                Step::Patient { team } => {
                    push(&mut queue, patient(&format!("p{i}"), TEAMS[team], now.0));
                    *waiting.entry((TEAMS[team].into(), false)).or_default() += 1;
                }
                Step::Finish { team } => {
                    let count = running.entry(TEAMS[team].into()).or_default();
                    if *count > 0 {
                        *count -= 1;
                        queue.finish(TeamId::new(TEAMS[team]).ok().as_ref());
                    }
                }
                Step::Start => {
                    let is_below_limit = |name: &str| running.get(name).copied().unwrap_or(0) < limit_of(name);
                    let has_startable_job = |is_urgent: bool| {
                        waiting.iter().any(|((name, urgent), n)| *urgent == is_urgent && *n > 0 && is_below_limit(name))
                    };
                    let (urgent_waits, patient_waits) = (has_startable_job(true), has_startable_job(false));
                    let slots = Slots { total: 20, free };
                    let started = queue.start_next(slots, now, |team| is_below_limit(team.unwrap().as_str()));
                    let Some(started) = started else {
                        prop_assert!(!urgent_waits && !patient_waits, "a team below its limit was passed over");
                        continue;
                    };
                    let name = started.team.unwrap().to_string();
                    let is_urgent = started.urgency == Urgency::Urgent;
                    let count = running.entry(name.clone()).or_default();
                    *count += 1;
                    prop_assert!(*count <= limit_of(&name), "team {} runs {} of {}", name, count, limit_of(&name));
                    *waiting.get_mut(&(name, is_urgent)).unwrap() -= 1;
                    if !is_urgent {
                        urgent_in_a_row = 0;
                    } else if patient_waits {
                        urgent_in_a_row += 1;
                    }
                    prop_assert!(
                        urgent_in_a_row < queue::STARTS_PER_PATIENT_START,
                        "{} starts without a patient job", urgent_in_a_row
                    );
                }
            }
        }
    }
}

/// Mean absolute gap between the teams' parts of the running work and their entitlements.
fn mean_share_gap(queue: &ReadyQueue) -> f64 {
    let teams = queue.list_teams();
    let running: u32 = teams.iter().map(|(_, running, _)| running).sum();
    let gaps = teams.iter().map(|(_, own, part)| (f64::from(*own) / f64::from(running) - part).abs());
    gaps.sum::<f64>() / teams.len() as f64
}

proptest! {
    #![proptest_config(seeded(64, 3))]

    /// Guards against teams that keep more than their share of a full pool. The pool begins full with one team's
    /// work, and all teams have demand of both kinds.
    #[test]
    fn share_gap_shrinks_while_the_pool_is_full(
        parts in prop::collection::vec(1_u8..30, 3),
        first in 0..TEAMS.len(),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queue =
            ReadyQueue::new(shares(&[("a", parts[0]), ("b", parts[1]), ("c", parts[2])]));
        // 300 jobs of each team and kind outlast the 256 starts below.
        for i in 0..2400 {
            let name = TEAMS[i % TEAMS.len()];
            // The team that has the whole pool also has the shortest deadlines.
            let deadline = if i % TEAMS.len() == first { 1000 } else { 5000 };
            let job = format!("j{i}");
            push(&mut queue, if i % 8 < 4 { urgent(&job, name, deadline) } else { patient(&job, name, 0) });
        }
        let slots = 64_u32;
        let mut running = vec![TEAMS[first]; slots as usize];
        for name in &running {
            queue.add_running(team(name));
        }
        let before = mean_share_gap(&queue);
        for _ in 0..256 {
            let ended = running.swap_remove(rng.random_range(0..running.len()));
            queue.finish(team(ended).as_ref());
            let started = queue.start_next(Slots { total: slots, free: 1 }, MonoTime(0), |_| true).unwrap();
            running.push(TEAMS.iter().find(|name| **name == started.team.as_ref().unwrap().as_str()).unwrap());
        }
        let after = mean_share_gap(&queue);
        prop_assert!(after < 0.03 && after < before / 4.0, "gap of {after:.3} after {before:.3}");
    }
}
