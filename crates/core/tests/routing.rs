//! Choice of endpoints: drains, idle leases, bounds, circuit breaker, preferred data centre and spread of load.

use std::collections::BTreeMap;

use carawaybarrow_core::breaker;
use carawaybarrow_core::ids::{DataCentreId, Incarnation, LeaseId, PoolId, VmId};
use carawaybarrow_core::routing::{self, EndpointState, Endpoints, ListedEndpoint, WorkerStatus};
use carawaybarrow_core::units::{Millis, MonoTime};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn vm(i: usize) -> VmId {
    VmId::new(format!("vm-{i}")).unwrap()
}

fn pool() -> PoolId {
    PoolId::new("render").unwrap()
}

fn lease(name: &str) -> LeaseId {
    LeaseId::new(name).unwrap()
}

fn status(requested_at: u64, incarnation: u64, free: u32, draining: bool) -> WorkerStatus {
    WorkerStatus {
        requested_at: MonoTime(requested_at),
        incarnation: Incarnation(incarnation),
        slots: 64,
        free,
        draining,
    }
}

fn listed(i: usize, pool: PoolId, data_centre: &str) -> ListedEndpoint {
    ListedEndpoint {
        vm: vm(i),
        pool,
        address: "127.0.0.1:1".into(),
        data_centre: DataCentreId::new(data_centre).unwrap(),
    }
}

/// Creates endpoints of one pool, each with its number of free slots and its data centre.
fn endpoints(parts: &[(u32, &str)]) -> Endpoints {
    let mut endpoints = Endpoints::new(DataCentreId::new("dc1").unwrap());
    for (i, (free, data_centre)) in parts.iter().enumerate() {
        endpoints.add_or_update(listed(i, pool(), data_centre));
        endpoints.apply_status(&vm(i), &status(0, 1, *free, false));
    }
    endpoints
}

fn choose(endpoints: &mut Endpoints, now: u64, rng: &mut StdRng) -> Option<VmId> {
    endpoints.choose(&pool(), &[], MonoTime(now), rng).map(|choice| choice.vm)
}

/// Guards against jobs for an endpoint in graceful shutdown, whichever source reports it first.
#[test]
fn any_source_can_take_an_endpoint_out_of_service() {
    let mut rng = StdRng::seed_from_u64(10);
    let reports: [fn(&mut Endpoints) -> Vec<LeaseId>; 4] = [
        |e| e.mark_unavailable(&vm(0), EndpointState::Draining, MonoTime(5)),
        |e| e.mark_unavailable(&vm(0), EndpointState::Leaving, MonoTime(5)),
        |e| e.mark_unavailable(&vm(0), EndpointState::Failed, MonoTime(5)),
        |e| e.apply_status(&vm(0), &status(5, 1, 8, true)),
    ];
    for report_unavailable in reports {
        let mut endpoints = endpoints(&[(8, "dc1")]);
        endpoints.put_idle_lease(&vm(0), lease("l1"), MonoTime(9000), MonoTime(0));
        assert_eq!(report_unavailable(&mut endpoints), [lease("l1")], "idle leases are returned for release");
        assert_eq!(choose(&mut endpoints, 10, &mut rng), None);
        endpoints.add_or_update(listed(0, pool(), "dc1"));
        endpoints.apply_status(&vm(0), &status(20, 1, 8, false));
        assert_eq!(choose(&mut endpoints, 20, &mut rng), None, "the same incarnation doesn't end a drain");
        assert_eq!(endpoints.put_idle_lease(&vm(0), lease("l2"), MonoTime(9000), MonoTime(0)), Some(lease("l2")));
        endpoints.apply_status(&vm(0), &status(30, 2, 8, false));
        assert_eq!(choose(&mut endpoints, 30, &mut rng), Some(vm(0)));
    }
}

/// Guards against a delayed status that marks a returned endpoint as draining again, or that ends a later drain.
#[test]
fn outdated_status_neither_starts_nor_ends_a_drain() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut endpoints = endpoints(&[(8, "dc1")]);
    endpoints.mark_unavailable(&vm(0), EndpointState::Draining, MonoTime(5));
    endpoints.return_to_service(&vm(0), Incarnation(0), MonoTime(100));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Draining), "an earlier incarnation can't return");
    endpoints.return_to_service(&vm(0), Incarnation(1), MonoTime(100));
    endpoints.apply_status(&vm(0), &status(99, 1, 8, true));
    assert_eq!(choose(&mut endpoints, 100, &mut rng), Some(vm(0)));
    endpoints.apply_status(&vm(0), &status(200, 3, 8, true));
    endpoints.apply_status(&vm(0), &status(201, 2, 8, false));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Draining));
}

