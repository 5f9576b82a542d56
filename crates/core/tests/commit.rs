//! Commits under conflicts and lost responses.

use carawaybarrow_core::commit::{Commit, Document, NotWritten, Step, StoreResponse};
use carawaybarrow_core::config::{Change, Class, Config, ConfigCommand, ConfigOutcome, Target};
use carawaybarrow_core::ids::{ChangeId, ClassId, OperatorId, Revision, StoreVersion};
use carawaybarrow_core::units::{Millis, WallTime};

fn set_class(name: &str, expected: Option<u64>) -> ConfigCommand {
    ConfigCommand {
        by: OperatorId::new("ana").unwrap(),
        at: WallTime(1),
        expected: expected.map(Revision),
        change: Change::SetClass {
            id: ClassId::new(name).unwrap(),
            value: Class { target: Target::Within { ms: Millis(1100) } },
        },
    }
}

fn commit(id: &str, name: &str) -> Commit<Config> {
    Commit::new(ChangeId::new(id).unwrap(), vec![set_class(name, Some(0))])
}

/// One key of a store that accepts compare-and-swap writes.
#[derive(Default)]
struct FakeStore {
    version: u64,
    bytes: Vec<u8>,
}

impl FakeStore {
    fn respond<O>(&mut self, step: &Step<O>) -> StoreResponse {
        match step {
            Step::Read if self.version == 0 => StoreResponse::Absent,
            Step::Read => StoreResponse::Value { version: StoreVersion(self.version), bytes: self.bytes.clone() },
            Step::Write { expect, bytes } if expect.0 == self.version => {
                self.version += 1;
                self.bytes = bytes.clone();
                StoreResponse::Written(StoreVersion(self.version))
            }
            Step::Write { .. } => StoreResponse::Conflict,
            _ => panic!("the commit has ended"),
        }
    }

    fn run(&mut self, commit: &mut Commit<Config>, first: Step<ConfigOutcome>) -> Step<ConfigOutcome> {
        let mut step = first;
        while matches!(step, Step::Read | Step::Write { .. }) {
            let response = self.respond(&step);
            step = commit.handle_response(response);
        }
        step
    }

    fn count_classes(&self) -> usize {
        Config::decode(&self.bytes).unwrap().classes.len()
    }
}

/// Guards against a change that is applied twice: its write takes effect, the response is lost, and the commit tries
/// again.
#[test]
fn write_with_a_lost_response_is_applied_once() {
    let mut store = FakeStore::default();
    let mut first = commit("c1", "urgent");
    let read = first.start();
    let response = store.respond(&read);
    let write = first.handle_response(response);
    assert!(matches!(store.respond(&write), StoreResponse::Written(_)));

    let step = first.handle_response(StoreResponse::Lost);
    let step = store.run(&mut first, step);

    let Step::Done { outcomes, .. } = step else { panic!("{step:?}") };
    assert_eq!(outcomes, [ConfigOutcome::Accepted { revision: Revision(1) }]);
    assert_eq!(store.version, 1);
}

/// Guards against a delayed write that is applied twice: its response is lost, a read doesn't show it yet, the commit
/// retries it, and then both arrive. The retry must be the same write against the same version.
#[test]
fn delayed_write_and_its_retry_take_effect_once() {
    let mut store = FakeStore::default();
    let mut writer = commit("c1", "urgent");
    let read = writer.start();
    let response = store.respond(&read);
    let delayed = writer.handle_response(response);

    let read = writer.handle_response(StoreResponse::Lost);
    let response = store.respond(&read);
    let retried = writer.handle_response(response);
    assert_eq!(delayed, retried);
    assert!(matches!(store.respond(&delayed), StoreResponse::Written(_)));
    let response = store.respond(&retried);
    let step = writer.handle_response(response);
    let step = store.run(&mut writer, step);

    assert!(matches!(step, Step::Done { .. }), "{step:?}");
    assert_eq!(store.version, 1);
}

/// Guards against a lost update: two writers start from the same version, and the second one must apply its change to
/// the result of the first.
#[test]
fn conflicting_writers_both_take_effect() {
    let mut store = FakeStore::default();
    let (mut a, mut b) = (commit("a", "urgent"), commit("b", "patient"));
    let (step_a, step_b) = (a.start(), b.start());
    let (response_a, response_b) = (store.respond(&step_a), store.respond(&step_b));
    let (write_a, write_b) = (a.handle_response(response_a), b.handle_response(response_b));
    let step = store.run(&mut a, write_a);
    assert!(matches!(step, Step::Done { .. }));
    let step = store.run(&mut b, write_b);
    assert!(matches!(step, Step::Done { .. }));
    assert_eq!(store.count_classes(), 2);
}

/// Guards against a result of "not written" while a write without a response may still take effect.
#[test]
fn lost_write_without_further_responses_is_unknown() {
    let mut a = commit("a", "urgent").with_attempts(4);
    let mut step = a.start();
    step = match step {
        Step::Read => a.handle_response(StoreResponse::Absent),
        other => panic!("{other:?}"),
    };
    while matches!(step, Step::Read | Step::Write { .. }) {
        step = a.handle_response(StoreResponse::Lost);
    }
    assert_eq!(step, Step::Unknown);
}

/// Guards against a result of "unknown" although no write was ever sent: only reads were lost, so nothing can have
/// taken effect.
#[test]
fn commit_that_sent_no_write_is_not_written() {
    let mut a = commit("a", "urgent").with_attempts(3);
    let mut step = a.start();
    while matches!(step, Step::Read | Step::Write { .. }) {
        step = a.handle_response(StoreResponse::Lost);
    }
    assert_eq!(step, Step::NotWritten(NotWritten::StoreUnavailable));
}

/// Guards against an operator's change that overwrites a newer one: it was made for an older revision, so the operator
/// gets the current and the proposed value instead.
#[test]
fn change_for_an_older_revision_gets_a_conflict_with_both_values() {
    let mut store = FakeStore::default();
    let mut a = commit("a", "urgent");
    let first = a.start();
    store.run(&mut a, first);
    let mut b = commit("b", "urgent");
    let first = b.start();
    let step = store.run(&mut b, first);
    let Step::Done { outcomes, .. } = step else { panic!("{step:?}") };
    let ConfigOutcome::Conflict { current: Some(_), modified, proposed: _ } = &outcomes[0] else {
        panic!("{outcomes:?}")
    };
    assert_eq!(*modified, Revision(1));
    assert_eq!(store.version, 1);
}
