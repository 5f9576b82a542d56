//! The record of a durable job in a shard, and the tombstone that replaces it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{EntryId, Incarnation, TaskId, TeamId, VmId};
use crate::job::{Content, JobSpec, Ran};
use crate::journal_command::{Bound, JobOutcome, JobView, Rejection, RequeueReason, Resolution};
use crate::journal_state::{Claim, End, Resolved, State, StateName, count_json_bytes, fits_inline, truncate_reason};
use crate::units::WallTime;

/// Number of different VMs on which an idempotent job may fail before it ends as failed.
pub const MAX_FAILED_VMS: usize = 3;

/// Number of failures after which an idempotent job ends as failed, even if they occurred on fewer VMs.
pub const MAX_FAILURES: u32 = 10;

/// Number of lost workers after which an idempotent job ends as failed, because the job itself may crash them.
///
/// It is higher than [`MAX_FAILED_VMS`], because the outage of a rack or a data centre says nothing about the job.
pub const MAX_LOST_WORKERS: u32 = 10;

/// Record of a job that isn't archived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job as accepted.
    pub spec: JobSpec,
    /// Current state.
    pub state: State,
    /// Whether earlier attempts ran, without the claim in force.
    pub ran: Ran,
    /// Different VMs on which the job failed.
    pub failed_on: Vec<VmId>,
    /// Number of attempts that failed.
    pub failures: u32,
    /// Number of workers that were lost while they held the job.
    pub lost_workers: u32,
    /// Reason of the last failed attempt after which the job returned to waiting.
    pub last_failure: Option<SmolStr>,
    /// Bytes reserved for the record in the shard.
    pub(crate) reserved: usize,
}

/// Owner of a job, which decides who may access it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Owner {
    /// Not recorded, because the job was archived by a version that kept no owner in tombstones.
    #[default]
    Unknown,
    /// No team; the job's queue is open to all.
    Open,
    /// The team that submitted the job.
    Team(TeamId),
}

/// Remainder of an archived job, which answers repeated requests. Its fields are renamed to keep the document small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Tombstone {
    #[serde(rename = "s")]
    state: StateName,
    #[serde(rename = "r")]
    ran: Ran,
    #[serde(rename = "t")]
    pub(crate) archived_at: WallTime,
    /// Length in bytes of an answer that is stored under its own key.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    stored: Option<u64>,
    /// Absent in documents of versions that kept no owner.
    #[serde(rename = "o", default, skip_serializing_if = "Owner::is_unknown")]
    pub(crate) owner: Owner,
}

impl Owner {
    const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown)
    }

    /// Size of the owner in the JSON form of a tombstone, in bytes.
    pub(crate) fn count_bytes(&self) -> usize {
        match self {
            Self::Unknown => 0,
            Self::Open => ",\"o\":\"open\"".len(),
            Self::Team(team) => ",\"o\":{\"team\":\"\"}".len() + team.as_str().len(),
        }
    }
}

impl Record {
    pub(crate) fn new(spec: JobSpec, reserved: usize) -> Self {
        let state = State::Waiting;
        let (failed_on, failures, lost_workers) = (Vec::new(), 0, 0);
        Self { spec, state, ran: Ran::No, failed_on, failures, lost_workers, last_failure: None, reserved }
    }

    /// The team that submitted the job, or [`Owner::Open`].
    #[must_use]
    pub fn owner(&self) -> Owner {
        self.spec.team.clone().map_or(Owner::Open, Owner::Team)
    }

    /// The state of the job as shown to callers.
    #[must_use]
    pub fn view(&self) -> JobView {
        let mut view = JobView {
            state: self.state.name(),
            ran: self.ran,
            answer: None,
            reason: None,
            cancel_requested: false,
            archived: false,
        };
        match &self.state {
            State::Waiting => {}
            State::Claimed { cancel_requested, .. } => {
                view.ran = if self.ran == Ran::Yes { Ran::Yes } else { Ran::Unknown };
                view.cancel_requested = cancel_requested.is_some();
            }
            State::Ended { end, .. } => {
                view.ran = end.ran();
                view.reason = end.reason().cloned();
                if let End::Done { answer } = end {
                    view.answer.clone_from(answer);
                }
            }
        }
        view
    }

    fn end(&mut self, end: End, at: WallTime) -> JobOutcome {
        let claim = match std::mem::replace(&mut self.state, State::Waiting) {
            State::Claimed { claim, .. } => Some(claim),
            State::Waiting | State::Ended { .. } => None,
        };
        self.state = State::Ended { end, at, claim, resolved: None };
        JobOutcome::Ended { view: Box::new(self.view()) }
    }