/// Guards against a drain that the first status of an endpoint ends, because it shows an incarnation not seen before.
#[test]
fn first_status_does_not_end_a_drain() {
    let mut endpoints = Endpoints::new(DataCentreId::new("dc1").unwrap());
    endpoints.add_or_update(listed(0, pool(), "dc1"));
    endpoints.mark_unavailable(&vm(0), EndpointState::Leaving, MonoTime(5));
    endpoints.apply_status(&vm(0), &status(0, 1, 8, false));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Leaving));
}

/// Guards against a drain that is lost because the endpoint wasn't listed when it was reported, or was missing from a
/// list for a short time, and against memory used for endpoints that are gone for good.
#[test]
fn unlisted_endpoints_keep_their_state_for_the_retention() {
    let mut endpoints = Endpoints::new(DataCentreId::new("dc1").unwrap());
    endpoints.mark_unavailable(&vm(0), EndpointState::Leaving, MonoTime(0));
    endpoints.add_or_update(listed(0, pool(), "dc1"));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Leaving));
    endpoints.remove(&vm(0), MonoTime(0));
    endpoints.add_or_update(listed(0, pool(), "dc1"));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Leaving));
    endpoints.remove(&vm(0), MonoTime(0));
    endpoints.expire(MonoTime(0) + routing::UNLISTED_RETENTION + Millis(1));
    endpoints.add_or_update(listed(0, pool(), "dc1"));
    assert_eq!(endpoints.state(&vm(0)), Some(EndpointState::Serving));
}

/// Guards against further jobs for a worker that has just refused one for lack of slots.
#[test]
fn full_worker_gets_no_job_until_a_slot_is_free() {
    let mut rng = StdRng::seed_from_u64(17);
    let mut endpoints = endpoints(&[(8, "dc1")]);
    endpoints.mark_full(&vm(0));
    assert_eq!(choose(&mut endpoints, 0, &mut rng), None);
    endpoints.add_free_slot(&vm(0));
    assert_eq!(choose(&mut endpoints, 0, &mut rng), Some(vm(0)));
    assert_eq!(choose(&mut endpoints, 0, &mut rng), None);
    endpoints.apply_status(&vm(0), &status(10, 1, 1, false));
    assert_eq!(choose(&mut endpoints, 10, &mut rng), Some(vm(0)));
}

/// Guards against a lease request where an idle lease would do, and against the use of a lease that is about to expire
/// or was lost in a restart of the worker.
#[test]
fn idle_leases_are_reused_until_they_are_about_to_expire() {
    let mut rng = StdRng::seed_from_u64(12);
    let mut endpoints = endpoints(&[(8, "dc1"), (64, "dc1"), (64, "dc1")]);
    let margin = routing::LEASE_MARGIN.0;
    endpoints.put_idle_lease(&vm(0), lease("short"), MonoTime(1000 + margin), MonoTime(0));
    endpoints.put_idle_lease(&vm(0), lease("long"), MonoTime(3000), MonoTime(0));
    let choice = endpoints.choose(&pool(), &[], MonoTime(1000), &mut rng).unwrap();
    assert_eq!((choice.vm, choice.lease), (vm(0), Some(lease("long"))));
    assert_eq!(endpoints.choose(&pool(), &[], MonoTime(1000), &mut rng).unwrap().lease, None);
    endpoints.put_idle_lease(&vm(0), lease("next"), MonoTime(3000), MonoTime(0));
    endpoints.expire(MonoTime(3000));
    assert_eq!(endpoints.choose(&pool(), &[], MonoTime(2000), &mut rng).unwrap().lease, None);
    endpoints.put_idle_lease(&vm(0), lease("old"), MonoTime(9000), MonoTime(0));
    assert_eq!(endpoints.apply_status(&vm(0), &status(50, 2, 8, false)), [lease("old")]);
}

/// Guards against more connections to an endpoint than allowed, and against the choice of quarantined endpoints or
/// those without a free slot.
#[test]
fn full_and_quarantined_endpoints_are_not_chosen() {
    let mut rng = StdRng::seed_from_u64(13);
    let mut endpoints = endpoints(&[(64, "dc1"), (0, "dc1")]);
    endpoints.set_quarantined(&vm(0), true);
    assert_eq!(choose(&mut endpoints, 0, &mut rng), None);
    endpoints.set_quarantined(&vm(0), false);
    assert_eq!(endpoints.count_slots(&pool(), MonoTime(0)), (128, 64));
    for i in 0..routing::MAX_CONNECTIONS {
        // Idle leases show that the bound doesn't come from the number of free slots.
        endpoints.put_idle_lease(&vm(0), lease(&format!("l{i}")), MonoTime(9000), MonoTime(0));
        assert_eq!(choose(&mut endpoints, 0, &mut rng), Some(vm(0)));
    }
    endpoints.put_idle_lease(&vm(0), lease("more"), MonoTime(9000), MonoTime(0));
    assert_eq!(choose(&mut endpoints, 0, &mut rng), None);
    endpoints.end_connection(&vm(0));
    assert_eq!(choose(&mut endpoints, 0, &mut rng), Some(vm(0)));
}

