//! Admission: all refusals, deadlines, and the decision between urgent and durable jobs.

use carawaybarrow_core::Map;
use carawaybarrow_core::admission::{self, AdmissionDecision, EntryView, Request, Room};
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::{Change, Class, Config, ConfigCommand, ConfigOutcome, Key, Pool, Queue, Target, Team};
use carawaybarrow_core::deadline::{self, Deadline};
use carawaybarrow_core::ids::{ClassId, KeyId, OperatorId, PoolId, QueueId, TeamId};
use carawaybarrow_core::job::{self, Content, Refusal, Size};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::units::{Millis, MonoTime, Percent, WallTime};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAY_MS: u64 = 86_400_000;
const NOW: WallTime = WallTime(20_000 * DAY_MS + 3_600_000);

fn pool() -> PoolId {
    PoolId::new("render").unwrap()
}

fn config() -> Config {
    let mut config = Config::default();
    let class = |name: &str, target| Change::SetClass { id: ClassId::new(name).unwrap(), value: Class { target } };
    let queue = |name: &str, class: &str, open_to_all, idempotent| {
        let value = Queue { class: ClassId::new(class).unwrap(), pool: pool(), open_to_all, idempotent };
        Change::SetQueue { id: QueueId::new(name).unwrap(), value }
    };
    let team = |name: &str| Change::SetTeam {
        id: TeamId::new(name).unwrap(),
        value: Team { share: Percent::new(40).unwrap(), limit: 10 },
    };
    let key = |name: &str, team: &str| Change::GiveKey {
        id: KeyId::new(name).unwrap(),
        value: Key { team: TeamId::new(team).unwrap(), hash: KeyHash::of_secret(&format!("secret-of-{team}")) },
    };
    let changes = [
        class("urgent", Target::Within { ms: Millis(1100) }),
        class("morning", Target::By { minute_of_day: 360 }),
        class("patient", Target::Eventually),
        Change::SetPool {
            id: pool(),
            value: Pool {
                min_available: Percent::new(80).unwrap(),
                baseline: 0,
                spare: false,
                deadline_windows: Vec::new(),
            },
        },
        queue("clips", "urgent", false, true),
        queue("masters", "urgent", false, false),
        queue("courses", "morning", false, true),
        queue("archive", "patient", false, true),
        queue("public", "urgent", true, true),
        team("clinic"),
        team("studio"),
        key("k1", "clinic"),
        key("k2", "studio"),
    ];
    for change in changes {
        let by = OperatorId::new("ana").unwrap();
        let outcome = config.apply(&ConfigCommand { by, at: NOW, expected: None, change });
        assert!(matches!(outcome, ConfigOutcome::Accepted { .. }), "{outcome:?}");
    }
    config
}

fn workers() -> Map<PoolId, Size> {
    Map::from_iter([(pool(), Size { cores: 64, memory_mb: 128_000, accelerators: 0 })])
}

fn request<'a>(queue: &'a str, key: Option<&'a KeyHash>) -> Request<'a> {
    Request {
        queue,
        team: None,
        key,
        request_id: "r1",
        payload: "{}",
        size: Size::default(),
        expected_run: None,
        deadline: None,
    }
}

fn view<'a>(config: &'a Config, largest_workers: &'a Map<PoolId, Size>) -> EntryView<'a> {
    EntryView {
        config,
        largest_workers,
        fresh: true,
        store_reachable: true,
        expected_wait: Millis(0),
        room: Room::Free,
        stopping: false,
        now: NOW,
    }
}

fn error_places(refusal: &Refusal) -> Vec<String> {
    match refusal {
        Refusal::Invalid { errors } | Refusal::NotAllowed { errors } => {
            errors.iter().map(|finding| finding.place.to_string()).collect()
        }
        _ => Vec::new(),
    }
}

/// Guards against the loss of durable work: a job that is kept only in memory is lost when its entry stops. Only
/// idempotent jobs of a class with a target for the start may be kept in memory.
#[test]
fn only_idempotent_jobs_with_a_start_target_are_not_durable() {
    let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-clinic"));
    let table = [("clips", false), ("masters", true), ("courses", true), ("archive", true), ("public", false)];
    for (queue, durable) in table {
        let decision = admission::admit(&request(queue, Some(&key)), &view(&config, &workers));
        match (&decision, durable) {
            (AdmissionDecision::Urgent(_), false) | (AdmissionDecision::Durable(_), true) => {}
            _ => panic!("{queue}: {decision:?}"),
        }
    }
}

