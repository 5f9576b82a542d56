//! A store in memory that holds one job shard, and builders for jobs and commands.

use carawaybarrow_core::commit::{Commit, Document, Step, StoreResponse};
use carawaybarrow_core::ids::{
    ChangeId, ClassId, EntryId, Incarnation, JobId, LeaseId, PoolId, QueueId, StoreVersion, TaskId, TeamId, VmId,
};
use carawaybarrow_core::job::{Content, JobSpec, Size};
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome, JobShard};
use carawaybarrow_core::units::WallTime;

/// Fault of the store during the calls of one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Refuses each call.
    Down,
    /// Drops each call without a response.
    Silent,
    /// Loses the response to the first write, which takes effect.
    ResponseLost,
    /// The first write takes effect; it and all later calls get no response.
    ResponseLostThenSilent,
    /// The first write is delayed. The commit gets no response and ends, then the write arrives.
    LateWrite,
}

/// A store with one key, which is written by compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    version: u64,
    bytes: Vec<u8>,
    /// The decoded value.
    shard: JobShard,
    /// A write that the network delays.
    delayed_write: Option<(StoreVersion, Vec<u8>)>,
}

impl FakeStore {
    pub fn shard(&self) -> &JobShard {
        &self.shard
    }

    pub fn version(&self) -> StoreVersion {
        StoreVersion(self.version)
    }

    /// Delivers a delayed write.
    pub fn deliver_delayed_write(&mut self) {
        if let Some((expect, bytes)) = self.delayed_write.take() {
            self.write(expect, &bytes);
        }
    }

    fn write(&mut self, expect: StoreVersion, bytes: &[u8]) -> StoreResponse {
        if expect.0 != self.version {
            return StoreResponse::Conflict;
        }
        self.version += 1;
        self.bytes = bytes.to_vec();
        self.shard = JobShard::decode(bytes).unwrap();
        StoreResponse::Written(StoreVersion(self.version))
    }

    fn respond(&mut self, step: &Step<JobOutcome>, fault: Option<StoreFault>, writes: &mut u32) -> StoreResponse {
        if let Step::Write { expect, bytes } = step {
            *writes += 1;
            if *writes == 1 && fault == Some(StoreFault::LateWrite) {
                self.delayed_write = Some((*expect, bytes.clone()));
            }
        }
        match (fault, &*writes) {
            (Some(StoreFault::Down), _) => return StoreResponse::Refused,
            (Some(StoreFault::Silent), _) => return StoreResponse::Lost,
            (Some(StoreFault::LateWrite), 1..) => return StoreResponse::Lost,
            (Some(StoreFault::ResponseLostThenSilent), 2..) => return StoreResponse::Lost,
            _ => {}
        }
        let response = match step {
            Step::Read if self.version == 0 => StoreResponse::Absent,
            Step::Read => StoreResponse::Value { version: self.version(), bytes: self.bytes.clone() },
            Step::Write { expect, bytes } => self.write(*expect, bytes),
            _ => panic!("the commit has ended"),
        };
        let is_lost = match fault {
            Some(StoreFault::ResponseLost) => *writes == 1 && matches!(step, Step::Write { .. }),
            Some(StoreFault::ResponseLostThenSilent) => *writes >= 1,
            _ => false,
        };
        if is_lost { StoreResponse::Lost } else { response }
    }

    /// Runs a commit to its end.
    pub fn commit(&mut self, mut commit: Commit<JobShard>, fault: Option<StoreFault>) -> Step<JobOutcome> {
        let mut writes = 0;
        let mut step = commit.start();
        while matches!(step, Step::Read | Step::Write { .. }) {
            let response = self.respond(&step, fault, &mut writes);
            step = commit.handle_response(response);
        }
        step
    }
}

pub fn commit_of(id: u64, commands: Vec<JobCommand>) -> Commit<JobShard> {
    Commit::new(ChangeId::new(format!("c{id}")).unwrap(), commands)
}

pub fn job(id: &str) -> JobId {
    JobId::new(id).unwrap()
}

pub fn task(id: &str) -> TaskId {
    TaskId::new(id).unwrap()
}

pub fn entry(id: &str) -> EntryId {
    EntryId::new(id).unwrap()
}

pub fn inline(text: &str) -> Content {
    Content::Inline { text: text.to_owned() }
}

pub fn spec(id: &str, idempotent: bool) -> JobSpec {
    JobSpec {
        id: job(id),
        team: Some(TeamId::new("clinic").unwrap()),
        queue: QueueId::new("masters").unwrap(),
        class: ClassId::new("patient").unwrap(),
        pool: PoolId::new("render").unwrap(),
        idempotent,
        size: Size::default(),
        expected_run: None,
        deadline: None,
        accepted_at: WallTime(1_000),
        payload: inline("take 7"),
    }
}

pub fn claim(by: &str, incarnation: u64, id: &str, vm: &str) -> Claim {
    Claim {
        entry: entry(by),
        incarnation: Incarnation(incarnation),
        vm: VmId::new(vm).unwrap(),
        lease: LeaseId::new(id).unwrap(),
        task: task(id),
        at: WallTime(2_000),
    }
}