/// Guards against jobs of the former pool for an endpoint that was moved to another pool.
#[test]
fn moved_endpoint_serves_only_its_new_pool() {
    let mut rng = StdRng::seed_from_u64(14);
    let mut endpoints = endpoints(&[(8, "dc1")]);
    let other = PoolId::new("transcode").unwrap();
    endpoints.put_idle_lease(&vm(0), lease("l1"), MonoTime(9000), MonoTime(0));
    assert_eq!(endpoints.add_or_update(listed(0, other.clone(), "dc1")), [lease("l1")]);
    assert_eq!(choose(&mut endpoints, 0, &mut rng), None);
    assert!(endpoints.choose(&other, &[], MonoTime(0), &mut rng).is_some());
    endpoints.remove(&vm(0), MonoTime(0));
    assert!(endpoints.choose(&other, &[], MonoTime(0), &mut rng).is_none());
}

/// Guards against a stream of connections to an endpoint that can't be reached, and against an endpoint that is never
/// tried again.
#[test]
fn breaker_allows_one_probe_after_its_backoff() {
    let mut rng = StdRng::seed_from_u64(15);
    let mut endpoints = endpoints(&[(64, "dc1")]);
    for _ in 0..breaker::FAILURE_THRESHOLD {
        assert_eq!(choose(&mut endpoints, 0, &mut rng), Some(vm(0)));
        endpoints.end_failed_connection(&vm(0), MonoTime(0), &mut rng);
    }
    assert_eq!(choose(&mut endpoints, breaker::INITIAL_BACKOFF.0 / 2 - 1, &mut rng), None);
    let probe_at = breaker::INITIAL_BACKOFF.0;
    assert_eq!(choose(&mut endpoints, probe_at, &mut rng), Some(vm(0)));
    assert_eq!(choose(&mut endpoints, probe_at, &mut rng), None, "one probe at a time");
    endpoints.end_failed_connection(&vm(0), MonoTime(probe_at), &mut rng);
    assert_eq!(
        choose(&mut endpoints, probe_at + breaker::INITIAL_BACKOFF.0 - 1, &mut rng),
        None,
        "the backoff doubles"
    );
    let again = probe_at + 2 * breaker::INITIAL_BACKOFF.0;
    assert_eq!(choose(&mut endpoints, again, &mut rng), Some(vm(0)));
    endpoints.end_connection(&vm(0));
    assert_eq!(choose(&mut endpoints, again, &mut rng), Some(vm(0)));
    assert_eq!(choose(&mut endpoints, again, &mut rng), Some(vm(0)));
}

/// Guards against a preference for the own data centre that overloads its endpoints, and against no preference at all.
#[test]
fn own_data_centre_is_preferred_only_if_slots_are_similar() {
    let table = [(8, 8, 0), (8, 9, 0), (40, 48, 0), (8, 11, 1), (40, 64, 1), (9, 8, 0)];
    for (local_free, remote_free, expected) in table {
        for seed in 0..50 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut endpoints = endpoints(&[(local_free, "dc1"), (remote_free, "dc2")]);
            assert_eq!(
                choose(&mut endpoints, 0, &mut rng),
                Some(vm(expected)),
                "{local_free} free slots in the own data centre, {remote_free} in the other one"
            );
        }
    }
}

/// Guards against entries that all send their jobs to the endpoint that looks best in the same outdated view.
#[test]
fn entries_with_the_same_outdated_view_spread_their_jobs() {
    let parts: Vec<_> = (0..50).map(|i| (if i == 0 { 64 } else { 20 + i % 3 }, "dc1")).collect();
    let mut load = BTreeMap::<VmId, u32>::new();
    for entry in 0..9 {
        let mut rng = StdRng::seed_from_u64(entry);
        let mut endpoints = endpoints(&parts);
        for _ in 0..50 {
            *load.entry(choose(&mut endpoints, 0, &mut rng).unwrap()).or_default() += 1;
        }
    }
    // The mean is 9; without spread the endpoint with 64 slots would get most of the 450 jobs.
    assert!(load.len() >= 45, "{load:?}");
    assert!(load.values().all(|jobs| *jobs <= 30), "{load:?}");
}

