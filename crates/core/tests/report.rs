//! The monthly report: formats, totals, repeated lines and gaps.

use std::collections::BTreeMap;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{
    ClassId, EntryId, Incarnation, JobId, KeyId, OperatorId, PoolId, QueueId, Revision, ShardId, TeamId, VmId,
};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::Resolved;
use carawaybarrow_core::ledger::{
    Append, AppendOutcome, DrainEvent, IndexCommand, JobLine, JobResult, Line, Month, Segment, SegmentId, SegmentIndex,
    UrgentLine,
};
use carawaybarrow_core::report::{Fetched, Gap, GapCause, MonthReport, ShardInput, Sum};
use carawaybarrow_core::units::WallTime;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// 2026-04-01T00:00:00Z.
const APRIL: u64 = 1_775_001_600_000;

const SHARDS: u16 = 3;

const SEED: u64 = 20_260_402;

fn month() -> Month {
    Month::of(WallTime(APRIL))
}

fn job_line(id: &str, ended: u64, result: JobResult) -> JobLine {
    JobLine {
        job: JobId::new(id).unwrap(),
        team: Some(TeamId::new("clinic").unwrap()),
        class: ClassId::new("patient").unwrap(),
        queue: QueueId::new("masters").unwrap(),
        asked: WallTime(APRIL),
        started: Some(WallTime(APRIL + 5)),
        ended: WallTime(APRIL + ended),
        vm: Some(VmId::new("v1").unwrap()),
        result,
        ran: if result == JobResult::Unknown { Ran::Unknown } else { Ran::Yes },
        reason: None,
        resolved: None,
    }
}

fn urgent_line(entry: &str, minute: u64, count: u64) -> Line {
    Line::Urgent(UrgentLine {
        minute: WallTime(APRIL + minute * 60_000),
        entry: EntryId::new(entry).unwrap(),
        incarnation: Incarnation(1),
        team: None,
        class: ClassId::new("urgent").unwrap(),
        result: JobResult::Done,
        count,
        wait_ms: 3 * count,
        run_ms: 100 * count,
    })
}

fn resolve(mut line: JobLine, by: &str, result: JobResult) -> Line {
    (line.result, line.ran) = (result, Ran::Yes);
    line.resolved = Some(Resolved { by: OperatorId::new(by).unwrap(), at: WallTime(APRIL + 9_000) });
    Line::Job(line)
}

/// One line of each kind, and jobs that end in each way.
fn all_lines() -> Vec<Line> {
    let (vm, pool) = (VmId::new("v1").unwrap(), PoolId::new("render").unwrap());
    let ana = OperatorId::new("ana").unwrap();
    let mut failed = job_line("j2", 30, JobResult::Failed);
    failed.reason = Some("codec \"x\", then\na second line".into());
    let mut cancelled = job_line("j3", 30, JobResult::Cancelled);
    (cancelled.started, cancelled.vm, cancelled.ran) = (None, None, Ran::No);
    let unknown = job_line("j4", 40, JobResult::Unknown);
    let change = "{\"change\":\"set_class\"}".to_owned();
    let key = KeyId::new("k1").unwrap();
    let event = DrainEvent::Granted;
    vec![
        Line::Job(job_line("j1", 25, JobResult::Done)),
        Line::Job(failed),
        Line::Job(cancelled),
        Line::Job(unknown.clone()),
        resolve(unknown, "ana", JobResult::Done),
        urgent_line("a", 0, 7),
        urgent_line("b", 0, 5),
        urgent_line("a", 1, 2),
        Line::Move {
            at: WallTime(APRIL + 3),
            vm: vm.clone(),
            from: None,
            to: Some(pool.clone()),
            reason: "new".into(),
        },
        Line::Drain { at: WallTime(APRIL + 4), vm, pool, event, reason: "wave 1".into() },
        Line::Change { at: WallTime(APRIL + 1), revision: Revision(1), by: ana.clone(), change },
        Line::Key { at: WallTime(APRIL + 2), revision: Revision(2), by: ana, key, given_to: None },
    ]
}

