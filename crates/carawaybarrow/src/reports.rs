//! HTTP routes of the month report, read from the store, and of the burn report, merged from the counts of all entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::burn::{ClassBurn, DEFAULT_ERROR_BUDGET_PER_MILLE};
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{EntryId, ShardId};
use carawaybarrow_core::ledger::{Month, SegmentId, SegmentIndex};
use carawaybarrow_core::report::{Fetched, MonthReport, ShardInput};
use futures::future;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Response, StatusCode};

use crate::admin;
use crate::caller_api::{self, HttpRequest};
use crate::entry::Entry;
use crate::store;

/// Number of attempts to read a document before it is reported as not read.
const READ_ATTEMPTS: u32 = 4;

/// Timeout of the read of the member list before a burn report.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(500);

/// Output format of the month report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Format {
    #[default]
    Text,
    Csv,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct MonthQuery {
    #[serde(default)]
    format: Format,
}

/// Adds the routes of the reports.
pub fn add_routes(app: &mut tide::Server<Arc<Entry>>) {
    app.at("/v1/reports/month/:month").get(report_month);
    app.at("/v1/reports/burn").get(report_burn);
}

async fn report_month(req: HttpRequest) -> tide::Result {
    let Some(_) = admin::find_operator(&req) else { return Ok(admin::refuse_non_operator()) };
    let month = match req.param("month").unwrap_or_default().parse::<Month>() {
        Ok(month) => month,
        Err(e) => return Ok(refuse("month", &e.to_string())),
    };
    let format = match req.query::<MonthQuery>() {
        Ok(query) => query.format,
        Err(e) => return Ok(refuse("format", &format!("use csv or text: {e}"))),
    };
    let report = req.state().read_month(month).await;
    let (mime, body) = match format {
        Format::Csv => ("text/csv; charset=utf-8", report.to_csv()),
        Format::Text => ("text/plain; charset=utf-8", report.to_text()),
    };
    Ok(Response::builder(StatusCode::Ok).content_type(mime).body(body).build())
}

/// Service-level burn, merged from the entries that answered.
#[derive(Debug, Serialize)]
struct BurnReport {
    /// Entries whose counts are in the report.
    entries: Vec<EntryId>,
    /// Members that did not answer; their counts are not in the report.
    missing: Vec<EntryId>,
    classes: Vec<ClassBurn>,
}

async fn report_burn(req: HttpRequest) -> tide::Result {
    let Some(_) = admin::find_operator(&req) else { return Ok(admin::refuse_non_operator()) };
    Ok(caller_api::respond(StatusCode::Ok, &req.state().merge_burn().await))
}

fn refuse(place: &str, message: &str) -> Response {
    caller_api::respond(StatusCode::BadRequest, &json!({ "errors": [{ "place": place, "message": message }] }))
}

impl Entry {
    /// Builds the report of a month from its segments. Documents that can't be read are stated in the report.
    pub async fn read_month(&self, month: Month) -> MonthReport {
        let shards = self.settings.job_shards;
        let mut inputs = BTreeMap::new();
        for shard in (0..shards).map(ShardId) {
            inputs.insert(shard, self.read_shard(month, shard).await);
        }
        MonthReport::new(month, shards, &inputs)
    }

    /// Merges the burn counts of all members that can be reached.
    async fn merge_burn(&self) -> BurnReport {
        let own = &self.settings.entry;
        // An entry that has just started may not know the members that joined after it. If the store doesn't answer,
        // the member list in memory is used.
        if async_std::future::timeout(MEMBERS_TIMEOUT, self.read_members()).await.is_err() {
            log::warn!("the store did not answer; the burn report uses the member list in memory");
        }
        let members = self.config_state.members();
        let others: Vec<_> = members.members.current.keys().filter(|id| *id != own).cloned().collect();
        let answers = future::join_all(others.iter().map(|id| self.get_burn_from_peer(id))).await;
        let wall = self.clock.wall();
        let mut burn = self.dispatch().burn.clone();
        burn.prune(wall);
        let (mut entries, mut missing) = (vec![own.clone()], Vec::new());
        for (id, answer) in others.into_iter().zip(answers) {
            match answer {
                Ok(counts) => {
                    burn.merge(counts, wall);
                    entries.push(id);
                }
                Err(_) => missing.push(id),
            }
        }
        entries.sort();
        BurnReport { entries, missing, classes: burn.report(DEFAULT_ERROR_BUDGET_PER_MILLE, wall) }
    }

    async fn read_shard(&self, month: Month, shard: ShardId) -> ShardInput {
        let index = self.fetch(&SegmentId::index_key(month, shard)).await;
        let listed = match &index {
            Fetched::Bytes(bytes) => SegmentIndex::decode(bytes).map_or(0, |index| index.segments()),
            Fetched::Absent | Fetched::NotRead => 0,
        };
        let mut segments = BTreeMap::new();
        for n in 0.. {
            let fetched = self.fetch(&SegmentId { month, shard, n }.key()).await;
            // The index may be lost or stale, so segments after the listed ones are read too, until one is absent or
            // can't be read.
            if n >= listed && !matches!(fetched, Fetched::Bytes(_)) {
                break;
            }
            segments.insert(n, fetched);
        }
        ShardInput { index, segments }
    }

    async fn fetch(&self, key: &str) -> Fetched {
        for attempt in 0..READ_ATTEMPTS {
            match self.store.get(key).await {
                Ok(Some(stored)) => return Fetched::Bytes(stored.bytes),
                Ok(None) => return Fetched::Absent,
                Err(_) => task::sleep(store::backoff(attempt)).await,
            }
        }
        Fetched::NotRead
    }
}