/// A report about an endpoint.
#[derive(Clone, Debug)]
enum Report {
    Status { vm: usize, incarnation: u64, draining: bool },
    Mark { vm: usize, state: EndpointState },
    Return { vm: usize },
    Lease { vm: usize },
    List { vm: usize },
    Remove { vm: usize },
    Choose,
}

const VMS: usize = 5;

fn arb_report() -> impl Strategy<Value = Report> {
    let state = prop::sample::select(vec![EndpointState::Draining, EndpointState::Leaving, EndpointState::Failed]);
    prop_oneof![
        3 => (0..VMS, 1_u64..6, any::<bool>())
            .prop_map(|(vm, incarnation, draining)| Report::Status { vm, incarnation, draining }),
        2 => (0..VMS, state).prop_map(|(vm, state)| Report::Mark { vm, state }),
        1 => (0..VMS).prop_map(|vm| Report::Return { vm }),
        1 => (0..VMS).prop_map(|vm| Report::Lease { vm }),
        2 => (0..VMS).prop_map(|vm| Report::List { vm }),
        1 => (0..VMS).prop_map(|vm| Report::Remove { vm }),
        4 => Just(Report::Choose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against any order of reports that lets a draining endpoint get new jobs before it has returned to
    /// service.
    #[test]
    fn draining_endpoints_are_never_chosen(
        reports in prop::collection::vec(arb_report(), 1..120),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut endpoints = endpoints(&[(64, "dc1"); VMS]);
        // Last incarnation seen, and whether the endpoint is out of service.
        let mut known = [(1_u64, false); VMS];
        let mut is_listed = [true; VMS];
        for (i, report) in reports.into_iter().enumerate() {
            let now = 1 + i as u64;
            match report {
                Report::Status { vm: i, incarnation, draining } => {
                    endpoints.apply_status(&vm(i), &status(now, incarnation, 64, draining));
                    if !is_listed[i] {
                        // No status is requested from a worker that isn't listed.
                    } else if incarnation > known[i].0 {
                        known[i] = (incarnation, draining);
                    } else if incarnation == known[i].0 {
                        known[i].1 |= draining;
                    }
                }
                Report::Mark { vm: i, state } => {
                    endpoints.mark_unavailable(&vm(i), state, MonoTime(now));
                    known[i].1 = true;
                }
                Report::Return { vm: i } => {
                    endpoints.return_to_service(&vm(i), Incarnation(known[i].0), MonoTime(now));
                    known[i].1 = false;
                }
                Report::Lease { vm: i } => {
                    endpoints.put_idle_lease(&vm(i), lease("l1"), MonoTime(now) + Millis(5000), MonoTime(0));
                }
                Report::List { vm: i } => {
                    endpoints.add_or_update(listed(i, pool(), "dc1"));
                    // The worker's slots are known from its next status on.
                    if !is_listed[i] {
                        endpoints.apply_status(&vm(i), &status(now, known[i].0, 64, known[i].1));
                    }
                    is_listed[i] = true;
                }
                Report::Remove { vm: i } => {
                    endpoints.remove(&vm(i), MonoTime(now));
                    is_listed[i] = false;
                }
                Report::Choose => {
                    let choice = endpoints.choose(&pool(), &[], MonoTime(now), &mut rng);
                    let can_serve = (0..VMS).any(|i| is_listed[i] && !known[i].1);
                    prop_assert_eq!(choice.is_some(), can_serve);
                    if let Some(choice) = choice {
                        let chosen = (0..VMS).find(|i| vm(*i) == choice.vm).unwrap();
                        prop_assert!(
                            is_listed[chosen] && !known[chosen].1,
                            "{} was chosen while out of service", choice.vm
                        );
                        endpoints.end_connection(&choice.vm);
                    }
                }
            }
        }
    }
}

/// Guards against slots that stay leased to an entry without jobs while other entries need them.
#[test]
fn unused_leases_are_returned_for_release() {
    let mut endpoints = endpoints(&[(8, "dc1")]);
    endpoints.put_idle_lease(&vm(0), lease("old"), MonoTime(9000), MonoTime(100));
    endpoints.put_idle_lease(&vm(0), lease("new"), MonoTime(9000), MonoTime(300));
    assert_eq!(endpoints.take_unused_leases(MonoTime(200)), [(vm(0), lease("old"))]);
    assert_eq!(endpoints.take_unused_leases(MonoTime(200)), []);
}
