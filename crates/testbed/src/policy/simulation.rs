//! Simulation of a rule set in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::{Change, ChangeRecord, Config, Pool, Update, Window};
use carawaybarrow_core::deadline::Deadline;
use carawaybarrow_core::fleet::{DrainCause, Fleet, FleetCommand, FleetOutcome, VmPlace, VmState};
use carawaybarrow_core::ids::{Incarnation, JobId, OperatorId, PoolId, Revision, TeamId, VmId};
use carawaybarrow_core::moves::{DemandMeter, DemandSample};
use carawaybarrow_core::planner::{self, ListedState, ListedVm, Observations, VmReport};
use carawaybarrow_core::queue::{Bounds, ReadyQueue, Slots, Urgency, WaitingJob};
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::{Millis, MonoTime, Percent, WallTime};
use carawaybarrow_core::wave::Phase;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::format_smolstr;

use super::demand::{Arrival, DURATION_MS, DemandGenerator, MEAN_RUN_MS, TEAM_SHARES, User, VM_SLOTS};
use super::rules::RuleSet;

/// Step of the virtual clock in ms.
const STEP_MS: u64 = 20;

/// Interval in ms at which the planner runs and demand is measured; the same as in an entry.
const PLAN_INTERVAL_MS: u64 = 1_000;

/// Duration of a reboot in ms.
const REBOOT_MS: u64 = 60_000;

/// Virtual time at which the wave starts, in ms.
const WAVE_START_MS: u64 = 120_000;

/// Time within which urgent jobs should start, in ms.
const URGENT_TARGET_MS: u64 = 1_100;

/// Least part of a pool's VMs that has to stay available, in percent; the spare pool has no such limit.
const MIN_AVAILABLE_PERCENT: u8 = 70;

/// Wall-clock time at the start of a run, in ms since the Unix epoch.
const START_WALL_MS: u64 = 1_000_000_000;

/// Metrics of a simulation run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunMetrics {
    /// VM-hours that VMs spent in the spare pool, where they run no work.
    pub buffer_hours: f64,
    /// Minutes from the start of the wave to its end, or to the end of the run if the wave doesn't finish.
    pub roll_out_minutes: f64,
    /// Number of moves of a VM to another pool.
    pub moves: f64,
    /// Mean gap between a team's part of the running work and its entitlement, in percentage points.
    pub share_gap: f64,
    /// Urgent jobs that started within the target, in percent.
    pub urgent_in_time: f64,
    /// 99th percentile of the waits of patient jobs that started, in seconds.
    pub patient_wait: f64,
}

/// A job and the virtual time of its arrival in ms.
#[derive(Clone, Copy, Debug)]
struct Job {
    arrival: Arrival,
    arrived_at: u64,
}

#[derive(Clone, Debug)]
struct Worker {
    id: VmId,
    pool: usize,
    serving: bool,
    /// Number of busy slots.
    busy: u32,
    incarnation: u64,
    up_since: u64,
    /// End of the present reboot.
    down_until: Option<u64>,
}

/// Queues, demand meter and job counts of a pool. Without a patient floor, patient work has a queue of its own.
#[derive(Debug)]
struct PoolState {
    queue: ReadyQueue,
    patient: ReadyQueue,
    meter: DemandMeter,
    /// Running jobs by team.
    running: [u32; 6],
    /// Waiting jobs by team.
    waiting: [u32; 6],
}

#[derive(Debug)]
struct Simulation<'a> {
    rules: &'a RuleSet,
    user: &'a User,
    config: Config,
    fleet: Fleet,
    workers: Vec<Worker>,
    pools: Vec<PoolState>,
    jobs: Vec<Job>,
    /// End of the run, index of the job and index of its worker, with the earliest end first.
    running: BinaryHeap<Reverse<(u64, usize, usize)>>,
    now: u64,
    /// Urgent jobs that started within the target.
    urgent_in_time_count: u64,
    patient_waits: Vec<u64>,
    /// Sum and number of the measured gaps to share.
    share_gaps: (f64, u64),
    metrics: RunMetrics,
}

fn pool_id(number: usize) -> PoolId {
    PoolId::new(format!("pool-{number}")).expect("a valid name")
}

fn team_id(number: usize) -> TeamId {
    TeamId::new(format!("team-{number}")).expect("a valid name")
}

fn operator() -> OperatorId {
    OperatorId::new("operator").expect("a valid name")
}

fn percent(value: u8) -> Percent {
    Percent::new(value).expect("at most 100")
}

