//! The members document: commands, earlier member lists and majorities.

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{DataCentreId, EntryId, Incarnation};
use carawaybarrow_core::membership::{
    Departure, Members, MembersCommand, MembersOutcome, MembersRevision, Process, find_majority,
};
use carawaybarrow_core::units::WallTime;

fn entry(name: &str) -> EntryId {
    EntryId::new(name).unwrap()
}

fn join(name: &str, incarnation: u64) -> MembersCommand {
    let process = Process {
        incarnation: Incarnation(incarnation),
        peer_address: "10.0.0.1:7001".parse().unwrap(),
        client_address: "10.0.0.1:8001".parse().unwrap(),
        data_centre: DataCentreId::new("dc1").unwrap(),
        joined_at: WallTime(5),
    };
    MembersCommand::Join { entry: entry(name), process }
}

fn leave(name: &str, incarnation: u64) -> MembersCommand {
    MembersCommand::Leave { entry: entry(name), incarnation: Incarnation(incarnation) }
}

fn remove(name: &str, incarnation: u64) -> MembersCommand {
    MembersCommand::Remove { entry: entry(name), incarnation: Incarnation(incarnation) }
}

fn forget(name: &str, incarnation: u64) -> MembersCommand {
    MembersCommand::Forget { entry: entry(name), incarnation: Incarnation(incarnation) }
}

fn settle(revision: u64) -> MembersCommand {
    MembersCommand::Settle { revision: MembersRevision(revision) }
}

fn changed(revision: u64) -> MembersOutcome {
    MembersOutcome::Changed { revision: MembersRevision(revision) }
}

/// Guards against repeated or late commands that change the members a second time, for example by removing the
/// successor of a process.
#[test]
fn repeated_and_late_commands_change_nothing() {
    let steps = [
        (join("a", 1), changed(1)),
        (join("a", 1), MembersOutcome::Unchanged),
        (join("b", 1), changed(2)),
        (join("a", 2), changed(3)),
        // The replaced process can't join again under its old incarnation.
        (join("a", 1), MembersOutcome::AlreadyDeparted),
        // A removal of the replaced process doesn't affect its successor.
        (remove("a", 1), MembersOutcome::Unchanged),
        (remove("b", 7), MembersOutcome::Unknown),
        (remove("b", 1), changed(4)),
        (remove("b", 1), MembersOutcome::Unchanged),
        (leave("b", 1), MembersOutcome::Unchanged),
        (forget("a", 2), MembersOutcome::Unknown),
        (forget("a", 1), MembersOutcome::Compacted),
        (forget("a", 1), MembersOutcome::Unchanged),
        (settle(9), MembersOutcome::Unknown),
        (settle(4), MembersOutcome::Compacted),
        (settle(3), MembersOutcome::Unchanged),
        (leave("a", 2), changed(5)),
    ];
    let mut members = Members::default();
    for (command, outcome) in steps {
        let before = members.clone();
        assert_eq!(members.apply(&command), outcome, "{command:?}");
        assert_eq!(Members::is_change(&outcome), before != members, "{command:?}");
        assert_eq!(Members::decode(&members.encode()).unwrap(), members);
    }
    let departed: Vec<_> = members.departed.iter().map(|d| (d.entry.as_str(), d.removed.0, d.departure)).collect();
    assert_eq!(departed, [("b", 4, Departure::Removed), ("a", 5, Departure::Left)]);
}

/// Guards against a wrong list of the members at an earlier revision, over which majorities are counted.
#[test]
fn earlier_lists_include_departed_processes() {
    let mut members = Members::default();
    for command in [join("a", 1), join("b", 1), join("c", 1), remove("c", 1), join("a", 2)] {
        members.apply(&command);
    }
    let list = |revision| {
        let mut list: Vec<_> = members
            .members_at(MembersRevision(revision))
            .into_iter()
            .map(|(id, incarnation)| format!("{id}{}", incarnation.0))
            .collect();
        list.sort();
        list.join(" ")
    };
    let lists: Vec<_> = (0..=5).map(list).collect();
    assert_eq!(lists, ["", "a1", "a1 b1", "a1 b1 c1", "a1 b1", "a2 b1"]);
    assert_eq!(members.revisions_in_use(), (0..=5).map(MembersRevision).collect::<Vec<_>>());
    members.apply(&settle(4));
    assert_eq!(members.revisions_in_use(), [MembersRevision(4), MembersRevision(5)]);
}

/// Guards against half of an even number of members that counts as a majority, so that there could be two at once.
#[test]
fn majority_is_more_than_half() {
    let table = [(0, 1), (1, 1), (2, 2), (3, 2), (4, 3), (7, 4), (8, 5), (9, 5)];
    for (count, majority) in table {
        assert_eq!(find_majority(count), majority, "{count}");
    }
}

/// Guards against a removed process that counts as one that may still run, although a new incarnation has joined under
/// its id.
#[test]
fn rejoining_replaces_the_removed_process() {
    let mut members = Members::default();
    for command in [join("a", 1), join("b", 1), remove("a", 1), join("a", 2)] {
        members.apply(&command);
    }
    assert_eq!(members.departed[0].departure, Departure::Replaced);
    assert_eq!(members.departed[0].removed, MembersRevision(3));
}
