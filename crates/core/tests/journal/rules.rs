//! Rules of single commands, the bounds of the shard, and its queries.

use carawaybarrow_core::commit::{Document, MAX_VALUE_BYTES, RECENT_CHANGES};
use carawaybarrow_core::ids::{ChangeId, Incarnation, JobId, OperatorId, PoolId, TeamId, VmId};
use carawaybarrow_core::job::{Content, MAX_INLINE_BYTES, Ran};
use carawaybarrow_core::journal::{
    Bound, JobCommand, JobOutcome, JobShard, MAX_FAILED_VMS, MAX_FAILURES, MAX_JOBS, MAX_LOST_WORKERS,
    MAX_REASON_BYTES, MAX_SHARD_BYTES, Owner, RECORD_GROWTH_BYTES, Rejection, RequeueReason, Resolution, StateName,
    TOMBSTONE_RETENTION, count_json_bytes, truncate_reason,
};
use carawaybarrow_core::units::WallTime;

use crate::store::{claim, entry, inline, job, spec, task};

const AT: WallTime = WallTime(3_000);

fn accept(id: &str, idempotent: bool) -> JobCommand {
    JobCommand::Accept { spec: Box::new(spec(id, idempotent)) }
}

fn claim_job(id: &str, by: &str, incarnation: u64, t: &str, vm: &str) -> JobCommand {
    JobCommand::Claim { job: job(id), claim: claim(by, incarnation, t, vm) }
}

fn finish(id: &str, t: &str) -> JobCommand {
    JobCommand::Finish { job: job(id), task: task(t), answer: inline("ok"), at: AT }
}

fn fail(id: &str, t: &str) -> JobCommand {
    JobCommand::Fail { job: job(id), task: task(t), reason: "no codec".into(), at: AT }
}

fn release(id: &str, t: &str, by: &str, incarnation: u64) -> JobCommand {
    JobCommand::Release { job: job(id), task: task(t), entry: entry(by), incarnation: Incarnation(incarnation), at: AT }
}

fn requeue(id: &str, t: &str, why: RequeueReason) -> JobCommand {
    JobCommand::Requeue { job: job(id), task: task(t), why, at: AT }
}

fn mark_unknown(id: &str, t: &str) -> JobCommand {
    JobCommand::MarkUnknown { job: job(id), task: task(t), reason: "worker gone".into(), at: AT }
}

fn resolve(id: &str, by: &str, found: Resolution) -> JobCommand {
    JobCommand::Resolve { job: job(id), by: OperatorId::new(by).unwrap(), found, at: AT }
}

fn cancel(id: &str) -> JobCommand {
    JobCommand::Cancel { job: job(id), at: AT }
}

fn archive(id: &str, at: WallTime) -> JobCommand {
    JobCommand::Archive { jobs: vec![job(id)], at }
}

/// Short code of an outcome, with its state or reason.
fn outcome_code(outcome: &JobOutcome) -> String {
    match outcome {
        JobOutcome::Accepted => "accepted".into(),
        JobOutcome::AlreadyThere { view } => format!("there:{:?}", view.state),
        JobOutcome::Claimed => "claimed".into(),
        JobOutcome::WaitsAgain => "waits".into(),
        JobOutcome::CancelRequested { .. } => "cancelling".into(),
        JobOutcome::Ended { view } => format!("ended:{:?}:{}", view.state, view.ran),
        JobOutcome::Archived { jobs, dropped } => format!("archived:{}:{dropped}", jobs.len()),
        JobOutcome::NothingToArchive => "nothing".into(),
        JobOutcome::Rejected { why } => match why {
            Rejection::Full { bound } => format!("no:full:{bound:?}"),
            Rejection::TooLargeInline => "no:inline".into(),
            Rejection::NoSuchJob => "no:job".into(),
            Rejection::NotClaimed => "no:claim".into(),
            Rejection::AlreadyClaimed { .. } => "no:taken".into(),
            Rejection::NotClaimant { .. } => "no:claimant".into(),
            Rejection::NotIdempotent => "no:not-idempotent".into(),
            Rejection::Idempotent => "no:idempotent".into(),
            Rejection::Ended { view } => format!("no:ended:{:?}", view.state),
            Rejection::NotUnknown => "no:not-unknown".into(),
        },
    }
}

fn apply_all(commands: &[JobCommand]) -> (JobShard, Vec<String>) {
    let mut shard = JobShard::default();
    let codes = commands.iter().map(|c| outcome_code(&apply_checked(&mut shard, c))).collect();
    (shard, codes)
}