    /// Ends an attempt without an answer: the job returns to waiting, or ends if its cancellation was requested.
    fn return_to_waiting(&mut self, at: WallTime) -> JobOutcome {
        if matches!(&self.state, State::Claimed { cancel_requested: Some(_), .. }) {
            return self.end(End::Cancelled { ran: self.ran }, at);
        }
        self.state = State::Waiting;
        JobOutcome::WaitsAgain
    }

    fn find_claim(&self, task: &TaskId) -> Result<&Claim, Rejection> {
        match &self.state {
            State::Waiting => Err(Rejection::NotClaimed),
            State::Claimed { claim, .. } if claim.task == *task => Ok(claim),
            State::Claimed { claim, .. } => Err(Rejection::AlreadyClaimed { claim: Box::new(claim.clone()) }),
            State::Ended { .. } => Err(Rejection::Ended { view: Box::new(self.view()) }),
        }
    }

    pub(crate) fn claim(&mut self, claim: &Claim) -> Result<JobOutcome, Rejection> {
        match &self.state {
            State::Waiting => {
                self.state = State::Claimed { claim: claim.clone(), cancel_requested: None };
                Ok(JobOutcome::Claimed)
            }
            State::Claimed { claim, .. } => Err(Rejection::AlreadyClaimed { claim: Box::new(claim.clone()) }),
            State::Ended { .. } => Err(Rejection::Ended { view: Box::new(self.view()) }),
        }
    }

    /// Detects a repeated command: [`JobOutcome::AlreadyThere`] if this task already ended the job in this state.
    fn find_repeated_end(&self, task: &TaskId, name: StateName) -> Option<JobOutcome> {
        match &self.state {
            State::Ended { end, claim: Some(claim), resolved: None, .. }
                if claim.task == *task && end.name() == name =>
            {
                Some(JobOutcome::AlreadyThere { view: Box::new(self.view()) })
            }
            _ => None,
        }
    }

    pub(crate) fn finish(
        &mut self,
        task: &TaskId,
        answer: &Content,
        at: WallTime,
        free_bytes: usize,
    ) -> Result<JobOutcome, Rejection> {
        if let Some(outcome) = self.find_repeated_end(task, StateName::Done) {
            return Ok(outcome);
        }
        self.find_claim(task)?;
        let bytes = count_inline_bytes(answer)?;
        if bytes > free_bytes {
            return Err(Rejection::Full { bound: Bound::Bytes });
        }
        self.reserved += bytes;
        self.ran = Ran::Yes;
        // A task that completed before it could be stopped is done, even if a cancellation was requested.
        Ok(self.end(End::Done { answer: Some(answer.clone()) }, at))
    }

    pub(crate) fn fail(&mut self, task: &TaskId, reason: &str, at: WallTime) -> Result<JobOutcome, Rejection> {
        if let Some(outcome) = self.find_repeated_end(task, StateName::Failed) {
            return Ok(outcome);
        }
        let vm = self.find_claim(task)?.vm.clone();
        let reason = truncate_reason(reason);
        self.ran = Ran::Yes;
        if matches!(&self.state, State::Claimed { cancel_requested: Some(_), .. }) {
            return Ok(self.end(End::Cancelled { ran: Ran::Yes }, at));
        }
        self.failures += 1;
        if !self.failed_on.contains(&vm) {
            self.failed_on.push(vm);
        }
        let is_permanent = self.failed_on.len() >= MAX_FAILED_VMS || self.failures >= MAX_FAILURES;
        if !self.spec.idempotent || is_permanent {
            return Ok(self.end(End::Failed { ran: Ran::Yes, reason }, at));
        }
        self.last_failure = Some(reason);
        Ok(self.return_to_waiting(at))
    }

    pub(crate) fn release(
        &mut self,
        task: &TaskId,
        entry: &EntryId,
        incarnation: Incarnation,
        at: WallTime,
    ) -> Result<JobOutcome, Rejection> {
        let claim = self.find_claim(task)?;
        // No other process can know that no byte of the start was sent.
        if claim.entry != *entry || claim.incarnation != incarnation {
            return Err(Rejection::NotClaimant { entry: claim.entry.clone(), incarnation: claim.incarnation });
        }
        Ok(self.return_to_waiting(at))
    }