/// Guards against a refusal that omits a broken rule, names the wrong field or has the wrong kind, so that the caller
/// corrects the wrong thing.
#[test]
fn refusal_names_the_field_of_each_broken_rule() {
    let (config, workers) = (config(), workers());
    let (clinic, unknown) = (KeyHash::of_secret("secret-of-clinic"), KeyHash::of_secret("secret-of-nobody"));
    let long_id = "x".repeat(admission::MAX_REQUEST_ID_BYTES + 1);
    let long_payload = "x".repeat(job::MAX_STORED_BYTES + 1);
    let size = |cores, memory_mb, accelerators| Size { cores, memory_mb, accelerators };
    let base = request("clips", Some(&clinic));
    let table: Vec<(Request<'_>, bool, &[&str])> = vec![
        (Request { queue: "no such", ..base }, false, &["queue"]),
        (Request { queue: "absent", ..base }, false, &["queue"]),
        (Request { queue: "absent", key: Some(&unknown), ..base }, true, &["authorization", "queue"]),
        (Request { key: None, ..base }, true, &["authorization"]),
        (Request { key: Some(&unknown), ..base }, true, &["authorization"]),
        (Request { team: Some("studio"), ..base }, true, &["team"]),
        (Request { team: Some("a b"), ..base }, false, &["team"]),
        (Request { request_id: "", ..base }, false, &["request_id"]),
        (Request { request_id: &long_id, ..base }, false, &["request_id"]),
        (Request { payload: &long_payload, ..base }, false, &["payload"]),
        (Request { deadline: Some(NOW), ..base }, false, &["deadline_ms"]),
        (Request { size: size(65, 0, 0), ..base }, false, &["size.cores"]),
        (Request { size: size(64, 128_001, 0), ..base }, false, &["size.memory_mb"]),
        (Request { size: size(1, 1, 1), ..base }, false, &["size.accelerators"]),
        (
            Request { key: None, team: Some("?"), request_id: "", size: size(99, 999_999, 9), ..base },
            true,
            &["authorization", "team", "request_id", "size.cores", "size.memory_mb", "size.accelerators"],
        ),
    ];
    for (request, denied, expected) in table {
        let AdmissionDecision::Refuse(refusal) = admission::admit(&request, &view(&config, &workers)) else {
            panic!("{request:?} was accepted")
        };
        assert_eq!(matches!(refusal, Refusal::NotAllowed { .. }), denied, "{refusal:?}");
        assert_eq!(error_places(&refusal), expected, "{refusal:?}");
    }
}

/// Guards against work that is accepted in a state of the entry that forbids it: while it stops, keyed work while it is
/// stale, durable work without the store, or any work beyond the expected wait or the bounds of the queue. Work that
/// the state allows must still be accepted.
#[test]
fn entry_state_decides_which_requests_are_refused() {
    let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-clinic"));
    let base = view(&config, &workers);
    let ms = Millis;
    let table = [
        ("clips", EntryView { stopping: true, ..base }, Some(Refusal::Stopping)),
        ("public", EntryView { stopping: true, ..base }, Some(Refusal::Stopping)),
        ("clips", EntryView { fresh: false, ..base }, Some(Refusal::Stale)),
        ("absent", EntryView { fresh: false, ..base }, Some(Refusal::Stale)),
        ("public", EntryView { fresh: false, ..base }, None),
        ("clips", EntryView { store_reachable: false, ..base }, None),
        ("masters", EntryView { store_reachable: false, ..base }, Some(Refusal::StoreUnavailable)),
        ("archive", EntryView { store_reachable: false, ..base }, Some(Refusal::StoreUnavailable)),
        ("clips", EntryView { expected_wait: ms(1100), ..base }, None),
        ("clips", EntryView { expected_wait: ms(1101), ..base }, Some(Refusal::Overloaded { retry_after: ms(100) })),
        ("masters", EntryView { expected_wait: ms(5000), ..base }, Some(Refusal::Overloaded { retry_after: ms(3900) })),
        ("courses", EntryView { expected_wait: ms(DAY_MS * 9), ..base }, None),
        ("archive", EntryView { expected_wait: ms(DAY_MS * 9), ..base }, None),
        (
            "archive",
            EntryView { expected_wait: ms(DAY_MS), room: Room::PoolFull, ..base },
            Some(Refusal::Overloaded { retry_after: admission::MAX_RETRY_AFTER }),
        ),
        (
            "archive",
            EntryView { expected_wait: ms(900), room: Room::TeamFull, ..base },
            Some(Refusal::TeamLimit { retry_after: ms(900) }),
        ),
    ];
    for (queue, view, expected) in table {
        let decision = admission::admit(&request(queue, Some(&key)), &view);
        match (decision, expected) {
            (AdmissionDecision::Refuse(refusal), Some(expected)) => assert_eq!(refusal, expected, "{queue}"),
            (AdmissionDecision::Urgent(_) | AdmissionDecision::Durable(_), None) => {}
            (decision, expected) => panic!("{queue}: {decision:?} instead of {expected:?}"),
        }
    }
}

/// Guards against a stale entry that reports a key as unknown: its outdated configuration may lack a key that was given
/// a moment ago.
#[test]
fn stale_entry_does_not_report_a_key_as_unknown() {
    let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-nobody"));
    let view = EntryView { fresh: false, ..view(&config, &workers) };
    assert_eq!(admission::admit(&request("clips", Some(&key)), &view), AdmissionDecision::Refuse(Refusal::Stale));
}