/// Applies a command. Checks that a rejection changes nothing, and that shard and outcome survive serialisation.
fn apply_checked(shard: &mut JobShard, command: &JobCommand) -> JobOutcome {
    let before = shard.clone();
    let outcome = shard.apply(command);
    assert_eq!(JobShard::is_change(&outcome), *shard != before, "{command:?}: {outcome:?}");
    assert_eq!(JobShard::decode(&shard.encode()).unwrap(), *shard);
    let text = serde_json::to_string(&outcome).unwrap();
    assert_eq!(serde_json::from_str::<JobOutcome>(&text).unwrap(), outcome);
    outcome
}

/// Guards against a command that violates its rule in some state of the job. Each case lists commands and the codes of
/// the last outcomes.
#[test]
fn commands_follow_their_rules() {
    let (run_once, idempotent) = (false, true);
    let start = |idempotent| vec![accept("j", idempotent), claim_job("j", "a", 1, "t1", "v1")];
    let with = |idempotent, more: Vec<JobCommand>| [start(idempotent), more].concat();
    let lapsed = RequeueReason::LeaseLapsed;
    let not_run = Resolution::NotRun;
    let cases: Vec<(&str, Vec<JobCommand>, &[&str])> = vec![
        ("repeated request", vec![accept("j", run_once), accept("j", run_once)], &["accepted", "there:Waiting"]),
        ("unknown job", vec![finish("x", "t1"), cancel("x")], &["no:job", "no:job"]),
        ("second claim", with(idempotent, vec![claim_job("j", "b", 1, "t2", "v2")]), &["no:taken"]),
        ("finish twice", with(run_once, vec![finish("j", "t1"), finish("j", "t1")]), &["ended:Done:yes", "there:Done"]),
        ("finish of another task", with(idempotent, vec![finish("j", "t2")]), &["no:taken"]),
        ("finish without a claim", vec![accept("j", idempotent), finish("j", "t1")], &["accepted", "no:claim"]),
        (
            "claim after the end",
            with(idempotent, vec![finish("j", "t1"), claim_job("j", "b", 1, "t2", "v2")]),
            &["ended:Done:yes", "no:ended:Done"],
        ),
        (
            "failure of a non-idempotent job",
            with(run_once, vec![fail("j", "t1"), fail("j", "t1")]),
            &["ended:Failed:yes", "there:Failed"],
        ),
        (
            "failure of an idempotent job",
            with(idempotent, vec![fail("j", "t1"), fail("j", "t1")]),
            &["waits", "no:claim"],
        ),
        (
            "release by the claimant",
            with(run_once, vec![release("j", "t1", "a", 1), claim_job("j", "b", 1, "t2", "v2")]),
            &["waits", "claimed"],
        ),
        ("release by another entry", with(run_once, vec![release("j", "t1", "b", 1)]), &["no:claimant"]),
        ("release by a later incarnation", with(run_once, vec![release("j", "t1", "a", 2)]), &["no:claimant"]),
        (
            "late release of an earlier claim",
            with(
                run_once,
                vec![release("j", "t1", "a", 1), claim_job("j", "a", 1, "t2", "v2"), release("j", "t1", "a", 1)],
            ),
            &["waits", "claimed", "no:taken"],
        ),
        (
            "requeue of an idempotent job",
            with(idempotent, vec![requeue("j", "t1", lapsed), finish("j", "t1")]),
            &["waits", "no:claim"],
        ),
        ("requeue of a non-idempotent job", with(run_once, vec![requeue("j", "t1", lapsed)]), &["no:not-idempotent"]),
        ("unknown outcome of an idempotent job", with(idempotent, vec![mark_unknown("j", "t1")]), &["no:idempotent"]),
        (
            "late answer after an unknown outcome",
            with(run_once, vec![mark_unknown("j", "t1"), finish("j", "t1"), mark_unknown("j", "t1")]),
            &["ended:Unknown:unknown", "no:ended:Unknown", "there:Unknown"],
        ),
        (
            "two operators resolve a job",
            with(
                run_once,
                vec![
                    mark_unknown("j", "t1"),
                    resolve("j", "ana", Resolution::Done),
                    resolve("j", "ben", not_run.clone()),
                    resolve("j", "ana", Resolution::Done),
                ],
            ),
            &["ended:Unknown:unknown", "ended:Done:yes", "no:ended:Done", "there:Done"],
        ),
        (
            "resolution to not run",
            with(run_once, vec![mark_unknown("j", "t1"), resolve("j", "ana", not_run.clone())]),
            &["ended:Unknown:unknown", "ended:Failed:no"],
        ),
        (
            "resolution of a known outcome",
            with(run_once, vec![finish("j", "t1"), resolve("j", "ana", not_run.clone())]),
            &["ended:Done:yes", "no:not-unknown"],
        ),
        ("resolution of a claimed job", with(run_once, vec![resolve("j", "ana", not_run)]), &["no:not-unknown"]),
        (
            "cancel while waiting",
            vec![accept("j", run_once), cancel("j"), cancel("j")],
            &["accepted", "ended:Cancelled:no", "there:Cancelled"],
        ),
        (
            "cancel, then the task was stopped",
            with(run_once, vec![cancel("j"), cancel("j"), fail("j", "t1")]),
            &["cancelling", "there:Claimed", "ended:Cancelled:yes"],
        ),
        (
            "cancel, then the task finished anyway",
            with(run_once, vec![cancel("j"), finish("j", "t1")]),
            &["cancelling", "ended:Done:yes"],
        ),
        (
            "cancel, start refused",
            with(run_once, vec![cancel("j"), release("j", "t1", "a", 1)]),
            &["cancelling", "ended:Cancelled:no"],
        ),
        (
            "cancel, then the lease lapsed",
            with(idempotent, vec![cancel("j"), requeue("j", "t1", lapsed)]),
            &["cancelling", "ended:Cancelled:unknown"],
        ),
        (
            "cancel, then the result is unknown",
            with(run_once, vec![cancel("j"), mark_unknown("j", "t1")]),
            &["cancelling", "ended:Unknown:unknown"],
        ),
        (
            "cancel after a failed attempt",
            with(idempotent, vec![fail("j", "t1"), cancel("j")]),
            &["waits", "ended:Cancelled:yes"],
        ),
        (
            "cancel after the end",
            with(run_once, vec![finish("j", "t1"), cancel("j")]),
            &["ended:Done:yes", "no:ended:Done"],
        ),
        ("archive of a claimed job", with(run_once, vec![archive("j", AT)]), &["nothing"]),
        (
            "archive of an unknown outcome",
            with(run_once, vec![mark_unknown("j", "t1"), archive("j", AT)]),
            &["ended:Unknown:unknown", "nothing"],
        ),
        (
            "commands to an archived job",
            with(
                run_once,
                vec![
                    finish("j", "t1"),
                    archive("j", AT),
                    accept("j", run_once),
                    claim_job("j", "b", 1, "t2", "v2"),
                    cancel("j"),
                    archive("j", AT),
                ],
            ),
            &["ended:Done:yes", "archived:1:0", "there:Done", "no:ended:Done", "no:ended:Done", "nothing"],
        ),
    ];
    for (title, commands, expected) in cases {
        let (_, codes) = apply_all(&commands);
        let end = codes.len() - expected.len();
        assert_eq!(codes[end..], *expected, "{title}");
    }
}

