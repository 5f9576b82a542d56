//! Commits under conflicts and lost answers.

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

/// A store cell that takes writes with compare-and-swap.
#[derive(Default)]
struct Cell {
    version: u64,
    bytes: Vec<u8>,
}

impl Cell {
    fn answer<O>(&mut self, step: &Step<O>) -> StoreResponse {
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
            let event = self.answer(&step);
            step = commit.handle_response(event);
        }
        step
    }

    fn classes(&self) -> usize {
        Config::decode(&self.bytes).unwrap().classes.len()
    }
}

/// Guards against a second application of a change whose first answer was lost.
#[test]
fn lost_answer_after_effect_is_applied_once() {
    let mut cell = Cell::default();
    let mut first = commit("c1", "urgent");
    let read = first.start();
    let event = cell.answer(&read);
    let write = first.handle_response(event);
    assert!(matches!(cell.answer(&write), StoreResponse::Written(_)));

    let step = first.handle_response(StoreResponse::Lost);
    let step = cell.run(&mut first, step);

    let Step::Done { outcomes, .. } = step else { panic!("{step:?}") };
    assert_eq!(outcomes, [ConfigOutcome::Accepted { revision: Revision(1) }]);
    assert_eq!(cell.version, 1);
}

/// Guards against a write that arrives late, after a read had not shown it, being applied twice.
#[test]
fn late_write_and_its_repetition_take_effect_once() {
    let mut cell = Cell::default();
    let mut late = commit("c1", "urgent");
    let read = late.start();
    let event = cell.answer(&read);
    let delayed = late.handle_response(event);

    let read = late.handle_response(StoreResponse::Lost);
    let event = cell.answer(&read);
    let repeated = late.handle_response(event);
    assert_eq!(delayed, repeated);
    assert!(matches!(cell.answer(&delayed), StoreResponse::Written(_)));
    let event = cell.answer(&repeated);
    let step = late.handle_response(event);
    let step = cell.run(&mut late, step);

    assert!(matches!(step, Step::Done { .. }), "{step:?}");
    assert_eq!(cell.version, 1);
}

/// Guards against a lost update when two writers start from the same version.
#[test]
fn conflicting_writers_both_take_effect() {
    let mut cell = Cell::default();
    let (mut a, mut b) = (commit("a", "urgent"), commit("b", "patient"));
    let (step_a, step_b) = (a.start(), b.start());
    let (event_a, event_b) = (cell.answer(&step_a), cell.answer(&step_b));
    let (write_a, write_b) = (a.handle_response(event_a), b.handle_response(event_b));
    let step = cell.run(&mut a, write_a);
    assert!(matches!(step, Step::Done { .. }));
    let step = cell.run(&mut b, write_b);
    assert!(matches!(step, Step::Done { .. }));
    assert_eq!(cell.classes(), 2);
}

/// Guards against a claim of "not written" while a write may still take effect.
#[test]
fn lost_write_without_further_answers_is_unknown() {
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

/// Guards against "unknown" where no write was ever sent.
#[test]
fn unreachable_store_before_the_write_is_not_written() {
    let mut a = commit("a", "urgent").with_attempts(3);
    let mut step = a.start();
    while matches!(step, Step::Read | Step::Write { .. }) {
        step = a.handle_response(StoreResponse::Lost);
    }
    assert_eq!(step, Step::NotWritten(NotWritten::StoreUnavailable));
}

/// Guards against an operator's change overwriting a newer one: the second gets both values.
#[test]
fn second_operator_gets_a_conflict_with_both_values() {
    let mut cell = Cell::default();
    let mut a = commit("a", "urgent");
    let first = a.start();
    cell.run(&mut a, first);
    let mut b = commit("b", "urgent");
    let first = b.start();
    let step = cell.run(&mut b, first);
    let Step::Done { outcomes, .. } = step else { panic!("{step:?}") };
    let ConfigOutcome::Conflict { current: Some(_), modified, proposed: _ } = &outcomes[0] else {
        panic!("{outcomes:?}")
    };
    assert_eq!(*modified, Revision(1));
    assert_eq!(cell.version, 1);
}