fn build_config(user: &User) -> Config {
    let spare = user.pools.len();
    let records = (0..=spare).map(|n| {
        let window = user.window.filter(|_| n == 0);
        let window =
            window.map(|(from, to)| Window { from: WallTime(START_WALL_MS + from), to: WallTime(START_WALL_MS + to) });
        let value = Pool {
            min_available: percent(if n == spare { 0 } else { MIN_AVAILABLE_PERCENT }),
            baseline: 0,
            spare: n == spare,
            deadline_windows: window.into_iter().collect(),
        };
        let (revision, change) = (Revision(n as u64 + 1), Change::SetPool { id: pool_id(n), value });
        ChangeRecord { revision, by: operator(), at: WallTime(START_WALL_MS), change }
    });
    let mut config = Config::default();
    config.apply_update(Update::Changes { records: records.collect() });
    config
}

/// Simulates a rule set on the demand that the seed generates.
#[must_use]
pub fn simulate(rules: &RuleSet, user: &User, seed: u64) -> RunMetrics {
    let mut simulation = Simulation::new(rules, user);
    let (mut demand, mut rng) = (DemandGenerator::default(), StdRng::seed_from_u64(seed));
    while simulation.now < DURATION_MS {
        let arrivals = demand.generate_arrivals(user, simulation.now, STEP_MS, &mut rng);
        simulation.step(arrivals);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(rules: &'a RuleSet, user: &'a User) -> Self {
        let shares = Shares::new(TEAM_SHARES.iter().enumerate().map(|(n, share)| (team_id(n), percent(*share))));
        let bounds = Bounds { team: usize::MAX, pool: usize::MAX };
        let queue = || ReadyQueue::new(shares.clone()).with_bounds(bounds);
        let pool = || PoolState {
            queue: queue(),
            patient: queue(),
            meter: DemandMeter::default(),
            running: [0; 6],
            waiting: [0; 6],
        };
        let pools = (0..=user.pools.len()).map(|_| pool()).collect();
        let mut simulation = Self {
            rules,
            user,
            config: build_config(user),
            fleet: Fleet::default(),
            workers: Vec::new(),
            pools,
            jobs: Vec::new(),
            running: BinaryHeap::new(),
            now: 0,
            urgent_in_time_count: 0,
            patient_waits: Vec::new(),
            share_gaps: (0.0, 0),
            metrics: RunMetrics::default(),
        };
        let pool_vms = user.pools.iter().enumerate().flat_map(|(pool, vms)| (0..*vms).map(move |_| pool));
        let spares = (0..user.spares as usize)
            .map(|n| if rules.distributes_spares { n % user.pools.len() } else { user.pools.len() });
        for (number, pool) in pool_vms.chain(spares).enumerate() {
            simulation.add_worker(number, pool);
        }
        simulation
    }

    fn add_worker(&mut self, number: usize, pool: usize) {
        let id = VmId::new(format!("vm-{number}")).expect("a valid name");
        let place = self.vm_place(number, 1);
        let at = WallTime(START_WALL_MS);
        self.fleet.apply(&FleetCommand::Register { vm: id.clone(), expect: None, place, pool: pool_id(pool), at });
        self.workers.push(Worker { id, pool, serving: true, busy: 0, incarnation: 1, up_since: 0, down_until: None });
    }

    fn vm_place(&self, number: usize, incarnation: u64) -> VmPlace {
        // Four VMs share a rack, and racks are spread over three data centres.
        let rack = number / 4;
        VmPlace {
            address: format_smolstr!("10.0.0.{number}:9000"),
            data_centre: format!("dc-{}", rack % 3).parse().expect("a valid name"),
            rack: format!("rack-{rack}").parse().expect("a valid name"),
            incarnation: Incarnation(incarnation),
        }
    }

    fn wall_time(&self) -> WallTime {
        WallTime(START_WALL_MS + self.now)
    }

    fn step(&mut self, arrivals: Vec<Arrival>) {
        self.end_tasks();
        if self.now.is_multiple_of(PLAN_INTERVAL_MS) {
            self.run_planner();
        }
        for arrival in arrivals {
            self.enqueue(arrival);
        }
        for pool in 0..self.user.pools.len() {
            self.start_tasks(pool);
        }
        self.now += STEP_MS;
    }

    fn end_tasks(&mut self) {
        while let Some(Reverse((ends, job, worker))) = self.running.peek().copied()
            && ends <= self.now
        {
            self.running.pop();
            let Arrival { pool, team, .. } = self.jobs[job].arrival;
            let queue_team = self.queue_team(team);
            let state = &mut self.pools[pool];
            state.running[team] -= 1;
            state.queue.finish(queue_team.as_ref());
            state.patient.finish(queue_team.as_ref());
            self.workers[worker].busy -= 1;
        }
    }

    /// Team under which a job is queued; `None` if the rules have no shares.
    fn queue_team(&self, team: usize) -> Option<TeamId> {
        self.rules.shares.then(|| team_id(team))
    }

    fn enqueue(&mut self, arrival: Arrival) {
        let Arrival { pool, team, patient, .. } = arrival;
        let is_fifo = self.rules.in_order;
        let waiting = WaitingJob {
            job: JobId::new(self.jobs.len().to_string()).expect("a valid name"),
            team: self.queue_team(team),
            queue: "queue".parse().expect("a valid name"),
            urgency: if patient && !is_fifo { Urgency::Patient } else { Urgency::Urgent },
            durable: patient || is_fifo,
            deadline: (!patient && !is_fifo).then_some(Deadline::StartBy(MonoTime(self.now + URGENT_TARGET_MS))),
            run: Millis(MEAN_RUN_MS[usize::from(patient)] as u64),
            since: MonoTime(self.now),
        };
        self.jobs.push(Job { arrival, arrived_at: self.now });
        let slots = self.slots(pool);
        let state = &mut self.pools[pool];
        state.waiting[team] += 1;
        let uses_patient_queue = patient && !is_fifo && !self.rules.patient_floor;
        let queue = if uses_patient_queue { &mut state.patient } else { &mut state.queue };
        queue.push(waiting, slots, MonoTime(self.now));
    }

    fn slots(&self, pool: usize) -> Slots {
        let serving = self.workers.iter().filter(|w| w.pool == pool && w.serving);
        serving.fold(Slots::default(), |sum, worker| Slots {
            total: sum.total + VM_SLOTS,
            free: sum.free + VM_SLOTS - worker.busy,
        })
    }

    fn start_tasks(&mut self, pool: usize) {
        let now = MonoTime(self.now);
        for late in self.pools[pool].queue.take_expired(now) {
            let job = self.job_index(&late);
            self.pools[pool].waiting[self.jobs[job].arrival.team] -= 1;
        }
        let mut slots = self.slots(pool);
        while slots.free > 0 {
            let state = &mut self.pools[pool];
            let from_queue = state.queue.start_next(slots, now, |_| true);
            let (started, other_queue) = match from_queue {
                Some(started) => (started, &mut state.patient),
                None => match state.patient.start_next(slots, now, |_| true) {
                    Some(started) => (started, &mut state.queue),
                    None => return,
                },
            };
            // Entitlements take the running work of both queues into account.
            other_queue.add_running(started.team.clone());
            self.start_job(self.job_index(&started), pool);
            slots.free -= 1;
        }
        self.measure_shares(pool);
    }

    fn job_index(&self, waiting: &WaitingJob) -> usize {
        waiting.job.as_str().parse().expect("jobs are named by their numbers")
    }

    fn start_job(&mut self, number: usize, pool: usize) {
        let job = self.jobs[number];
        let candidates = self.workers.iter().enumerate().filter(|(_, w)| w.pool == pool && w.serving);
        let (worker, _) = candidates.min_by_key(|(_, w)| w.busy).expect("a slot is free");
        self.workers[worker].busy += 1;
        self.running.push(Reverse((self.now + job.arrival.run, number, worker)));
        let state = &mut self.pools[pool];
        state.waiting[job.arrival.team] -= 1;
        state.running[job.arrival.team] += 1;
        let wait = self.now - job.arrived_at;
        if job.arrival.patient {
            self.patient_waits.push(wait);
        } else {
            self.urgent_in_time_count += u64::from(wait <= URGENT_TARGET_MS);
        }
    }

    /// Adds the gap to share of each team with demand, if jobs still wait after the starts of this step.
    fn measure_shares(&mut self, pool: usize) {
        let state = &self.pools[pool];
        if state.waiting.iter().sum::<u32>() == 0 {
            return;
        }
        let running = state.running.iter().sum::<u32>();
        let demand: Vec<_> = (0..6).filter(|t| state.running[*t] + state.waiting[*t] > 0).collect();
        let total: f64 = demand.iter().map(|t| f64::from(TEAM_SHARES[*t])).sum();
        for team in demand.into_iter().filter(|_| running > 0) {
            let part = f64::from(state.running[team]) / f64::from(running);
            self.share_gaps.0 += (part - f64::from(TEAM_SHARES[team]) / total).abs();
            self.share_gaps.1 += 1;
        }
    }

    fn run_planner(&mut self) {
        self.reboot_workers();
        if self.now == WAVE_START_MS {
            let (at, most) = (self.wall_time(), self.workers.len() as u32);
            self.fleet.apply(&FleetCommand::StartWave { replaces: None, cutoff: at, most, by: operator(), at });
        }
        let observations = self.observe();
        for command in
            planner::plan_with(&self.rules.policy, &self.fleet, &observations, &self.config, self.wall_time())
        {
            let is_move = matches!(&command, FleetCommand::GrantDrain { cause: DrainCause::Move { .. }, .. });
            if is_move && !self.rules.moves {
                continue;
            }
            let is_applied = matches!(self.fleet.apply(&command), FleetOutcome::Applied);
            self.metrics.moves += f64::from(is_applied && matches!(command, FleetCommand::Move { .. }));
        }
        for worker in &mut self.workers {
            let Some(vm) = self.fleet.vm(&worker.id) else { continue };
            worker.serving = vm.state == VmState::Serving;
            worker.pool = vm.pool.as_str()["pool-".len()..].parse().expect("pools are numbered");
        }
        let idle = self.workers.iter().filter(|w| w.pool == self.user.pools.len()).count();
        self.metrics.buffer_hours += (idle as u64 * PLAN_INTERVAL_MS) as f64 / 3_600_000.0;
    }

    fn reboot_workers(&mut self) {
        for worker in &mut self.workers {
            let Some(vm) = self.fleet.vm(&worker.id) else { continue };
            match worker.down_until {
                Some(until) if until <= self.now => {
                    worker.down_until = None;
                    worker.incarnation += 1;
                    worker.up_since = self.now;
                }
                // The record of a rebooted worker says `Rebooting` until its new incarnation is registered. The worker
                // must not reboot again in that time.
                None if vm.must_drain()
                    && vm.state == VmState::Rebooting
                    && vm.place.incarnation.0 == worker.incarnation =>
                {
                    worker.down_until = Some(self.now + REBOOT_MS);
                }
                _ => {}
            }
        }
    }

    fn observe(&mut self) -> Observations {
        let mut observations = Observations::default();
        for (number, worker) in self.workers.iter().enumerate() {
            let VmPlace { address, data_centre, rack, .. } = self.vm_place(number, worker.incarnation);
            let vm = worker.id.clone();
            observations.list.push(ListedVm { vm: vm.clone(), address, data_centre, rack, state: ListedState::Live });
            let draining = self.fleet.vm(&vm).is_some_and(|vm| vm.must_drain());
            let report = match worker.down_until {
                Some(until) => VmReport::Down { since: WallTime(START_WALL_MS + until - REBOOT_MS) },
                None => VmReport::Up {
                    since: WallTime(START_WALL_MS + worker.up_since),
                    incarnation: Incarnation(worker.incarnation),
                    draining,
                    tasks: worker.busy,
                },
            };
            observations.reports.insert(vm, report);
        }
        let wall_time = self.wall_time();
        let mut demand = BTreeMap::new();
        for number in 0..self.pools.len() {
            let slots = self.slots(number);
            let pool = &mut self.pools[number];
            let expected_wait = pool.queue.expected_wait(Urgency::Urgent, slots);
            let busy_slots = slots.total - slots.free;
            pool.meter.observe(DemandSample { busy_slots, slots: slots.total, expected_wait }, wall_time);
            demand.insert(pool_id(number), pool.meter.demand());
        }
        observations.demand = demand;
        observations
    }

    fn finish(mut self) -> RunMetrics {
        let is_counted = |job: &&Job| job.arrived_at + URGENT_TARGET_MS < DURATION_MS && !job.arrival.patient;
        let urgent = self.jobs.iter().filter(is_counted).count();
        self.metrics.urgent_in_time = self.urgent_in_time_count as f64 * 100.0 / urgent as f64;
        self.metrics.share_gap = self.share_gaps.0 * 100.0 / self.share_gaps.1.max(1) as f64;
        self.patient_waits.sort_unstable();
        let percentile = self.patient_waits.len() * 99 / 100;
        self.metrics.patient_wait = self.patient_waits.get(percentile).map_or(0.0, |wait| *wait as f64 / 1e3);
        let ended = match self.fleet.wave().map(|wave| &wave.phase) {
            Some(Phase::Finished { at }) => at.0 - START_WALL_MS,
            _ => DURATION_MS,
        };
        self.metrics.roll_out_minutes = (ended - WAVE_START_MS) as f64 / 60_000.0;
        self.metrics
    }
}