fn fail_on_vms(vms: &[&str]) -> (JobShard, String) {
    let mut commands = vec![accept("j", true)];
    for (i, vm) in vms.iter().enumerate() {
        let t = format!("t{i}");
        commands.extend([claim_job("j", "a", 1, &t, vm), fail("j", &t)]);
    }
    let (shard, codes) = apply_all(&commands);
    (shard, codes.last().unwrap().clone())
}

/// Guards against a job that fails on every VM being retried for ever, and against a job that fails because of one
/// faulty VM.
#[test]
fn job_that_fails_everywhere_ends_with_its_reason() {
    let vms = ["v1", "v2", "v3"];
    assert_eq!(vms.len(), MAX_FAILED_VMS);
    assert_eq!(fail_on_vms(&vms[..2]).1, "waits");
    let (shard, last) = fail_on_vms(&vms);
    assert_eq!(last, "ended:Failed:yes");
    assert_eq!(shard.get(&job("j")).unwrap().reason.unwrap(), "no codec");

    assert_eq!(fail_on_vms(&["v1"; MAX_FAILURES as usize - 1]).1, "waits");
    assert_eq!(fail_on_vms(&["v1"; MAX_FAILURES as usize]).1, "ended:Failed:yes");
}

fn requeue_times(count: u32, why: RequeueReason) -> String {
    let mut commands = vec![accept("j", true)];
    for i in 0..count {
        let t = format!("t{i}");
        commands.extend([claim_job("j", "a", 1, &t, "v"), requeue("j", &t, why)]);
    }
    apply_all(&commands).1.last().unwrap().clone()
}