/// Stores each line in the shard and segment that `locate` returns for its index.
fn store(lines: &[Line], locate: impl Fn(usize) -> (u16, u32)) -> BTreeMap<ShardId, ShardInput> {
    let mut segments: BTreeMap<(u16, u32), Segment> = (0..SHARDS).map(|s| ((s, 0), Segment::default())).collect();
    for (i, line) in lines.iter().enumerate() {
        let (shard, n) = locate(i);
        for n in 0..=n {
            segments.entry((shard, n)).or_default();
        }
        let append =
            Append { place: SegmentId { month: month(), shard: ShardId(shard), n }, lines: vec![line.clone()] };
        assert_eq!(segments.get_mut(&(shard, n)).unwrap().apply(&append), AppendOutcome::Appended);
    }
    let mut inputs = BTreeMap::new();
    for ((shard, n), segment) in segments {
        let empty = || ShardInput { index: Fetched::Absent, segments: BTreeMap::new() };
        let input = inputs.entry(ShardId(shard)).or_insert_with(empty);
        input.segments.insert(n, Fetched::Bytes(segment.encode()));
        let mut index = SegmentIndex::default();
        for n in 0..=n {
            index.apply(&IndexCommand::Open { n });
        }
        input.index = Fetched::Bytes(index.encode());
    }
    inputs
}

fn report_of(lines: &[Line]) -> MonthReport {
    MonthReport::new(month(), SHARDS, &store(lines, |i| ((i % 3) as u16, (i / 6) as u32)))
}

