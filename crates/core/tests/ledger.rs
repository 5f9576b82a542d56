//! Ledger lines, segments and segment indexes.

use carawaybarrow_core::commit::{Commit, Document, RECENT_CHANGES, Step, StoreResponse};
use carawaybarrow_core::config::{Change, ChangeRecord, Class, Key, Target};
use carawaybarrow_core::ids::{
    ChangeId, ClassId, EntryId, Incarnation, JobId, KeyId, LeaseId, OperatorId, PoolId, QueueId, Revision, ShardId,
    StoreVersion, TaskId, TeamId, VmId,
};
use carawaybarrow_core::job::{Content, JobSpec, Ran, Size};
use carawaybarrow_core::journal::{Claim, JobCommand, JobShard, Resolution};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::ledger::{
    Append, AppendOutcome, IndexCommand, IndexOutcome, JobResult, Line, MAX_SEGMENT_BYTES, Month, Segment, SegmentId,
    SegmentIndex, UrgentLine,
};
use carawaybarrow_core::units::{Millis, WallTime};

/// 2026-04-01T00:00:00Z.
const APRIL: u64 = 1_775_001_600_000;

fn move_line(at: u64, reason: &str) -> Line {
    let pool = |name| Some(PoolId::new(name).unwrap());
    let vm = VmId::new("vm1").unwrap();
    Line::Move { at: WallTime(at), vm, from: pool("spare"), to: pool("render"), reason: reason.into() }
}

fn segment_id(n: u32) -> SegmentId {
    SegmentId { month: "2026-04".parse().unwrap(), shard: ShardId(3), n }
}

fn append(lines: Vec<Line>) -> Append {
    Append { place: segment_id(0), lines }
}

/// Guards against lines in a neighbouring month, at the ends of a month and in leap years, and against month names that
/// can't be parsed again.
#[test]
fn times_belong_to_their_month_in_utc() {
    let cases = [
        (0, "1970-01"),
        (APRIL - 1, "2026-03"),
        (APRIL, "2026-04"),
        (APRIL + 30 * 86_400_000 - 1, "2026-04"),
        (APRIL + 30 * 86_400_000, "2026-05"),
        (1_709_164_800_000, "2024-02"),
        (1_709_251_200_000, "2024-03"),
        (u64::MAX, "9999-12"),
    ];
    for (at, month) in cases {
        assert_eq!(Month::of(WallTime(at)).to_string(), month, "{at}");
        assert_eq!(month.parse::<Month>().unwrap(), Month::of(WallTime(at)));
    }
    for text in ["", "2026", "2026-4", "2026-13", "2026-00", "26-04", "2026-04-01", "+026-04", "0000-01"] {
        assert!(text.parse::<Month>().is_err(), "{text}");
    }
    assert_eq!(segment_id(7).key(), "ledger/2026-04/03/7");
    assert_eq!(SegmentId::index_key(segment_id(0).month, ShardId(3)), "ledger/2026-04/03/index");
}

/// Guards against lines that are appended twice: the write takes effect, its response is lost, and the commit tries
/// again.
#[test]
fn append_with_a_lost_response_is_applied_once() {
    let id = ChangeId::new("c1").unwrap();
    let mut commit = Commit::<Segment>::new(id, vec![append(vec![move_line(APRIL, "wave")])]);
    assert_eq!(commit.start(), Step::Read);
    let Step::Write { bytes, .. } = commit.handle_response(StoreResponse::Absent) else { panic!("no write") };
    assert_eq!(commit.handle_response(StoreResponse::Lost), Step::Read);
    let step = commit.handle_response(StoreResponse::Value { version: StoreVersion(1), bytes: bytes.clone() });
    assert_eq!(step, Step::Done { outcomes: vec![AppendOutcome::Appended], version: StoreVersion(1) });
    let segment = Segment::decode(&bytes).unwrap();
    assert_eq!((segment.lines().len(), segment.id()), (1, Some(segment_id(0))));
}