/// Guards against idempotent jobs that fail because of lapsed leases or preemption, and against a job that is retried
/// for ever although its workers are lost each time.
#[test]
fn only_lost_workers_end_a_requeued_job() {
    let count = MAX_LOST_WORKERS;
    assert_eq!(requeue_times(count - 1, RequeueReason::WorkerLost), "waits");
    assert_eq!(requeue_times(count, RequeueReason::WorkerLost), "ended:Failed:unknown");
    assert_eq!(requeue_times(10 * count, RequeueReason::LeaseLapsed), "waits");
    assert_eq!(requeue_times(10 * count, RequeueReason::Preempted), "waits");
}

/// Guards against a job that runs again because its request is repeated after it was archived: the tombstone answers
/// until its retention ends.
#[test]
fn tombstone_answers_until_its_retention_ends() {
    let mut shard = JobShard::default();
    let stored = Content::Stored { bytes: 70_000 };
    let done = JobCommand::Finish { job: job("j"), task: task("t1"), answer: stored.clone(), at: AT };
    for command in [accept("j", false), claim_job("j", "a", 1, "t1", "v1"), done, archive("j", AT)] {
        apply_checked(&mut shard, &command);
    }
    let last = WallTime(AT.0 + TOMBSTONE_RETENTION.0 - 1);
    assert_eq!(outcome_code(&apply_checked(&mut shard, &archive("x", last))), "nothing");
    let view = shard.get(&job("j")).unwrap();
    assert_eq!((view.state, view.ran, view.answer, view.archived), (StateName::Done, Ran::Yes, Some(stored), true));
    assert_eq!(outcome_code(&apply_checked(&mut shard, &archive("x", WallTime(last.0 + 1)))), "archived:0:1");
    assert_eq!(shard.get(&job("j")), None);
}

/// Guards against an archived job that is shown to another team because the team that may access it was dropped, and
/// against a team whose name needs more bytes than are reserved for its tombstone.
#[test]
fn archived_job_keeps_its_owner() {
    let team = |name: &str| TeamId::new(name).unwrap();
    let table = [
        (None, Owner::Open),
        (Some(team("clinic")), Owner::Team(team("clinic"))),
        (Some(team(&long_name(1))), Owner::Team(team(&long_name(1)))),
    ];
    for (of, owner) in table {
        let mut shard = JobShard::default();
        let empty = shard.encoded_size();
        let mut long = spec("j", false);
        long.id = JobId::new(long_name(2)).unwrap();
        long.team = of;
        let id = long.id.clone();
        shard.apply(&JobCommand::Accept { spec: Box::new(long) });
        assert_eq!(shard.owner(&id), Some(owner.clone()));
        let accepted = shard.reserved_bytes();
        shard.apply(&JobCommand::Cancel { job: id.clone(), at: AT });
        let at = WallTime(u64::MAX);
        assert_eq!(outcome_code(&shard.apply(&JobCommand::Archive { jobs: vec![id.clone()], at })), "archived:1:0");
        let decoded = JobShard::decode(&shard.encode()).unwrap();
        assert_eq!((&decoded, decoded.owner(&id)), (&shard, Some(owner)));
        assert!(shard.reserved_bytes() < accepted);
        assert!(shard.encoded_size() <= empty + shard.reserved_bytes(), "{}", shard.encoded_size());
    }
    assert_eq!(JobShard::default().owner(&job("j")), None);
}

/// Guards against documents of earlier versions that can't be decoded, and against a wrong owner of their tombstones,
/// which have none.
#[test]
fn tombstone_without_an_owner_has_an_unknown_one() {
    let old = br#"{"jobs":{},"tombstones":{"j":{"s":"done","r":"yes","t":3000,"b":70000}},"recent":[]}"#;
    let shard = JobShard::decode(old).unwrap();
    assert_eq!(shard.owner(&job("j")), Some(Owner::Unknown));
    assert_eq!(shard.encode(), old);
}

