//! Decides whether a job is accepted.
//!
//! A request is checked as a whole: the caller gets every broken rule at once, each with its place. A refusal
//! is given before anything is queued or stored, so it always means "not run".

use crate::config::{Class, Config, Queue, Target};
use crate::deadline;
use crate::finding::Findings;
use crate::ids::{PoolId, QueueId, TeamId};
use crate::job::{self, Content, JobSpec, Refusal, Size};
use crate::keys::KeyHash;
use crate::map::Map;
use crate::units::{Millis, WallTime};

/// Longest accepted request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 256;

/// Shortest time after which a refused caller is asked to try again.
pub const MIN_RETRY_AFTER: Millis = Millis(100);

/// Longest time after which a refused caller is asked to try again; estimates further ahead are worth little.
pub const MAX_RETRY_AFTER: Millis = Millis::from_secs(60);

/// A job as its caller sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Name of the team, if the caller gave one.
    pub team: Option<&'a str>,
    /// Hash of the secret, if one was sent.
    pub key: Option<&'a KeyHash>,
    /// Id of the request, made by the entry if the caller gave none.
    pub request_id: &'a str,
    /// Input of the job.
    pub payload: &'a str,
    /// Declared resources.
    pub size: Size,
    /// Declared run time.
    pub expected_run: Option<Millis>,
    /// Deadline that the caller asks for.
    pub deadline: Option<WallTime>,
}

/// Whether the ready queue has room for another job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// The team has reached its waiting bound.
    TeamFull,
    /// The pool has reached its waiting bound.
    PoolFull,
}

/// What the entry knows when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Largest worker of each pool; a pool without an item has no known worker and refuses no size.
    pub largest_workers: &'a Map<PoolId, Size>,
    /// Whether the entry may start keyed work.
    pub fresh: bool,
    /// Whether durable jobs can be stored.
    pub store_reachable: bool,
    /// Expected time until a job that arrives now on this queue starts.
    pub expected_wait: Millis,
    /// Room in the ready queue.
    pub room: Room,
    /// Whether the entry is stopping.
    pub stopping: bool,
    /// Present time.
    pub now: WallTime,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Queue it in this entry; nothing is stored.
    Urgent(JobSpec),
    /// Store it before the caller gets an answer.
    Durable(JobSpec),
    /// Not accepted, and not run.
    Refuse(Refusal),
}

/// Decides about a request.
#[must_use]
pub fn admit(request: &Request<'_>, view: &View<'_>) -> Verdict {
    match check(request, view) {
        Ok((spec, true)) => Verdict::Durable(spec),
        Ok((spec, false)) => Verdict::Urgent(spec),
        Err(refusal) => Verdict::Refuse(refusal),
    }
}

/// Whether jobs of the queue are stored before they are confirmed.
#[must_use]
pub const fn is_durable(queue: &Queue, class: &Class) -> bool {
    !queue.idempotent || !matches!(class.target, Target::Within { .. })
}

struct Route<'a> {
    id: QueueId,
    queue: &'a Queue,
    class: &'a Class,
}

fn check(request: &Request<'_>, view: &View<'_>) -> Result<(JobSpec, bool), Refusal> {
    if view.stopping {
        return Err(Refusal::Stopping);
    }
    let mut errors = Findings::new();
    let route = find_route(request, view, &mut errors);
    // An old configuration may lack the queue or the key, or still hold a withdrawn key, so a stale entry makes no
    // statement about either.
    let is_open = route.as_ref().is_some_and(|r| r.queue.open_to_all);
    if !is_open && !view.fresh {
        return Err(Refusal::Stale);
    }
    let mut denied = Findings::new();
    let team = if is_open { None } else { find_team(request, view, route.as_ref(), &mut errors, &mut denied) };
    check_request(request, view.now, &mut errors);
    if let Some(largest) = route.as_ref().and_then(|r| view.largest_workers.get(&r.queue.pool)) {
        check_size(&request.size, largest, &mut errors);
    }
    let is_denied = !denied.is_empty();
    denied.extend(errors);
    let errors = denied;
    let Some(route) = route.filter(|_| errors.is_empty()) else {
        return Err(if is_denied { Refusal::NotAllowed { errors } } else { Refusal::Invalid { errors } });
    };
    let durable = is_durable(route.queue, route.class);
    if durable && !view.store_reachable {
        return Err(Refusal::StoreUnavailable);
    }
    check_load(request, view, route.class.target)?;
    Ok((build_spec(request, view.now, &route, team, durable), durable))
}