    pub(crate) fn requeue(&mut self, task: &TaskId, why: RequeueReason, at: WallTime) -> Result<JobOutcome, Rejection> {
        self.find_claim(task)?;
        if !self.spec.idempotent {
            return Err(Rejection::NotIdempotent);
        }
        self.ran = match (self.ran, why) {
            (Ran::Yes, _) | (_, RequeueReason::Preempted) => Ran::Yes,
            _ => Ran::Unknown,
        };
        if why == RequeueReason::WorkerLost {
            self.lost_workers += 1;
            if self.lost_workers >= MAX_LOST_WORKERS {
                let reason = truncate_reason(&format!("{MAX_LOST_WORKERS} workers were lost while they ran the job"));
                return Ok(self.end(End::Failed { ran: self.ran, reason }, at));
            }
        }
        Ok(self.return_to_waiting(at))
    }

    pub(crate) fn mark_unknown(&mut self, task: &TaskId, reason: &str, at: WallTime) -> Result<JobOutcome, Rejection> {
        if let Some(outcome) = self.find_repeated_end(task, StateName::Unknown) {
            return Ok(outcome);
        }
        self.find_claim(task)?;
        if self.spec.idempotent {
            return Err(Rejection::Idempotent);
        }
        self.ran = Ran::Unknown;
        Ok(self.end(End::Unknown { reason: truncate_reason(reason) }, at))
    }

    pub(crate) fn resolve(&mut self, resolved_by: &Resolved, found: &Resolution) -> Result<JobOutcome, Rejection> {
        let State::Ended { end, resolved, .. } = &mut self.state else { return Err(Rejection::NotUnknown) };
        let new = match found {
            Resolution::Done => End::Done { answer: None },
            Resolution::Failed { reason } => End::Failed { ran: Ran::Yes, reason: truncate_reason(reason) },
            Resolution::NotRun => {
                End::Failed { ran: Ran::No, reason: "an operator found that it never started".into() }
            }
        };
        match resolved {
            None if end.name() == StateName::Unknown => {
                *end = new;
                *resolved = Some(resolved_by.clone());
                Ok(JobOutcome::Ended { view: Box::new(self.view()) })
            }
            Some(earlier) if earlier.by == resolved_by.by && *end == new => {
                Ok(JobOutcome::AlreadyThere { view: Box::new(self.view()) })
            }
            Some(_) => Err(Rejection::Ended { view: Box::new(self.view()) }),
            None => Err(Rejection::NotUnknown),
        }
    }

    pub(crate) fn cancel(&mut self, at: WallTime) -> Result<JobOutcome, Rejection> {
        match &mut self.state {
            State::Waiting => Ok(self.end(End::Cancelled { ran: self.ran }, at)),
            State::Claimed { cancel_requested: Some(_), .. } | State::Ended { end: End::Cancelled { .. }, .. } => {
                Ok(JobOutcome::AlreadyThere { view: Box::new(self.view()) })
            }
            State::Claimed { claim, cancel_requested } => {
                *cancel_requested = Some(at);
                Ok(JobOutcome::CancelRequested { claim: Box::new(claim.clone()) })
            }
            State::Ended { .. } => Err(Rejection::Ended { view: Box::new(self.view()) }),
        }
    }

    /// Builds the tombstone of an ended job. A job of unknown outcome isn't archived until an operator has resolved it.
    pub(crate) fn to_tombstone(&self, at: WallTime) -> Option<Tombstone> {
        let State::Ended { end, .. } = &self.state else { return None };
        let stored = match end {
            End::Unknown { .. } => return None,
            End::Done { answer: Some(Content::Stored { bytes }) } => Some(*bytes),
            _ => None,
        };
        Some(Tombstone { state: end.name(), ran: end.ran(), archived_at: at, stored, owner: self.owner() })
    }
}

impl Tombstone {
    pub(crate) fn view(&self) -> JobView {
        JobView {
            state: self.state,
            ran: self.ran,
            answer: self.stored.map(|bytes| Content::Stored { bytes }),
            reason: None,
            cancel_requested: false,
            archived: true,
        }
    }
}

/// Size of inline content in its JSON form, or 0 for content under its own key.
pub(crate) fn count_inline_bytes(content: &Content) -> Result<usize, Rejection> {
    match content {
        Content::Inline { text } if fits_inline(text) => Ok(count_json_bytes(text)),
        Content::Inline { .. } => Err(Rejection::TooLargeInline),
        Content::Stored { .. } => Ok(0),
    }
}
