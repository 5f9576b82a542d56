//! Stores the record of this entry with its address and strength, and reads those of the other entries.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_platform::store::{Change, ChangeOutcome, LeaseId, StoreError, StoreRevision};
use rand::seq::SliceRandom;

use crate::node::records::{self, ENTRY_PREFIX, Member};
use crate::node::view::View;

/// Time for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between reads of the other entries' records. A missing or outdated address costs one attempt of a write.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Time between the first two reads, which doubles with each further one up to [`READ_INTERVAL`]. A scheduler that begins a
/// term before all entries have stored their records lists them soon.
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Length of the lease of an entry's record. An entry that is gone for good must leave the list, as a scheduler without
/// the store needs the answers of all listed entries.
const RECORD_LEASE: Duration = Duration::from_secs(30);

/// Delay of the first read in a new installation, in which all entries store their records. In an existing one, the
/// store already has them.
const FIRST_READ_DELAY: Duration = Duration::from_secs(1);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the record of this entry stored, and reads those of the others until the process stops.
pub async fn run(view: Arc<View>) {
    if !view.settings.is_first_start {
        // The store already has the other records, and this entry may have to schedule at once.
        read_others_until_answered(&view).await;
    }
    let mut lease = None;
    keep_own_record(&view, &mut lease).await;
    if view.settings.is_first_start {
        task::sleep(FIRST_READ_DELAY).await;
        read_others_until_answered(&view).await;
    }
    let mut interval = EARLY_READ_INTERVAL;
    while !view.is_stopping() {
        task::sleep(interval).await;
        interval = READ_INTERVAL.min(interval * 2);
        keep_own_record(&view, &mut lease).await;
        read_others_until_answered(&view).await;
    }
}

/// Renews the lease of the record of this entry, or stores the record again if its lease has ended. Retries until the
/// store answers or the process stops.
async fn keep_own_record(view: &View, lease: &mut Option<LeaseId>) {
    while !view.is_stopping() {
        match try_keep_own_record(view, lease).await {
            Ok(()) if lease.is_some() => return,
            Ok(()) => {}
            Err(e) => log::info!(error:% = e; "the record of this entry is not stored yet"),
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the records of the other entries. Retries until the store answers or the process stops.
async fn read_others_until_answered(view: &View) {
    while !view.is_stopping() {
        match read_others(view).await {
            Ok(others) => return view.set_other_entries(others),
            Err(e) => log::info!(error:% = e; "the records of other entries can't be read"),
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

/// Leaves `lease` empty if the record has to be stored again.
async fn try_keep_own_record(view: &View, lease: &mut Option<LeaseId>) -> Result<(), StoreError> {
    if let Some(known) = *lease
        && view.store.renew_lease(known, STORE_TIMEOUT).await?
    {
        return Ok(());
    }
    *lease = None;
    let key = records::entry_key(&view.settings.entry);
    let revision = view.store.get(&key, STORE_TIMEOUT).await?.map_or(StoreRevision::ABSENT, |i| i.revision);
    let data_centre = Some(view.settings.data_centre.clone());
    let member = Member { peers: view.settings.peers, strength: view.settings.strength, data_centre };
    let length = RECORD_LEASE.max(view.settings.min_store_lease.to_duration());
    let new = view.store.grant_lease(length, STORE_TIMEOUT).await?;
    let change = Change {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, records::encode(&member), Some(new))],
        deletes: Vec::new(),
    };
    // Only this entry writes the key, so a conflict comes from an earlier write of its own that got no answer.
    if let ChangeOutcome::Done(_) = view.store.change(&change, STORE_TIMEOUT).await? {
        *lease = Some(new);
    }
    Ok(())
}

async fn read_others(view: &View) -> Result<Vec<Member>, StoreError> {
    let (items, _) = view.store.list(ENTRY_PREFIX, STORE_TIMEOUT).await?;
    let mut others = Vec::with_capacity(items.len());
    for value in items.iter().filter_map(|i| i.value.as_ref()) {
        match records::decode::<Member>(value) {
            Ok(member) if member.peers != view.settings.peers => others.push(member),
            Ok(_) => {}
            Err(e) => log::error!(error:% = e; "the record of an entry can't be read"),
        }
    }
    others.shuffle(&mut rand::rng());
    Ok(others)
}
