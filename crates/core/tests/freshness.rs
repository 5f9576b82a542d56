//! The freshness rule: evidence from probes, peers and majorities, changes in force, and reclaims.

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{DataCentreId, EntryId, Incarnation, Revision};
use carawaybarrow_core::membership::{
    Freshness, FreshnessBasis, Heartbeat, InForceBasis, Members, MembersCommand, MembersRevision, ProbeResult, Process,
    ReclaimBlocker, StaleReason,
};
use carawaybarrow_core::units::{Millis, MonoTime, WallTime};

const CURRENT: ProbeResult = ProbeResult::Answered { config_current: true, members_current: true };
const OUTDATED: ProbeResult = ProbeResult::Answered { config_current: false, members_current: true };

fn entry(number: u64) -> EntryId {
    EntryId::new(format!("e{number}")).unwrap()
}

fn join(number: u64, incarnation: u64) -> MembersCommand {
    let process = Process {
        incarnation: Incarnation(incarnation),
        peer_address: "10.0.0.1:7001".parse().unwrap(),
        client_address: "10.0.0.1:8001".parse().unwrap(),
        data_centre: DataCentreId::new("dc1").unwrap(),
        joined_at: WallTime(0),
    };
    MembersCommand::Join { entry: entry(number), process }
}

fn remove(number: u64) -> MembersCommand {
    MembersCommand::Remove { entry: entry(number), incarnation: Incarnation(1) }
}

fn three_members() -> Members {
    let mut members = Members::default();
    for number in 1..=3 {
        members.apply(&join(number, 1));
    }
    members.apply(&MembersCommand::Settle { revision: MembersRevision(3) });
    members
}

/// Entry 1 of three, with configuration 5, after a successful probe at 1 s.
fn fresh_entry() -> Freshness {
    let mut freshness = Freshness::new(entry(1), Incarnation(1));
    freshness.apply_members(&three_members(), MonoTime(500));
    freshness.apply_config_revision(Revision(5), MonoTime(500));
    freshness.handle_probe(MonoTime(1_000), CURRENT, MonoTime(1_010));
    freshness
}

fn answer(from: u64, config: u64, probe_age: Option<u64>) -> Heartbeat {
    Heartbeat {
        entry: entry(from),
        incarnation: Incarnation(1),
        config_revision: Revision(config),
        members_revision: MembersRevision(3),
        probe_age: probe_age.map(Millis),
        counts_you: true,
    }
}

/// Guards against a probe that counts from its response instead of its request, for longer than 5 s, or although it
/// showed an older state, and against an entry that stays fresh after its removal from the members.
#[test]
fn own_probe_counts_from_its_request_for_five_seconds() {
    let freshness = fresh_entry();
    assert_eq!(freshness.check_freshness(MonoTime(6_000)), Ok(FreshnessBasis::Probe));
    assert_eq!(freshness.check_freshness(MonoTime(6_001)), Err(StaleReason::NotCurrent));

    let mut outdated = fresh_entry();
    outdated.handle_probe(MonoTime(5_000), OUTDATED, MonoTime(5_010));
    assert_eq!(outdated.check_freshness(MonoTime(6_001)), Err(StaleReason::NotCurrent));

    let mut removed = fresh_entry();
    let mut members = three_members();
    members.apply(&remove(1));
    removed.apply_members(&members, MonoTime(2_000));
    assert_eq!(removed.check_freshness(MonoTime(2_000)), Err(StaleReason::NotMember));
}

/// Guards against evidence from a peer that can't attest the state of this entry, because it isn't a member, holds a
/// newer configuration or can't reach the store, and against evidence that counts for longer than 5 s after the peer's
/// probe.
#[test]
fn peer_attests_freshness_only_with_a_recent_probe() {
    let now = 20_000;
    let table = [
        ("probe at the time of the request", answer(2, 5, Some(0)), now - 5_000, true),
        ("peer with an older configuration", answer(2, 4, Some(0)), now - 100, true),
        ("age of the probe and time since the request add up to 5 s", answer(2, 5, Some(4_000)), now - 1_000, true),
        ("age of the probe and time since the request exceed 5 s", answer(2, 5, Some(4_001)), now - 1_000, false),
        ("peer with a newer configuration", answer(2, 6, Some(0)), now - 100, false),
        (
            "peer that doesn't count this entry as a member",
            Heartbeat { counts_you: false, ..answer(2, 5, Some(0)) },
            now - 100,
            false,
        ),
        ("peer that can't reach the store", answer(2, 5, None), now - 100, false),
        ("peer that isn't a member", answer(4, 5, Some(0)), now - 100, false),
        (
            "another incarnation of the peer",
            Heartbeat { incarnation: Incarnation(9), ..answer(2, 5, Some(0)) },
            now - 100,
            false,
        ),
        ("response of the entry itself", answer(1, 5, Some(0)), now - 100, false),
    ];
    for (name, answer, sent, fresh) in table {
        let mut freshness = fresh_entry();
        freshness.handle_answer(answer, MonoTime(sent), MonoTime(now));
        assert_eq!(freshness.check_freshness(MonoTime(now)).is_ok(), fresh, "{name}");
    }
}