/// Guards against segments with lines of several months or of another segment, and against a batch of which only a part
/// is appended.
#[test]
fn rejected_appends_change_nothing() {
    let mut segment = Segment::default();
    let next_month = APRIL + 30 * 86_400_000;
    let may = AppendOutcome::OtherMonth { month: "2026-05".parse().unwrap() };
    let for_other_segment = Append { place: segment_id(1), lines: vec![move_line(APRIL, "wave")] };
    let huge = vec![move_line(APRIL, &"x".repeat(100_000)); 5];
    let cases = [
        (append(vec![]), AppendOutcome::NothingToAppend),
        (append(vec![move_line(APRIL, "a"), move_line(next_month, "b")]), may),
        (append(huge), AppendOutcome::TooLarge),
        (append(vec![move_line(APRIL, "a")]), AppendOutcome::Appended),
        (for_other_segment, AppendOutcome::Misplaced { place: segment_id(0) }),
    ];
    for (command, expected) in cases {
        let before = segment.clone();
        assert_eq!(segment.apply(&command), expected);
        assert_eq!(Segment::is_change(&expected), segment != before, "{expected:?}");
    }
}

/// Guards against a segment above the size limit, if the limit ignores the list of change ids or the escaped characters
/// of the lines.
#[test]
fn full_segment_stays_within_the_size_limit() {
    let mut segment = Segment::default();
    for i in 0..RECENT_CHANGES {
        segment.recent_mut().add(ChangeId::new(format!("{i:064}")).unwrap());
    }
    let mut lines = 0;
    while segment.apply(&append(vec![move_line(APRIL + lines, "a \"wave\" \u{1}")])) == AppendOutcome::Appended {
        lines += 1;
    }
    assert_eq!(segment.apply(&append(vec![move_line(APRIL, "x")])), AppendOutcome::Full);
    let size = segment.encode().len();
    assert!((MAX_SEGMENT_BYTES - 5_000..=MAX_SEGMENT_BYTES).contains(&size), "{lines} lines take {size} bytes");
}

/// Guards against a segment that exists without being listed, so that its loss would not be detected.
#[test]
fn segments_open_in_order() {
    let mut index = SegmentIndex::default();
    let cases = [
        (IndexCommand::Open { n: 1 }, IndexOutcome::OutOfOrder { next: 0 }),
        (IndexCommand::Create, IndexOutcome::Created),
        (IndexCommand::Create, IndexOutcome::AlreadyThere),
        (IndexCommand::Open { n: 0 }, IndexOutcome::Opened),
        (IndexCommand::Open { n: 0 }, IndexOutcome::AlreadyThere),
        (IndexCommand::Open { n: 2 }, IndexOutcome::OutOfOrder { next: 1 }),
        (IndexCommand::Open { n: 1 }, IndexOutcome::Opened),
    ];
    for (command, expected) in cases {
        let before = index.clone();
        assert_eq!(index.apply(&command), expected, "{command:?}");
        assert_eq!(SegmentIndex::is_change(&expected), index != before);
    }
    assert_eq!(SegmentIndex::decode(&index.encode()).unwrap().segments(), 2);
}

fn job() -> JobId {
    JobId::new("j").unwrap()
}

fn shard_with(commands: &[JobCommand]) -> JobShard {
    let spec = JobSpec {
        id: job(),
        team: Some(TeamId::new("clinic").unwrap()),
        queue: QueueId::new("masters").unwrap(),
        class: ClassId::new("patient").unwrap(),
        pool: PoolId::new("render").unwrap(),
        idempotent: false,
        size: Size::default(),
        expected_run: None,
        deadline: None,
        accepted_at: WallTime(APRIL),
        payload: Content::Inline { text: "secret words".into() },
    };
    let mut shard = JobShard::default();
    shard.apply(&JobCommand::Accept { spec: Box::new(spec) });
    for command in commands {
        assert!(JobShard::is_change(&shard.apply(command)), "{command:?}");
    }
    shard
}