/// Accepts jobs with a payload of this length until the shard is full. Returns the shard, the number of accepted jobs
/// and the bound that was reached.
fn fill_shard(payload_bytes: usize) -> (JobShard, usize, Bound) {
    let mut shard = JobShard::default();
    let mut spec = spec("j", false);
    spec.payload = inline(&"x".repeat(payload_bytes));
    let mut accepted = 0;
    loop {
        spec.id = job(&format!("j{accepted}"));
        match shard.apply(&JobCommand::Accept { spec: Box::new(spec.clone()) }) {
            JobOutcome::Accepted => accepted += 1,
            JobOutcome::Rejected { why: Rejection::Full { bound } } => return (shard, accepted, bound),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a shard that grows without a bound, and against bounds that refuse jobs too early or too late.
#[test]
fn shard_refuses_jobs_above_its_bounds() {
    let (_, accepted, bound) = fill_shard(0);
    assert_eq!((accepted, bound), (MAX_JOBS, Bound::Jobs));
    let (_, accepted, bound) = fill_shard(MAX_INLINE_BYTES);
    assert_eq!(bound, Bound::Bytes);
    let each = MAX_INLINE_BYTES + RECORD_GROWTH_BYTES;
    assert!((MAX_SHARD_BYTES / (each + 500)..MAX_SHARD_BYTES / each).contains(&accepted), "{accepted}");
}

/// Text of control characters whose JSON form takes up to `bytes` bytes, six for each character.
fn long_text(bytes: usize) -> String {
    "\u{1}".repeat(bytes / 6)
}

fn long_name(tail: usize) -> String {
    format!("{}{tail:08}", "n".repeat(56))
}

/// Fails a job with names of the longest form on [`MAX_FAILED_VMS`] VMs, which makes its record as large as possible.
fn grow_job(shard: &mut JobShard, n: usize) {
    let id = JobId::new(long_name(n)).unwrap();
    for attempt in 0..MAX_FAILED_VMS {
        let t = long_name(n * 10 + attempt);
        let mut long = claim(&long_name(0), u64::MAX, &t, &long_name(attempt));
        long.lease = carawaybarrow_core::ids::LeaseId::new(long_name(1)).unwrap();
        long.at = WallTime(u64::MAX);
        assert_eq!(shard.apply(&JobCommand::Claim { job: id.clone(), claim: long }), JobOutcome::Claimed);
        let reason = long_text(1_000).into();
        shard.apply(&JobCommand::Fail { job: id.clone(), task: task(&t), reason, at: WallTime(u64::MAX) });
    }
    assert_eq!(shard.get(&id).unwrap().state, StateName::Failed);
}

/// Guards against an accepted job that can't be claimed or ended because the value would exceed the store's limit.
#[test]
fn full_shard_of_longest_records_fits_the_store() {
    let mut shard = JobShard::default();
    for i in 0..RECENT_CHANGES {
        shard.recent_mut().add(ChangeId::new(long_name(i)).unwrap());
    }
    let mut jobs = 0;
    loop {
        let mut long = spec("j", true);
        long.id = JobId::new(long_name(jobs)).unwrap();
        long.pool = PoolId::new(long_name(0)).unwrap();
        long.payload = inline(&long_text(64));
        match shard.apply(&JobCommand::Accept { spec: Box::new(long) }) {
            JobOutcome::Accepted => jobs += 1,
            JobOutcome::Rejected { why: Rejection::Full { .. } } => break,
            other => panic!("{other:?}"),
        }
    }
    for n in 0..jobs {
        grow_job(&mut shard, n);
    }
    let size = shard.encoded_size();
    assert!(shard.reserved_bytes() <= MAX_SHARD_BYTES);
    assert!(size <= MAX_VALUE_BYTES, "{jobs} jobs take {size} bytes");
    assert!(size <= shard.reserved_bytes() + MAX_VALUE_BYTES - MAX_SHARD_BYTES, "{jobs} jobs take {size} bytes");
}

/// Guards against a record or a tombstone that needs more bytes than were reserved for it.
#[test]
fn reserved_bytes_cover_the_stored_form() {
    let mut shard = JobShard::default();
    let empty = shard.encoded_size();
    shard.apply(&accept("j", true));
    assert!(shard.reserved_bytes() > RECORD_GROWTH_BYTES);
    let mut long = spec("k", true);
    long.id = JobId::new(long_name(7)).unwrap();
    shard.apply(&JobCommand::Accept { spec: Box::new(long) });
    grow_job(&mut shard, 7);
    assert!(shard.encoded_size() <= empty + shard.reserved_bytes(), "{}", shard.encoded_size());
    let id = JobId::new(long_name(7)).unwrap();
    shard.apply(&JobCommand::Archive { jobs: vec![id], at: WallTime(u64::MAX) });
    assert_eq!(shard.count_tombstones(), 1);
    assert!(shard.encoded_size() <= empty + shard.reserved_bytes());
    let alone: usize = "{\"n\":}".len() + serde_json::to_string(&long_name(7)).unwrap().len();
    assert!(alone < shard.reserved_bytes());
}

/// Guards against a record that grows too large because inline content is measured by its characters rather than its
/// stored form.
#[test]
fn large_inline_content_is_refused() {
    let control = "\u{1}".repeat(MAX_INLINE_BYTES / 6 + 1);
    for text in ["x".repeat(MAX_INLINE_BYTES + 1), control] {
        let (mut shard, _) = apply_all(&[accept("j", false), claim_job("j", "a", 1, "t1", "v1")]);
        let answer = inline(&text);
        let outcome = shard.apply(&JobCommand::Finish { job: job("j"), task: task("t1"), answer, at: AT });
        assert_eq!(outcome_code(&outcome), "no:inline");
        let mut large = spec("k", false);
        large.payload = inline(&text);
        assert_eq!(outcome_code(&shard.apply(&JobCommand::Accept { spec: Box::new(large) })), "no:inline");
    }
}

/// Guards against an answer that is lost because the shard is full: the shard accepts it once the content is stored
/// under its own key.
#[test]
fn answer_to_a_full_shard_is_accepted_under_its_own_key() {
    // The bytes that are left are fewer than another of these jobs needs, which needs fewer than the answer.
    let (mut shard, _, _) = fill_shard(2_000);
    shard.apply(&claim_job("j0", "a", 1, "t1", "v1"));
    let done = |answer| JobCommand::Finish { job: job("j0"), task: task("t1"), answer, at: AT };
    let large = inline(&"x".repeat(MAX_INLINE_BYTES));
    assert_eq!(outcome_code(&shard.apply(&done(large))), "no:full:Bytes");
    assert_eq!(outcome_code(&shard.apply(&done(Content::Stored { bytes: 4096 }))), "ended:Done:yes");
}

/// Guards against reasons that are truncated inside a character, and against reasons that exceed their bound when
/// stored because JSON escapes some characters.
#[test]
fn reasons_are_truncated_by_the_size_of_their_stored_form() {
    for text in ["é".repeat(400), "\"".repeat(400), "\u{1}".repeat(400), "a\n\t\u{7f}\u{8}\u{c}\\".repeat(90)] {
        let truncated = truncate_reason(&text);
        let stored = serde_json::to_string(&truncated).unwrap().len() - 2;
        assert!(text.starts_with(truncated.as_str()) && stored == count_json_bytes(&truncated), "{truncated:?}");
        assert!((MAX_REASON_BYTES - 6..=MAX_REASON_BYTES).contains(&stored), "{stored}");
    }
}

/// Guards against waiting jobs in the wrong order, so that jobs with a deadline wait behind others, and against a
/// successor that misses claims of earlier incarnations.
#[test]
fn queries_return_waiting_jobs_and_claims() {
    let mut shard = JobShard::default();
    for (id, deadline, accepted) in
        [("late", Some(90), 1), ("soon", Some(50), 2), ("second", None, 4), ("first", None, 3), ("mine", None, 0)]
    {
        let mut s = spec(id, true);
        s.deadline = deadline.map(WallTime);
        s.accepted_at = WallTime(accepted);
        shard.apply(&JobCommand::Accept { spec: Box::new(s) });
    }
    for (id, by, incarnation) in [("old", "a", 1), ("other", "b", 2)] {
        shard.apply(&accept(id, false));
        shard.apply(&claim_job(id, by, incarnation, id, "v1"));
    }
    shard.apply(&claim_job("mine", "a", 2, "mine", "v1"));
    let ids: Vec<_> = shard.waiting().iter().map(|r| r.spec.id.as_str()).collect();
    assert_eq!(ids, ["soon", "late", "first", "second"]);
    let (a, now) = (entry("a"), Incarnation(2));
    let own: Vec<_> = shard.claims_of(&a, now).map(|(r, _)| r.spec.id.as_str()).collect();
    assert_eq!(own, ["mine"]);
    let others: Vec<_> = shard.claims_of_others(&a, now).map(|(r, _)| r.spec.id.as_str()).collect();
    assert_eq!(others, ["old", "other"]);
    assert_eq!(shard.counts(), [(StateName::Waiting, 4), (StateName::Claimed, 3)].into());
    shard.apply(&finish("mine", "mine"));
    assert_eq!(shard.ended().count(), 1);
    let vm = VmId::new("v1").unwrap();
    assert!(shard.claims().all(|(_, c)| c.vm == vm));
}
