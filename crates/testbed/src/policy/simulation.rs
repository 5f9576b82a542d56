//! One run of a set of rules.

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

use super::demand::{Arrival, DURATION, Demand, RUNS, TEAM_SHARES, User, VM_SLOTS};
use super::rules::Rules;

/// Step of the clock in ms.
const STEP: u64 = 20;

/// Interval of the planner and of the meters in ms, as in an entry.
const PLAN_INTERVAL: u64 = 1_000;

/// Time of a reboot in ms.
const REBOOT: u64 = 60_000;

/// Time at which the wave starts, in ms.
const WAVE_AT: u64 = 120_000;

/// Target of urgent work in ms.
const WITHIN: u64 = 1_100;

/// Availability budget of all pools but the spare one.
const MIN_AVAILABLE: u8 = 70;

/// Wall time at the start.
const EPOCH: u64 = 1_000_000_000;

/// Measures of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Result {
    /// Idle VM-hours in the spare pool.
    pub buffer_hours: f64,
    /// Minutes from the start of the wave to its end; that of the run if the wave doesn't end.
    pub roll_out_minutes: f64,
    /// VMs that changed pool.
    pub moves: f64,
    /// Mean gap between a team's part of the running work and its entitlement, in percentage points.
    pub share_gap: f64,
    /// Part of the urgent jobs that started within the target, in percent.
    pub urgent_in_time: f64,
    /// Wait of patient jobs that 99 % don't exceed, in seconds.
    pub patient_wait: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    arrival: Arrival,
    since: u64,
}

#[derive(Clone, Debug)]
struct Worker {
    id: VmId,
    pool: usize,
    serving: bool,
    busy: u32,
    incarnation: u64,
    up_since: u64,
    down_until: Option<u64>,
}

/// Queues of a pool; without a floor, patient work has one of its own.
#[derive(Debug)]
struct PoolState {
    queue: ReadyQueue,
    patient: ReadyQueue,
    meter: DemandMeter,
    running: [u32; 6],
    waiting: [u32; 6],
}

#[derive(Debug)]
struct Simulation<'a> {
    rules: &'a Rules,
    user: &'a User,
    config: Config,
    fleet: Fleet,
    workers: Vec<Worker>,
    pools: Vec<PoolState>,
    jobs: Vec<Job>,
    running: BinaryHeap<Reverse<(u64, usize, usize)>>,
    now: u64,
    in_time: u64,
    patient_waits: Vec<u64>,
    gaps: (f64, u64),
    result: Result,
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
        let window = window.map(|(from, to)| Window { from: WallTime(EPOCH + from), to: WallTime(EPOCH + to) });
        let value = Pool {
            min_available: percent(if n == spare { 0 } else { MIN_AVAILABLE }),
            baseline: 0,
            spare: n == spare,
            deadline_windows: window.into_iter().collect(),
        };
        let (revision, change) = (Revision(n as u64 + 1), Change::SetPool { id: pool_id(n), value });
        ChangeRecord { revision, by: operator(), at: WallTime(EPOCH), change }
    });
    let mut config = Config::default();
    config.apply_update(Update::Changes { records: records.collect() });
    config
}