/// Guards against a change of the text format, which auditors compare with paper records.
#[test]
fn text_format_of_each_kind_of_line_is_stable() {
    let text = report_of(&all_lines()).to_text();
    let expected = "\
Month report 2026-04

Complete: every listed segment was read.

Totals of jobs
team                     class                    result             jobs          wait ms           run ms
(open)                   urgent                   done                 14               42             1400
clinic                   patient                  done                  2               10               55
clinic                   patient                  failed                1                5               25
clinic                   patient                  cancelled             1                0                0
all                                                                    18               57             1480

Lines (11)
urgent at=2026-04-01T00:00:00.000Z team=(open) class=urgent result=done count=7 wait_ms=21 run_ms=700 detail=entry a/0000000000000001
urgent at=2026-04-01T00:00:00.000Z team=(open) class=urgent result=done count=5 wait_ms=15 run_ms=500 detail=entry b/0000000000000001
change at=2026-04-01T00:00:00.001Z by=ana detail=revision 1: {\\\"change\\\":\\\"set_class\\\"}
key    at=2026-04-01T00:00:00.002Z by=ana detail=revision 2: k1 withdrawn
move   at=2026-04-01T00:00:00.003Z vm=v1 reason=new detail=from none to render
drain  at=2026-04-01T00:00:00.004Z vm=v1 reason=wave 1 detail=granted in render
job    at=2026-04-01T00:00:00.025Z job=j1 team=clinic class=patient queue=masters asked=2026-04-01T00:00:00.000Z started=2026-04-01T00:00:00.005Z vm=v1 result=done ran=yes count=1 wait_ms=5 run_ms=20
job    at=2026-04-01T00:00:00.030Z job=j2 team=clinic class=patient queue=masters asked=2026-04-01T00:00:00.000Z started=2026-04-01T00:00:00.005Z vm=v1 result=failed ran=yes reason=codec \\\"x\\\", then\\na second line count=1 wait_ms=5 run_ms=25
job    at=2026-04-01T00:00:00.030Z job=j3 team=clinic class=patient queue=masters asked=2026-04-01T00:00:00.000Z result=cancelled ran=no count=1 wait_ms=0 run_ms=0
job    at=2026-04-01T00:00:00.040Z job=j4 team=clinic class=patient queue=masters asked=2026-04-01T00:00:00.000Z started=2026-04-01T00:00:00.005Z vm=v1 result=done ran=yes by=ana count=1 wait_ms=5 run_ms=35 detail=resolved at 2026-04-01T00:00:09.000Z
urgent at=2026-04-01T00:01:00.000Z team=(open) class=urgent result=done count=2 wait_ms=6 run_ms=200 detail=entry a/0000000000000001
";
    assert_eq!(text, expected);
}

fn sum_rows(csv: &str, kinds: &[&str]) -> Sum {
    let mut sum = Sum::default();
    for row in csv::Reader::from_reader(csv.as_bytes()).records().map(Result::unwrap) {
        if kinds.contains(&&row[0]) {
            sum.count += row[13].parse::<u64>().unwrap();
            sum.wait_ms += row[14].parse::<u64>().unwrap();
            sum.run_ms += row[15].parse::<u64>().unwrap();
        }
    }
    sum
}

/// Guards against totals that differ from the sum of the lines that the report contains.
#[test]
fn csv_totals_equal_the_sum_of_the_lines() {
    let report = report_of(&all_lines());
    let csv = report.to_csv();
    let lines = sum_rows(&csv, &["job", "urgent"]);
    assert_eq!(lines, sum_rows(&csv, &["total"]));
    assert_eq!(lines, sum_rows(&csv, &["all"]));
    assert_eq!(lines, report.total());
    assert_eq!(lines.count, 18);
    let rows = csv::Reader::from_reader(csv.as_bytes()).records().count();
    assert_eq!(rows, report.lines().len() + report.totals().len() + 1);
}

/// Guards against a job that is counted twice because two owners of its shard appended its line.
#[test]
fn repeated_lines_count_once() {
    let once = report_of(&all_lines());
    let twice = report_of(&[all_lines(), all_lines()].concat());
    assert_eq!(once.to_csv(), twice.to_csv());
    assert_eq!(twice.gaps(), []);
}

/// Guards against a choice between contradictory lines that the report doesn't mention. A line that resolves an unknown
/// outcome doesn't contradict it.
#[test]
fn contradictory_lines_are_reported() {
    let unknown = job_line("j", 40, JobResult::Unknown);
    let (ana, ben) =
        (resolve(unknown.clone(), "ana", JobResult::Done), resolve(unknown.clone(), "ben", JobResult::Failed));
    let done = Line::Job(job_line("j", 40, JobResult::Done));
    let unknown = Line::Job(unknown);
    let cases = [
        (vec![unknown.clone(), ana.clone()], 0),
        (vec![ana.clone(), unknown.clone()], 0),
        (vec![ana.clone(), unknown.clone(), ben], 1),
        (vec![unknown.clone(), done.clone()], 1),
        (vec![ana, done, unknown], 1),
        (vec![urgent_line("a", 0, 1), urgent_line("a", 0, 2)], 1),
    ];
    for (lines, conflicts) in cases {
        let report = report_of(&lines);
        assert_eq!(report.lines().len(), 1, "{lines:?}");
        assert_eq!(report.gaps().len(), conflicts, "{lines:?}");
        assert!(report.gaps().iter().all(|g| matches!(g, Gap::Conflict { .. })));
        assert_eq!(report.to_text().contains("two lines differ: "), conflicts > 0);
    }
}

/// Guards against two jobs that count as one: a request that is repeated after the tombstone retention gets the same
/// job id.
#[test]
fn same_job_id_accepted_later_is_another_job() {
    let first = job_line("j", 40, JobResult::Done);
    let mut second = job_line("j", 90_000_000, JobResult::Done);
    second.asked = WallTime(APRIL + 89_000_000);
    let report = report_of(&[Line::Job(first), Line::Job(second)]);
    assert_eq!((report.total().count, report.gaps().len()), (2, 0));
}

/// Guards against a report that doesn't say what it lacks when a segment or an index is absent, can't be read or
/// decoded, or belongs to another place.
#[test]
fn missing_documents_are_reported() {
    let place = SegmentId { month: month(), shard: ShardId(1), n: 0 };
    let (s0, s1) = (ShardId(0), ShardId(1));
    let segment = |n, cause| Gap::Segment { shard: s1, n, cause };
    type Change = Box<dyn Fn(&mut BTreeMap<ShardId, ShardInput>)>;
    let set = |n: u32, to: Fetched| -> Change {
        Box::new(move |i| drop(i.get_mut(&s1).unwrap().segments.insert(n, to.clone())))
    };
    let index = |to: Fetched| -> Change { Box::new(move |i| i.get_mut(&s1).unwrap().index = to.clone()) };
    let undecodable = GapCause::Undecodable("EOF while parsing an object at line 1 column 1".into());
    let cases: Vec<(Change, Vec<Gap>, &str)> = vec![
        (set(1, Fetched::Absent), vec![segment(1, GapCause::Absent)], "segment 1 of shard 01: it is not in the store"),
        (
            set(0, Fetched::NotRead),
            vec![segment(0, GapCause::NotRead)],
            "segment 0 of shard 01: the store did not answer",
        ),
        (
            set(0, Fetched::Bytes(b"{".to_vec())),
            vec![segment(0, undecodable.clone())],
            "segment 0 of shard 01: it can't be",
        ),
        (
            Box::new(move |i| drop(i.get_mut(&s1).unwrap().segments.remove(&0))),
            vec![segment(0, GapCause::NotRead)],
            "segment 0 of shard 01: the store did not answer",
        ),
        (
            Box::new(move |i| {
                let other = i[&s1].segments[&0].clone();
                i.get_mut(&s1).unwrap().segments.insert(1, other);
            }),
            vec![segment(1, GapCause::Misplaced(place))],
            "segment 1 of shard 01: it holds the segment ledger/2026-04/01/0",
        ),
        (
            index(Fetched::Absent),
            vec![Gap::Index { shard: s1, cause: GapCause::Absent }],
            "index of shard 01: it is not",
        ),
        (
            index(Fetched::Bytes(b"{".to_vec())),
            vec![Gap::Index { shard: s1, cause: undecodable }],
            "index of shard 01: it can't be decoded",
        ),
        (
            Box::new(move |i| drop(i.remove(&s0))),
            vec![Gap::Index { shard: s0, cause: GapCause::NotRead }],
            "index of shard 00: the store did not answer",
        ),
    ];
    for (change, gaps, message) in cases {
        let mut inputs = store(&all_lines(), |i| ((i % 3) as u16, (i / 6) as u32));
        change(&mut inputs);
        let report = MonthReport::new(month(), SHARDS, &inputs);
        assert_eq!(report.gaps(), gaps);
        assert!(report.to_text().contains("NOT COMPLETE") && report.to_text().contains(message), "{message}");
        assert!(report.to_csv().contains(message), "{message}");
        let csv = report.to_csv();
        assert_eq!(sum_rows(&csv, &["job", "urgent"]), sum_rows(&csv, &["all"]));
    }
}

/// Guards against a month that is reported as complete although an index is lost, and against a gap for a month in
/// which a shard had no lines.
#[test]
fn empty_month_is_complete_only_with_its_indexes() {
    let mut index = SegmentIndex::default();
    index.apply(&IndexCommand::Create);
    let input = ShardInput { index: Fetched::Bytes(index.encode()), segments: BTreeMap::new() };
    let inputs = (0..SHARDS).map(|s| (ShardId(s), input.clone())).collect();
    let report = MonthReport::new(month(), SHARDS, &inputs);
    assert_eq!((report.gaps().len(), report.total()), (0, Sum::default()));
    assert_eq!(MonthReport::new(month(), SHARDS, &BTreeMap::new()).gaps().len(), usize::from(SHARDS));
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a report that depends on which shard or segment holds a line, on the order of the appends, or on
    /// how often a line was appended.
    #[test]
    fn report_has_the_same_bytes_however_lines_are_stored(
        order in Just((0..12usize).collect::<Vec<_>>()).prop_shuffle(),
        repeated in prop::collection::vec(0..12usize, 0..12),
        locations in prop::collection::vec((0..SHARDS, 0..4u32), 24),
    ) {
        let mut all = all_lines();
        // Of contradictory lines, the same one must be chosen however they are stored.
        all.push(Line::Job(job_line("j4", 40, JobResult::Failed)));
        let lines: Vec<_> = order.iter().chain([&12]).chain(&repeated).map(|i| all[*i].clone()).collect();
        let shuffled = MonthReport::new(month(), SHARDS, &store(&lines, |i| locations[i % locations.len()]));
        let plain = report_of(&all);
        prop_assert_eq!(shuffled.to_text(), plain.to_text());
        prop_assert_eq!(shuffled.to_csv(), plain.to_csv());
    }
}
