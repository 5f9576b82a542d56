//! Propagation of a configuration change between entries, computed for three kinds of overlay networks.
//!
//! An entry calls each of its peers once in a heartbeat interval, at a random phase for each link. A call tells both
//! ends the revision of the other, and the one that is behind requests the change, so a change passes a link in either
//! direction.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use carawaybarrow_core::freshness::HEARTBEAT_INTERVAL;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Regions at the target size.
const REGIONS: usize = 5;

/// Data centres at the target size.
const DATA_CENTRES: usize = 18;

/// Assumed one-way delays in µs within a data centre, within a region, and between regions.
const ONE_WAY_DELAYS_MICROS: [u64; 3] = [250, 1_000, 40_000];

/// One-way delays from a call to the arrival of the change: of the heartbeat, the request and the reply.
const DELAYS_PER_EXCHANGE: u64 = 3;

/// Random graphs that are generated for each row.
const GRAPHS: u64 = 20;

/// How an entry chooses the peers that it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlay {
    /// All other entries.
    Mesh,
    /// This many random entries.
    Random(usize),
    /// Half of this many random entries of its own region, and half of other regions.
    Mixed(usize),
}

/// Connection to a peer.
#[derive(Clone, Copy, Debug)]
struct Link {
    to: usize,
    /// One-way delay in µs.
    delay: u64,
    /// Time of the call within the heartbeat interval, in µs.
    phase: u64,
    crosses_regions: bool,
}

/// Links of each entry, and the number of calls in a heartbeat interval.
struct Graph {
    links: Vec<Vec<Link>>,
    calls: usize,
    calls_between_data_centres: usize,
}

fn data_centre_of(entry: usize, entries: usize) -> usize {
    // A small installation has three data centres, all in one region.
    entry % if entries < DATA_CENTRES { 3 } else { DATA_CENTRES }
}

fn region_of(entry: usize, entries: usize) -> usize {
    if entries < DATA_CENTRES { 0 } else { data_centre_of(entry, entries) % REGIONS }
}

fn choose_peers(overlay: Overlay, entry: usize, entries: usize, rng: &mut StdRng) -> BTreeSet<usize> {
    let others = || (0..entries).filter(|other| *other != entry);
    let is_near = |other: &usize| region_of(*other, entries) == region_of(entry, entries);
    match overlay {
        Overlay::Mesh => others().collect(),
        Overlay::Random(count) => others().choose_multiple(rng, count).into_iter().collect(),
        Overlay::Mixed(count) => {
            let near = others().filter(is_near).choose_multiple(rng, count / 2);
            // If the region has too few entries, the missing peers are chosen from other regions.
            let far = others().filter(|o| !is_near(o)).choose_multiple(rng, count - near.len());
            near.into_iter().chain(far).collect()
        }
    }
}

impl Graph {
    fn build(overlay: Overlay, entries: usize, rng: &mut StdRng) -> Self {
        let mut graph = Self { links: vec![Vec::new(); entries], calls: 0, calls_between_data_centres: 0 };
        for from in 0..entries {
            for to in choose_peers(overlay, from, entries, rng) {
                let same_data_centre = data_centre_of(from, entries) == data_centre_of(to, entries);
                let crosses_regions = region_of(from, entries) != region_of(to, entries);
                let delay = ONE_WAY_DELAYS_MICROS[usize::from(!same_data_centre) + usize::from(crosses_regions)];
                let phase = rng.random_range(0..HEARTBEAT_INTERVAL.0 * 1_000);
                graph.links[from].push(Link { to, delay, phase, crosses_regions });
                graph.links[to].push(Link { to: from, delay, phase, crosses_regions });
                graph.calls += 1;
                graph.calls_between_data_centres += usize::from(!same_data_centre);
            }
        }
        graph
    }

    /// Times in µs at which the entries receive a change that the first one accepts at time 0; `None` for entries that
    /// it doesn't reach. With `regions_are_cut`, links between regions carry nothing.
    fn propagate(&self, regions_are_cut: bool) -> Vec<Option<u64>> {
        let interval = HEARTBEAT_INTERVAL.0 * 1_000;
        let mut times = vec![None; self.links.len()];
        let mut pending = BinaryHeap::from([Reverse((0, 0))]);
        while let Some(Reverse((at, entry))) = pending.pop() {
            if times[entry].is_some() {
                continue;
            }
            times[entry] = Some(at);
            for link in
                self.links[entry].iter().filter(|l| times[l.to].is_none() && !(regions_are_cut && l.crosses_regions))
            {
                let wait = (link.phase + interval - at % interval) % interval;
                pending.push(Reverse((at + wait + DELAYS_PER_EXCHANGE * link.delay, link.to)));
            }
        }
        times
    }
}

/// Computes a table with a row for each overlay and number of entries.
#[must_use]
pub fn compare_spread(seed: u64) -> String {
    let mut text = String::from(
        "\n| entries | overlay | last entry, ms (median; worst) | calls/s per entry | calls/s in all | between data \
         centres, % | regions cut: reached in the region, % (mean; worst) | and last entry there, ms (worst) |\n\
         |---:|---|---:|---:|---:|---:|---:|---:|\n",
    );
    for entries in [9, 36, 180, 1_000] {
        for overlay in [Overlay::Mesh, Overlay::Random(4), Overlay::Random(8), Overlay::Mixed(4), Overlay::Mixed(8)] {
            text += &format_row(overlay, entries, seed);
        }
    }
    text
}

fn format_row(overlay: Overlay, entries: usize, seed: u64) -> String {
    let (mut last, mut reached, mut last_in_region) = (Vec::new(), Vec::new(), 0);
    let (mut calls, mut between) = (0, 0);
    for graph in 0..GRAPHS {
        let mut rng = StdRng::seed_from_u64(seed + graph);
        let graph = Graph::build(overlay, entries, &mut rng);
        (calls, between) = (calls + graph.calls, between + graph.calls_between_data_centres);
        // In a graph that isn't connected, the change never reaches some entry.
        last.push(graph.propagate(false).into_iter().map(|t| t.unwrap_or(u64::MAX)).max().unwrap_or(0) / 1_000);
        let cut: Vec<_> = graph.propagate(true).into_iter().flatten().collect();
        let in_region = (0..entries).filter(|e| region_of(*e, entries) == region_of(0, entries)).count();
        reached.push(cut.len() as f64 * 100.0 / in_region as f64);
        last_in_region = last_in_region.max(cut.into_iter().max().unwrap_or(0) / 1_000);
    }
    last.sort_unstable();
    let per_second = calls as f64 / GRAPHS as f64 * 1_000.0 / HEARTBEAT_INTERVAL.0 as f64;
    let (mean, worst) = (reached.iter().sum::<f64>() / GRAPHS as f64, reached.iter().copied().fold(100.0, f64::min));
    let name = match overlay {
        Overlay::Mesh => "mesh".to_owned(),
        Overlay::Random(count) => format!("{count} random"),
        Overlay::Mixed(count) => format!("{} near, {} far", count / 2, count / 2),
    };
    format!(
        "| {entries} | {name} | {}; {} | {:.0} | {per_second:.0} | {:.0} | {mean:.0}; {worst:.0} | {last_in_region} |\n",
        last[last.len() / 2],
        last[last.len() - 1],
        per_second / entries as f64,
        between as f64 * 100.0 / calls as f64,
    )
}