/// Guards against evidence that appears newer than it is: the probe of a peer may be older than this process, and the
/// clock of the process can't express a time before its start.
#[test]
fn peer_probe_from_before_the_own_start_keeps_its_age() {
    let mut freshness = Freshness::new(entry(1), Incarnation(1));
    freshness.apply_members(&three_members(), MonoTime(0));
    freshness.apply_config_revision(Revision(5), MonoTime(0));
    freshness.handle_answer(answer(2, 5, Some(4_900)), MonoTime(50), MonoTime(60));
    assert!(freshness.check_freshness(MonoTime(150)).is_ok());
    assert!(freshness.check_freshness(MonoTime(151)).is_err());
}

/// Guards against a majority that may contain no member that knows of a withdrawal: all its members must hold the same
/// member list, none a newer configuration, and neither this entry nor a peer may reach the store.
#[test]
fn majority_counts_only_during_an_outage_and_with_equal_member_lists() {
    let now = 20_000;
    let unreachable = Some(ProbeResult::NotReachable);
    let entry_2_only = || vec![answer(2, 5, None)];
    let older_list = Heartbeat { members_revision: MembersRevision(2), ..answer(2, 5, None) };
    let newer_list = Heartbeat { members_revision: MembersRevision(4), ..answer(3, 5, None) };
    let not_attesting = Heartbeat { counts_you: false, ..answer(2, 5, None) };
    let table = [
        ("majority", unreachable, entry_2_only(), Ok(FreshnessBasis::Majority)),
        ("own probe was answered", Some(OUTDATED), entry_2_only(), Err(StaleReason::NotCurrent)),
        ("no response", unreachable, vec![], Err(StaleReason::NoMajority)),
        ("peer with an older member list", unreachable, vec![older_list], Err(StaleReason::NoMajority)),
        ("peer with a newer member list", unreachable, vec![answer(2, 5, None), newer_list], Err(StaleReason::Behind)),
        ("peer that doesn't attest its state", unreachable, vec![not_attesting], Err(StaleReason::NoMajority)),
        (
            "peer with a newer configuration",
            unreachable,
            vec![answer(2, 5, None), answer(3, 6, None)],
            Err(StaleReason::Behind),
        ),
        ("peer that reaches the store", unreachable, vec![answer(2, 5, None), answer(3, 5, Some(9_000))], {
            Err(StaleReason::NotCurrent)
        }),
    ];
    for (name, probe, answers, expected) in table {
        let mut freshness = fresh_entry();
        if let Some(probe) = probe {
            freshness.handle_probe(MonoTime(now - 900), probe, MonoTime(now - 800));
        }
        for answer in answers {
            freshness.handle_answer(answer, MonoTime(now - 500), MonoTime(now));
        }
        assert_eq!(freshness.check_freshness(MonoTime(now)), expected, "{name}");
    }
}

/// Guards against an entry that works by a majority without end, and against an outage limit that is extended by the
/// probe of a peer with a configuration which this entry doesn't hold.
#[test]
fn outage_limit_ends_freshness_by_majority() {
    let limit = 60_000;
    let mut freshness = Freshness::new(entry(1), Incarnation(1)).with_outage_limit(Millis(limit));
    freshness.apply_members(&three_members(), MonoTime(0));
    freshness.apply_config_revision(Revision(5), MonoTime(0));
    freshness.handle_probe(MonoTime(1_000), CURRENT, MonoTime(1_000));
    freshness.handle_probe(MonoTime(2_000), ProbeResult::NotReachable, MonoTime(2_000));
    freshness.handle_answer(answer(3, 6, Some(0)), MonoTime(30_000), MonoTime(30_000));
    for (now, expected) in
        [(1_000 + limit, Ok(FreshnessBasis::Majority)), (1_001 + limit, Err(StaleReason::OutageLimit))]
    {
        freshness.handle_answer(answer(2, 5, None), MonoTime(now), MonoTime(now));
        assert_eq!(freshness.check_freshness(MonoTime(now)), expected);
    }
}

