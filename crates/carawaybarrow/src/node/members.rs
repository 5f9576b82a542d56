//! Tells other entries where this one is, and learns where they are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_platform::store::{Change, Changed, StoreError, StoreRevision};
use rand::seq::SliceRandom;

use crate::node::records::{self, ENTRY_PREFIX};
use crate::node::view::View;

/// Time for an answer of the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);

/// Time between readings of the addresses. An address that is missing or old costs one attempt of a write.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Time until the first reading, in which all entries of a new installation have told their addresses.
const FIRST_READ: Duration = Duration::from_secs(2);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the addresses until the process ends.
pub async fn run(view: Arc<View>) {
    while let Err(e) = announce(&view).await {
        log::info!(error:% = e; "the address of this entry is not stored yet");
        task::sleep(RETRY_PAUSE).await;
    }
    task::sleep(FIRST_READ).await;
    while !view.is_stopping() {
        match read_others(&view).await {
            Ok(others) => {
                view.set_other_entries(others);
                task::sleep(READ_INTERVAL).await;
            }
            Err(e) => {
                log::info!(error:% = e; "the addresses of other entries can't be read");
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn announce(view: &View) -> Result<(), StoreError> {
    let key = records::entry_key(&view.settings.entry);
    let revision = view.store.get(&key, STORE_LIMIT).await?.map_or(StoreRevision::ABSENT, |i| i.revision);
    let change = Change {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, records::write(&view.settings.peers), None)],
        deletes: Vec::new(),
    };
    match view.store.change(&change, STORE_LIMIT).await? {
        // Only this entry writes the key, so a conflict comes from its own write without an answer.
        Changed::Done(_) | Changed::Conflict(_) | Changed::NoLease => Ok(()),
    }
}

async fn read_others(view: &View) -> Result<Vec<SocketAddr>, StoreError> {
    let (items, _) = view.store.list(ENTRY_PREFIX, STORE_LIMIT).await?;
    let mut others = Vec::with_capacity(items.len());
    for value in items.iter().filter_map(|i| i.value.as_ref()) {
        match records::read::<SocketAddr>(value) {
            Ok(address) if address != view.settings.peers => others.push(address),
            Ok(_) => {}
            Err(e) => log::error!(error:% = e; "the address of an entry can't be read"),
        }
    }
    others.shuffle(&mut rand::rng());
    Ok(others)
}