/// Runs the rules on the demand of the seed.
#[must_use]
pub fn simulate(rules: &Rules, user: &User, seed: u64) -> Result {
    let mut simulation = Simulation::new(rules, user);
    let (mut demand, mut rng) = (Demand::default(), StdRng::seed_from_u64(seed));
    while simulation.now < DURATION {
        let arrivals = demand.arrive(user, simulation.now, STEP, &mut rng);
        simulation.step(arrivals);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(rules: &'a Rules, user: &'a User) -> Self {
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
            in_time: 0,
            patient_waits: Vec::new(),
            gaps: (0.0, 0),
            result: Result::default(),
        };
        let own = user.pools.iter().enumerate().flat_map(|(pool, vms)| (0..*vms).map(move |_| pool));
        let spares = (0..user.spares as usize)
            .map(|n| if rules.deals_out_spares { n % user.pools.len() } else { user.pools.len() });
        for (number, pool) in own.chain(spares).enumerate() {
            simulation.add_worker(number, pool);
        }
        simulation
    }

    fn add_worker(&mut self, number: usize, pool: usize) {
        let id = VmId::new(format!("vm-{number}")).expect("a valid name");
        let place = self.place(number, 1);
        let at = WallTime(EPOCH);
        self.fleet.apply(&FleetCommand::Register { vm: id.clone(), expect: None, place, pool: pool_id(pool), at });
        self.workers.push(Worker { id, pool, serving: true, busy: 0, incarnation: 1, up_since: 0, down_until: None });
    }

    fn place(&self, number: usize, incarnation: u64) -> VmPlace {
        // Four VMs to a rack, and racks spread over three data centres.
        let rack = number / 4;
        VmPlace {
            address: format_smolstr!("10.0.0.{number}:9000"),
            data_centre: format!("dc-{}", rack % 3).parse().expect("a valid name"),
            rack: format!("rack-{rack}").parse().expect("a valid name"),
            incarnation: Incarnation(incarnation),
        }
    }

    fn wall(&self) -> WallTime {
        WallTime(EPOCH + self.now)
    }

    fn step(&mut self, arrivals: Vec<Arrival>) {
        self.end_tasks();
        if self.now.is_multiple_of(PLAN_INTERVAL) {
            self.run_planner();
        }
        for arrival in arrivals {
            self.push(arrival);
        }
        for pool in 0..self.user.pools.len() {
            self.start_tasks(pool);
        }
        self.now += STEP;
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

    fn queue_team(&self, team: usize) -> Option<TeamId> {
        self.rules.shares.then(|| team_id(team))
    }

    fn push(&mut self, arrival: Arrival) {
        let Arrival { pool, team, patient, .. } = arrival;
        let is_ordered = self.rules.in_order;
        let waiting = WaitingJob {
            job: JobId::new(self.jobs.len().to_string()).expect("a valid name"),
            team: self.queue_team(team),
            queue: "queue".parse().expect("a valid name"),
            urgency: if patient && !is_ordered { Urgency::Patient } else { Urgency::Urgent },
            durable: patient || is_ordered,
            deadline: (!patient && !is_ordered).then_some(Deadline::StartBy(MonoTime(self.now + WITHIN))),
            run: Millis(RUNS[usize::from(patient)] as u64),
            since: MonoTime(self.now),
        };
        self.jobs.push(Job { arrival, since: self.now });
        let slots = self.slots(pool);
        let state = &mut self.pools[pool];
        state.waiting[team] += 1;
        let own_queue = patient && !is_ordered && !self.rules.patient_floor;
        let queue = if own_queue { &mut state.patient } else { &mut state.queue };
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
            let job = self.number_of(&late);
            self.pools[pool].waiting[self.jobs[job].arrival.team] -= 1;
        }
        let mut slots = self.slots(pool);
        while slots.free > 0 {
            let state = &mut self.pools[pool];
            let from_queue = state.queue.start_next(slots, now, |_| true);
            let (started, other) = match from_queue {
                Some(started) => (started, &mut state.patient),
                None => match state.patient.start_next(slots, now, |_| true) {
                    Some(started) => (started, &mut state.queue),
                    None => return,
                },
            };
            // Shares count the work of both queues.
            other.add_running(started.team.clone());
            self.start(self.number_of(&started), pool);
            slots.free -= 1;
        }
        self.measure_shares(pool);
    }

    fn number_of(&self, waiting: &WaitingJob) -> usize {
        waiting.job.as_str().parse().expect("jobs are named by their numbers")
    }

    fn start(&mut self, number: usize, pool: usize) {
        let job = self.jobs[number];
        let open = self.workers.iter().enumerate().filter(|(_, w)| w.pool == pool && w.serving);
        let (worker, _) = open.min_by_key(|(_, w)| w.busy).expect("a slot is free");
        self.workers[worker].busy += 1;
        self.running.push(Reverse((self.now + job.arrival.run, number, worker)));
        let state = &mut self.pools[pool];
        state.waiting[job.arrival.team] -= 1;
        state.running[job.arrival.team] += 1;
        let wait = self.now - job.since;
        if job.arrival.patient {
            self.patient_waits.push(wait);
        } else {
            self.in_time += u64::from(wait <= WITHIN);
        }
    }

    /// Adds the gaps of the teams with demand while the pool is full and work waits.
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
            self.gaps.0 += (part - f64::from(TEAM_SHARES[team]) / total).abs();
            self.gaps.1 += 1;
        }
    }

    fn run_planner(&mut self) {
        self.reboot_workers();
        if self.now == WAVE_AT {
            let (at, most) = (self.wall(), self.workers.len() as u32);
            self.fleet.apply(&FleetCommand::StartWave { replaces: None, cutoff: at, most, by: operator(), at });
        }
        let seen = self.observe();
        for command in planner::plan_with(&self.rules.policy, &self.fleet, &seen, &self.config, self.wall()) {
            let is_move = matches!(&command, FleetCommand::GrantDrain { cause: DrainCause::Move { .. }, .. });
            if is_move && !self.rules.moves {
                continue;
            }
            let is_applied = matches!(self.fleet.apply(&command), FleetOutcome::Applied);
            self.result.moves += f64::from(is_applied && matches!(command, FleetCommand::Move { .. }));
        }
        for worker in &mut self.workers {
            let Some(vm) = self.fleet.vm(&worker.id) else { continue };
            worker.serving = vm.state == VmState::Serving;
            worker.pool = vm.pool.as_str()["pool-".len()..].parse().expect("pools are numbered");
        }
        let idle = self.workers.iter().filter(|w| w.pool == self.user.pools.len()).count();
        self.result.buffer_hours += (idle as u64 * PLAN_INTERVAL) as f64 / 3_600_000.0;
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
                // A worker that is back waits for the registration of its new run.
                None if vm.must_drain()
                    && vm.state == VmState::Rebooting
                    && vm.place.incarnation.0 == worker.incarnation =>
                {
                    worker.down_until = Some(self.now + REBOOT);
                }
                _ => {}
            }
        }
    }

    fn observe(&mut self) -> Observations {
        let mut seen = Observations::default();
        for (number, worker) in self.workers.iter().enumerate() {
            let VmPlace { address, data_centre, rack, .. } = self.place(number, worker.incarnation);
            let vm = worker.id.clone();
            seen.list.push(ListedVm { vm: vm.clone(), address, data_centre, rack, state: ListedState::Live });
            let draining = self.fleet.vm(&vm).is_some_and(|vm| vm.must_drain());
            let report = match worker.down_until {
                Some(until) => VmReport::Down { since: WallTime(EPOCH + until - REBOOT) },
                None => VmReport::Up {
                    since: WallTime(EPOCH + worker.up_since),
                    incarnation: Incarnation(worker.incarnation),
                    draining,
                    tasks: worker.busy,
                },
            };
            seen.reports.insert(vm, report);
        }
        let wall = self.wall();
        let mut demand = BTreeMap::new();
        for number in 0..self.pools.len() {
            let slots = self.slots(number);
            let pool = &mut self.pools[number];
            let queue_wait = pool.queue.expected_wait(Urgency::Urgent, slots);
            let busy_slots = slots.total - slots.free;
            pool.meter.observe(DemandSample { busy_slots, slots: slots.total, queue_wait }, wall);
            demand.insert(pool_id(number), pool.meter.demand());
        }
        seen.demand = demand;
        seen
    }

    fn finish(mut self) -> Result {
        let judged = |job: &&Job| job.since + WITHIN < DURATION && !job.arrival.patient;
        let urgent = self.jobs.iter().filter(judged).count();
        self.result.urgent_in_time = self.in_time as f64 * 100.0 / urgent as f64;
        self.result.share_gap = self.gaps.0 * 100.0 / self.gaps.1.max(1) as f64;
        self.patient_waits.sort_unstable();
        let percentile = self.patient_waits.len() * 99 / 100;
        self.result.patient_wait = self.patient_waits.get(percentile).map_or(0.0, |wait| *wait as f64 / 1e3);
        let ended = match self.fleet.wave().map(|wave| &wave.phase) {
            Some(Phase::Finished { at }) => at.0 - EPOCH,
            _ => DURATION,
        };
        self.result.roll_out_minutes = (ended - WAVE_AT) as f64 / 60_000.0;
        self.result
    }
}