/// Guards against a new process that read an old configuration from a stale replica and counts towards a majority in
/// place of its predecessor, which had confirmed a withdrawal.
#[test]
fn new_process_attests_only_after_it_was_current() {
    let mut freshness = Freshness::new(entry(1), Incarnation(1));
    freshness.apply_members(&three_members(), MonoTime(0));
    freshness.apply_config_revision(Revision(5), MonoTime(0));
    freshness.handle_probe(MonoTime(0), ProbeResult::NotReachable, MonoTime(0));
    assert!(!freshness.heartbeat(&entry(2), Incarnation(1), MonoTime(1)).counts_you);
    freshness.handle_answer(answer(2, 5, None), MonoTime(1), MonoTime(2));
    assert_eq!(freshness.check_freshness(MonoTime(2)), Err(StaleReason::NeverCurrent));
    freshness.handle_answer(answer(3, 5, Some(0)), MonoTime(3), MonoTime(4));
    assert!(freshness.heartbeat(&entry(2), Incarnation(1), MonoTime(5)).counts_you);
    assert!(!freshness.heartbeat(&entry(2), Incarnation(2), MonoTime(5)).counts_you, "another incarnation of the peer");
}

/// Guards against a majority of a new member list whose entries received the list, but not the configuration that was
/// in force when it was made.
#[test]
fn attestation_under_a_new_member_list_needs_new_evidence() {
    let mut freshness = fresh_entry();
    assert!(freshness.heartbeat(&entry(2), Incarnation(1), MonoTime(1_100)).counts_you);
    let mut members = three_members();
    members.apply(&remove(3));
    freshness.apply_members(&members, MonoTime(1_200));
    let heartbeat = freshness.heartbeat(&entry(2), Incarnation(1), MonoTime(1_300));
    assert!(!heartbeat.counts_you);
    assert_eq!(heartbeat.probe_age, None);
    freshness.handle_probe(MonoTime(1_400), CURRENT, MonoTime(1_410));
    let heartbeat = freshness.heartbeat(&entry(2), Incarnation(1), MonoTime(1_500));
    assert!(heartbeat.counts_you);
    assert_eq!(heartbeat.probe_age, Some(Millis(100)));
}

/// Guards against a change that is reported as in force while an entry may still use the configuration before it: the
/// confirmations count only after a later probe, and those of a majority only after the freshness bound.
#[test]
fn change_is_in_force_only_after_everyone_or_a_majority_confirmed_it() {
    let mut freshness = fresh_entry();
    freshness.apply_config_revision(Revision(6), MonoTime(2_000));
    freshness.handle_heartbeat(&answer(2, 6, Some(0)), MonoTime(2_500));
    let in_force = |f: &Freshness, now| f.confirmations().check_in_force(Revision(6), MonoTime(now));
    assert_eq!(in_force(&freshness, 60_000).basis, None, "no probe since the change");
    freshness.handle_probe(MonoTime(3_000), CURRENT, MonoTime(3_010));
    let waiting = in_force(&freshness, 7_549);
    assert_eq!((waiting.basis, waiting.outstanding), (None, vec![entry(3)]));
    let majority = in_force(&freshness, 7_550);
    assert_eq!((majority.basis, majority.outstanding), (Some(InForceBasis::Majority), vec![entry(3)]));

    freshness.handle_heartbeat(&answer(3, 6, None), MonoTime(3_100));
    let everyone = in_force(&freshness, 3_100);
    assert_eq!((everyone.basis, everyone.outstanding), (Some(InForceBasis::Everyone), vec![]));
}

/// Guards against a change that only a majority of a shortened list has confirmed: the removed members may be a
/// majority of the earlier list that can't be reached and that stays fresh by that list.
#[test]
fn removed_members_still_count_until_the_removal_is_confirmed() {
    let mut members = Members::default();
    for number in 1..=5 {
        members.apply(&join(number, 1));
    }
    members.apply(&MembersCommand::Settle { revision: MembersRevision(5) });
    let mut freshness = Freshness::new(entry(1), Incarnation(1));
    freshness.apply_members(&members, MonoTime(0));
    for number in 3..=5 {
        members.apply(&remove(number));
    }
    freshness.apply_members(&members, MonoTime(1_000));
    freshness.apply_config_revision(Revision(6), MonoTime(1_000));
    freshness.handle_probe(MonoTime(2_000), CURRENT, MonoTime(2_010));
    let peer = Heartbeat { members_revision: MembersRevision(8), ..answer(2, 6, Some(0)) };
    freshness.handle_heartbeat(&peer, MonoTime(2_500));
    let in_force = freshness.confirmations().check_in_force(Revision(6), MonoTime(60_000));
    assert_eq!((in_force.basis, in_force.outstanding.len()), (None, 3));
    let reclaim = |f: &Freshness, now| f.confirmations().may_reclaim(&entry(3), Incarnation(1), MonoTime(now));
    assert_eq!(reclaim(&freshness, 60_000), Err(ReclaimBlocker::Unconfirmed));

    let confirmed = Heartbeat { members_revision: MembersRevision(8), ..answer(3, 6, Some(0)) };
    freshness.handle_heartbeat(&confirmed, MonoTime(70_000));
    let in_force = |now| freshness.confirmations().check_in_force(Revision(6), MonoTime(now)).basis;
    assert_eq!(in_force(75_049), None);
    assert_eq!(in_force(75_050), Some(InForceBasis::Majority));
    assert_eq!(freshness.confirmations().find_oldest_list_in_use(MonoTime(75_050)), Some(MembersRevision(8)));
    assert_eq!(reclaim(&freshness, 79_999), Err(ReclaimBlocker::Unconfirmed));
    assert_eq!(reclaim(&freshness, 80_000), Ok(()));
}