fn find_route<'a>(request: &Request<'_>, view: &View<'a>, errors: &mut Findings) -> Option<Route<'a>> {
    let id = match QueueId::new(request.queue) {
        Ok(id) => id,
        Err(error) => {
            errors.add("queue", error.to_string());
            return None;
        }
    };
    let Some(queue) = view.config.queues.get(&id) else {
        errors.add("queue", format!("there is no queue {id}"));
        return None;
    };
    let Some(class) = view.config.classes.get(&queue.value.class) else {
        errors.add("queue", format!("queue {id} has no class"));
        return None;
    };
    Some(Route { id, queue: &queue.value, class: &class.value })
}

fn find_team(
    request: &Request<'_>,
    view: &View<'_>,
    route: Option<&Route<'_>>,
    errors: &mut Findings,
    denied: &mut Findings,
) -> Option<TeamId> {
    let named = request.team.and_then(|name| match TeamId::new(name) {
        Ok(team) => Some(team),
        Err(error) => {
            errors.add("team", error.to_string());
            None
        }
    });
    let Some(hash) = request.key else {
        // Whether an unknown queue needs a key is not known.
        if let Some(route) = route {
            denied.add("authorization", format!("queue {} takes work only with a key", route.id));
        }
        return None;
    };
    let Some((_, team)) = view.config.find_key(hash) else {
        denied.add("authorization", "the key is unknown or withdrawn");
        return None;
    };
    if let Some(named) = named.filter(|named| named != team) {
        denied.add("team", format!("the key doesn't belong to team {named}"));
        return None;
    }
    Some(team.clone())
}

fn check_request(request: &Request<'_>, now: WallTime, errors: &mut Findings) {
    if !(1..=MAX_REQUEST_ID_BYTES).contains(&request.request_id.len()) {
        errors.add("request_id", format!("it must have 1 to {MAX_REQUEST_ID_BYTES} bytes"));
    }
    if request.payload.len() > job::MAX_STORED_BYTES {
        let message = format!("{} bytes is above {}", request.payload.len(), job::MAX_STORED_BYTES);
        errors.add("payload", message);
    }
    if request.deadline.is_some_and(|deadline| deadline <= now) {
        errors.add("deadline_ms", "the deadline has passed");
    }
}

fn check_size(size: &Size, largest: &Size, errors: &mut Findings) {
    let parts = [
        ("size.cores", u64::from(size.cores), u64::from(largest.cores)),
        ("size.memory_mb", size.memory_mb, largest.memory_mb),
        ("size.accelerators", u64::from(size.accelerators), u64::from(largest.accelerators)),
    ];
    for (place, wanted, available) in parts {
        if wanted > available {
            errors.add(place, format!("{wanted} is above {available}, the most that a worker of the pool has"));
        }
    }
}

fn check_load(request: &Request<'_>, view: &View<'_>, target: Target) -> Result<(), Refusal> {
    match view.room {
        Room::TeamFull => return Err(Refusal::TeamLimit { retry_after: limit_retry_after(view.expected_wait) }),
        Room::PoolFull => return Err(Refusal::Overloaded { retry_after: limit_retry_after(view.expected_wait) }),
        Room::Free => {}
    }
    // Patient work is better late than refused, so its class deadline never refuses it. A deadline that the caller
    // gave says that a later answer is of no use.
    let deadline = match target {
        Target::Within { .. } => find_deadline(request, view.now, target),
        Target::By { .. } | Target::Eventually => request.deadline,
    };
    let Some(deadline) = deadline else { return Ok(()) };
    let slack = deadline.since(view.now);
    if view.expected_wait > slack {
        let retry_after = limit_retry_after(view.expected_wait.saturating_sub(slack));
        return Err(Refusal::Overloaded { retry_after });
    }
    Ok(())
}

/// Time to tell a refused caller, from an expected wait.
pub(crate) fn limit_retry_after(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn find_deadline(request: &Request<'_>, now: WallTime, target: Target) -> Option<WallTime> {
    [deadline::find_class_deadline(target, now), request.deadline].into_iter().flatten().min()
}

fn build_spec(request: &Request<'_>, now: WallTime, route: &Route<'_>, team: Option<TeamId>, durable: bool) -> JobSpec {
    let payload = if durable && request.payload.len() > job::MAX_INLINE_BYTES {
        Content::Stored { bytes: request.payload.len() as u64 }
    } else {
        Content::Inline { text: request.payload.to_owned() }
    };
    JobSpec {
        id: job::derive_job_id(team.as_ref(), &route.id, request.request_id),
        team,
        queue: route.id.clone(),
        class: route.queue.class.clone(),
        pool: route.queue.pool.clone(),
        idempotent: route.queue.idempotent,
        size: request.size,
        expected_run: request.expected_run,
        deadline: find_deadline(request, now, route.class.target),
        accepted_at: now,
        payload,
    }
}