/// Guards against a ledger line that differs from the job's record in how the job ended, and against payloads in the
/// ledger.
#[test]
fn job_line_agrees_with_the_job_record() {
    let task = TaskId::new("t1").unwrap();
    let claim = Claim {
        entry: EntryId::new("a").unwrap(),
        incarnation: Incarnation(1),
        vm: VmId::new("v1").unwrap(),
        lease: LeaseId::new("l1").unwrap(),
        task: task.clone(),
        at: WallTime(APRIL + 10),
    };
    let start = JobCommand::Claim { job: job(), claim };
    let at = WallTime(APRIL + 30);
    let answer = Content::Inline { text: "ok".into() };
    let finish = JobCommand::Finish { job: job(), task: task.clone(), answer, at };
    let unknown = JobCommand::MarkUnknown { job: job(), task, reason: "gone".into(), at };
    let by = OperatorId::new("ana").unwrap();
    let not_run = JobCommand::Resolve { job: job(), by, found: Resolution::NotRun, at: WallTime(APRIL + 99) };
    let cancel = JobCommand::Cancel { job: job(), at };
    let started = Some(WallTime(APRIL + 10));
    let cases = [
        (vec![start.clone(), finish], JobResult::Done, Ran::Yes, started, None),
        (vec![cancel], JobResult::Cancelled, Ran::No, None, None),
        (vec![start.clone(), unknown.clone()], JobResult::Unknown, Ran::Unknown, started, None),
        (vec![start.clone(), unknown, not_run], JobResult::Failed, Ran::No, None, Some("ana")),
    ];
    for (commands, result, ran, started, resolved) in cases {
        let shard = shard_with(&commands);
        let line = Line::of_job(shard.record(&job()).unwrap()).unwrap();
        assert!(!serde_json::to_string(&line).unwrap().contains("secret"));
        let Line::Job(line) = line else { panic!("{line:?}") };
        assert_eq!((line.result, line.ran, line.started, line.ended), (result, ran, started, at));
        assert_eq!(line.vm.is_some(), started.is_some());
        assert_eq!(line.resolved.as_ref().map(|r| r.by.as_str()), resolved);
    }
    assert_eq!(Line::of_job(shard_with(&[start]).record(&job()).unwrap()), None);
}

/// Guards against key hashes in the ledger, and against lines that don't show what a change was.
#[test]
fn change_lines_show_the_change_without_secrets() {
    let record = |change| ChangeRecord {
        revision: Revision(9),
        by: OperatorId::new("ana").unwrap(),
        at: WallTime(APRIL),
        change,
    };
    let hash = KeyHash::of_secret("a secret of the clinic");
    let id = KeyId::new("k1").unwrap();
    let team = TeamId::new("clinic").unwrap();
    let given = Line::of_change(&record(Change::GiveKey {
        id: id.clone(),
        value: Key { team: team.clone(), hash: hash.clone() },
    }));
    assert!(!serde_json::to_string(&given).unwrap().contains(&hash.to_string()));
    assert!(matches!(&given, Line::Key { given_to: Some(t), .. } if *t == team), "{given:?}");
    let withdrawn = Line::of_change(&record(Change::WithdrawKey { id }));
    assert!(matches!(&withdrawn, Line::Key { given_to: None, .. }), "{withdrawn:?}");
    let class = ClassId::new("urgent").unwrap();
    let value = Class { target: Target::Within { ms: Millis(1100) } };
    let Line::Change { change, .. } = Line::of_change(&record(Change::SetClass { id: class, value })) else {
        panic!("not a change line")
    };
    assert!(change.contains("\"urgent\"") && change.contains("1100"), "{change}");
}

/// Guards against urgent jobs of one minute that are spread over several lines.
#[test]
fn minute_of_urgent_lines_is_rounded_down() {
    for (at, minute) in [(APRIL, APRIL), (APRIL + 59_999, APRIL), (APRIL + 60_000, APRIL + 60_000)] {
        assert_eq!(UrgentLine::minute_of(WallTime(at)), WallTime(minute));
    }
}