/// Guards against a reclaim of the permits of a process that may still run, and against a reclaim that never becomes
/// possible.
#[test]
fn permits_are_reclaimed_only_once_the_process_can_not_start_tasks() {
    let mut members = three_members();
    members.apply(&remove(3));
    members.apply(&join(2, 2));
    let mut freshness = Freshness::new(entry(1), Incarnation(1)).with_outage_limit(Millis(100_000));
    freshness.apply_members(&members, MonoTime(1_000));
    let reclaim =
        |f: &Freshness, number, now| f.confirmations().may_reclaim(&entry(number), Incarnation(1), MonoTime(now));
    assert_eq!(reclaim(&freshness, 1, 99_000), Err(ReclaimBlocker::NotDeparted));
    assert_eq!(reclaim(&freshness, 2, 10_999), Err(ReclaimBlocker::Unconfirmed));
    assert_eq!(reclaim(&freshness, 2, 11_000), Ok(()), "it was replaced, so it no longer runs");

    let mut members = three_members();
    members.apply(&remove(2));
    members.apply(&remove(3));
    let mut with_refused_connection = Freshness::new(entry(1), Incarnation(1)).with_outage_limit(Millis(100_000));
    with_refused_connection.apply_members(&members, MonoTime(1_000));
    with_refused_connection.confirmations_mut().record_connection_refused(&entry(3), Incarnation(1), MonoTime(20_000));
    assert_eq!(reclaim(&with_refused_connection, 3, 29_999), Err(ReclaimBlocker::Unconfirmed));
    assert_eq!(reclaim(&with_refused_connection, 3, 30_000), Ok(()), "its address refuses connections");
    assert_eq!(reclaim(&with_refused_connection, 2, 30_000), Ok(()), "its earlier member list has no majority left");

    let mut without_evidence = Freshness::new(entry(1), Incarnation(1)).with_outage_limit(Millis(100_000));
    without_evidence.apply_members(&members, MonoTime(1_000));
    // The outage limit of 100 s with 1% for differing clock rates, and the reclaim delay of 10 s.
    assert_eq!(reclaim(&without_evidence, 2, 111_999), Err(ReclaimBlocker::Unconfirmed));
    assert_eq!(reclaim(&without_evidence, 2, 112_000), Ok(()), "after the outage limit");
}

/// Guards against the removal of all peers by an entry that was itself paused: it received no heartbeats in that time,
/// whoever sent them.
#[test]
fn paused_or_stale_entry_reports_no_silent_members() {
    let mut freshness = fresh_entry();
    for second in 1..=40 {
        let now = MonoTime(second * 1_000);
        freshness.handle_probe(now, CURRENT, now);
        freshness.handle_heartbeat(&answer(2, 5, Some(0)), now);
    }
    assert_eq!(freshness.find_silent(MonoTime(40_000)), [(entry(3), Incarnation(1))]);

    let resumed = MonoTime(400_000);
    freshness.handle_probe(resumed, CURRENT, resumed);
    freshness.handle_heartbeat(&answer(2, 5, Some(0)), resumed);
    assert_eq!(freshness.find_silent(resumed), []);
    assert_eq!(freshness.find_silent(MonoTime(500_000)), [], "this entry isn't fresh by its own probe");
}

/// Guards against a change of the JSON format, which entries of two versions share.
#[test]
fn heartbeat_json_format_is_stable() {
    let text =
        r#"{"entry":"e2","incarnation":1,"config_revision":5,"members_revision":3,"probe_age":null,"counts_you":true}"#;
    let heartbeat = answer(2, 5, None);
    assert_eq!(serde_json::to_string(&heartbeat).unwrap(), text);
    assert_eq!(serde_json::from_str::<Heartbeat>(text).unwrap(), heartbeat);
}