/// Guards against a job spec without the data that later steps rely on, such as the team that the job counts against or
/// the size of a payload that is stored separately.
#[test]
fn job_spec_contains_team_class_and_payload() {
    let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-clinic"));
    let view = view(&config, &workers);
    let payload = "x".repeat(job::MAX_INLINE_BYTES + 1);
    let with_team = Request { team: Some("clinic"), payload: &payload, ..request("masters", Some(&key)) };
    let AdmissionDecision::Durable(spec) = admission::admit(&with_team, &view) else { panic!() };
    assert_eq!(spec.team.as_ref().unwrap().as_str(), "clinic");
    assert_eq!((spec.class.as_str(), spec.pool.as_str(), spec.idempotent), ("urgent", "render", false));
    assert_eq!(spec.payload, Content::Stored { bytes: payload.len() as u64 });
    assert_eq!(spec.id, job::derive_job_id(spec.team.as_ref(), &spec.queue, "r1"));

    let to_open_queue = Request { team: Some("clinic"), ..request("public", Some(&key)) };
    let AdmissionDecision::Urgent(spec) = admission::admit(&to_open_queue, &view) else { panic!() };
    assert_eq!(spec.team, None, "work on a queue open to all counts against no team");
    assert_eq!(spec.payload, Content::Inline { text: "{}".into() });
}

/// Guards against a wrong deadline: the earlier one of class and caller holds, and a class target `by` a minute of the
/// day means its next occurrence, which is on the next day once that minute has begun.
#[test]
fn deadline_is_the_earlier_of_class_and_caller() {
    let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-clinic"));
    let midnight = NOW.0 - NOW.0 % DAY_MS;
    let six_oclock = WallTime(midnight + 6 * 3_600_000);
    let table = [
        ("clips", NOW, None, Some(NOW + Millis(1100))),
        ("clips", NOW, Some(NOW + Millis(500)), Some(NOW + Millis(500))),
        ("clips", NOW, Some(NOW + Millis(5000)), Some(NOW + Millis(1100))),
        ("courses", NOW, None, Some(six_oclock)),
        ("courses", WallTime(six_oclock.0 - 1), None, Some(six_oclock)),
        ("courses", six_oclock, None, Some(WallTime(six_oclock.0 + DAY_MS))),
        ("courses", NOW, Some(NOW + Millis(1)), Some(NOW + Millis(1))),
        ("archive", NOW, None, None),
        ("archive", NOW, Some(six_oclock), Some(six_oclock)),
    ];
    for (queue, now, deadline, expected) in table {
        let view = EntryView { now, ..view(&config, &workers) };
        let request = Request { deadline, ..request(queue, Some(&key)) };
        let (AdmissionDecision::Urgent(spec) | AdmissionDecision::Durable(spec)) = admission::admit(&request, &view)
        else {
            panic!()
        };
        assert_eq!(spec.deadline, expected, "{queue} at {now:?} with {deadline:?}");
    }
}

/// Guards against a run time that is subtracted from a deadline for the start, which would make a job that can still
/// start appear too late.
#[test]
fn run_time_is_subtracted_only_from_deadlines_for_the_end() {
    let (wall, mono) = (WallTime(1_000_000), MonoTime(500));
    let at = WallTime(1_002_000);
    let within = Deadline::of_job(Target::Within { ms: Millis(1) }, at, wall, mono);
    let by = Deadline::of_job(Target::By { minute_of_day: 0 }, at, wall, mono);
    assert_eq!(within.latest_start(Millis(1500)), MonoTime(2500));
    assert_eq!(by.latest_start(Millis(1500)), MonoTime(1000));
    assert_eq!(deadline::convert_to_mono(WallTime(999_900), wall, mono), MonoTime(400));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against work that is accepted although its deadline has passed, or although the expected wait is longer
    /// than the time left until a deadline that it has to meet.
    #[test]
    fn accepted_jobs_can_meet_their_deadline(
        queue in prop::sample::select(vec!["clips", "masters", "courses", "archive", "public"]),
        wait in prop_oneof![Just(0_u64), 0_u64..5000],
        offset in prop::option::of(-3000_i64..6000),
    ) {
        let (config, workers, key) = (config(), workers(), KeyHash::of_secret("secret-of-clinic"));
        let view = EntryView { expected_wait: Millis(wait), ..view(&config, &workers) };
        let deadline = offset.map(|offset| WallTime(NOW.0.saturating_add_signed(offset)));
        let request = Request { deadline, ..request(queue, Some(&key)) };
        if let AdmissionDecision::Urgent(spec) | AdmissionDecision::Durable(spec) = admission::admit(&request, &view) {
            prop_assert!(spec.deadline.is_none_or(|d| d > NOW), "accepted after its deadline {:?}", spec.deadline);
            let must_meet_deadline = spec.class.as_str() == "urgent" || deadline.is_some();
            prop_assert!(
                !must_meet_deadline || spec.deadline.is_none_or(|d| NOW + Millis(wait) <= d),
                "accepted with a wait of {wait} ms for {:?} ms", spec.deadline.map(|d| d.since(NOW).0)
            );
        }
    }
}
