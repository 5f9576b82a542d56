//! Keeps the stored succession of a term up to date while the store answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::TermAnswer;
use carawaybarrow_core::sched::succession::Succession;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item};

use crate::node::peers::SchedulerClient;
use crate::node::records::{self, SCHEDULER_KEY, SUCCESSION_KEY};
use crate::node::term::Term;
use crate::node::view::{self, STORE_TIMEOUT};

/// Time between checks whether the successors answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Checks in a row that a successor leaves unanswered before another entry takes its place.
const MAX_UNANSWERED: u32 = 2;

/// Time for which an entry that did not answer is chosen only if there are too few others.
const UNFIT_TIME: Millis = Millis(30_000);

/// Checks that an entry has left unanswered in a row, and the time of the last one.
type Unanswered = Map<SocketAddr, (u32, MonoTime)>;

/// Replaces successors that do not answer, and lists entries that are new, until the term ends.
pub async fn keep(term: Arc<Term>, scheduler: Arc<SchedulerClient>) {
    let mut unanswered = Unanswered::default();
    while !term.is_ended() {
        task::sleep(CHECK_INTERVAL).await;
        // Without the store, the succession can't change.
        if !term.reaches_store() {
            continue;
        }
        let known = term.succession();
        let answers = scheduler.ask_entries(&term, &known.successors()).await;
        let now = view::now().mono;
        record_answers(&mut unanswered, &answers, now);
        let Some(candidates) = term.view.candidates() else { continue };
        let is_fit = |entry: &SocketAddr| unanswered.get(entry).is_none_or(|(count, _)| *count < MAX_UNANSWERED);
        let succession = Succession::choose(term.owner.term, &candidates, is_fit);
        if !known.is_stored(&succession) {
            store(&term, succession).await;
        }
    }
}

fn record_answers(unanswered: &mut Unanswered, answers: &Map<SocketAddr, TermAnswer>, now: MonoTime) {
    for (entry, answer) in answers {
        if *answer == TermAnswer::Silent {
            let (count, last) = unanswered.entry(*entry).or_insert((0, now));
            *count += 1;
            *last = now;
        } else {
            unanswered.remove(entry);
        }
    }
    unanswered.retain(|_, (_, last)| now.since(*last) < UNFIT_TIME);
}

/// Stores a succession, unless the term is over. Until the store answers, the old one and the new one both count.
async fn store(term: &Term, succession: Succession) {
    let revision = term.record_succession_write(succession.clone());
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision), (SUCCESSION_KEY.to_owned(), revision)],
        puts: vec![(SUCCESSION_KEY.to_owned(), records::encode(&succession), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(revision)) => {
            log::info!(
                term = term.owner.term, successors = succession.successors.len(), listed = succession.listed.len();
                "succession stored"
            );
            term.record_stored_succession(succession, revision);
        }
        Ok(ChangeOutcome::Conflict(items)) => apply_conflict(term, items),
        answer => log::info!(answer:? = answer; "the succession is not stored yet"),
    }
}

/// Applies the succession of an earlier write that got no answer.
fn apply_conflict(term: &Term, items: Vec<Item>) {
    for item in items {
        let Some(value) = item.value.filter(|_| item.key == SUCCESSION_KEY) else { continue };
        match records::decode::<Succession>(&value) {
            Ok(stored) if stored.term == term.owner.term => term.record_stored_succession(stored, item.revision),
            Ok(stored) => log::info!(term = term.owner.term, later = stored.term; "a later term has begun"),
            Err(e) => log::error!(error:% = e; "the stored succession can't be read"),
        }
    }
}
