//! Time of the scheduler's decisions at the size of a large fleet: 1,100 workers in five pools and 60 teams. Plans with
//! reservations are measured at 350 workers too.

#![expect(missing_docs, reason = "criterion generates a public function without docs")]

use std::hint::black_box;
use std::sync::Arc;

use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::graph::{
    JobKey, JobSpec, PoolName, QueueName, Resources, Step, TaskName, TeamName, VmKey, WorkerKey,
};
use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::order::{FencingToken, Order, RunLists, RunRow, StartAnswer, WorkerReport};
use carawaybarrow_core::sched::policy::{Bounds, Policy, QueuePolicy, TeamPolicy};
use carawaybarrow_core::sched::progress::Progress;
use carawaybarrow_core::sched::scheduler::{Now, Scheduler};
use carawaybarrow_core::units::{Millis, MonoTime, WallTime};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const POOLS: usize = 5;
const WORKERS: usize = 1_100;
const FEWER_WORKERS: usize = 350;
const TEAMS: usize = 60;
const TASKS_PER_JOB: u32 = 8;

fn now(ms: u64) -> Now {
    Now { mono: MonoTime(1_000_000 + ms), wall: WallTime(1_000_000 + ms) }
}

fn policy() -> Policy {
    let mut policy = Policy { version: 1, ..Policy::default() };
    for pool in 0..POOLS {
        let rules = QueuePolicy { pool: PoolName::new(format!("p{pool}")), ..QueuePolicy::default() };
        policy.queues.insert(QueueName::new(format!("q{pool}")), rules);
    }
    for team in 0..TEAMS {
        let rules = TeamPolicy { jobs_per_1000_secs: 1_000_000, ..TeamPolicy::default() };
        policy.teams.insert(TeamName::new(format!("t{team}")), rules);
    }
    policy
}

fn report(number: usize) -> WorkerReport {
    WorkerReport {
        key: WorkerKey::new(format!("i-{number:010x}")),
        address: ([10, 0, 0, 1], 1_000 + number as u16).into(),
        pool: PoolName::new(format!("p{}", number % POOLS)),
        data_centre: "z".into(),
        vm: Some(VmKey::new(format!("m-{number:010x}"))),
        capacity: Resources { cpu: 64_000, memory_mb: 262_144, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        incarnation: Some(1),
    }
}

fn job(number: usize) -> JobSpec {
    let pool = number % POOLS;
    let size = Resources { cpu: 8_900, memory_mb: 18_000, accelerators: 0 };
    JobSpec {
        queue: QueueName::new(format!("q{pool}")),
        pool: PoolName::new(format!("p{pool}")),
        team: Some(TeamName::new(format!("t{}", number % TEAMS))),
        payload: "x".into(),
        steps: vec![Step { count: TASKS_PER_JOB, size, estimate: Millis(800), ..Step::default() }],
        schedule: None,
        accepted: WallTime(1_000_000),
        rules: QueuePolicy::default(),
        known_term: None,
    }
}

/// A scheduler whose workers have answered.
fn scheduler() -> Scheduler {
    scheduler_of(WORKERS, Bounds::default())
}

fn scheduler_of(workers: usize, bounds: Bounds) -> Scheduler {
    let mut scheduler = Scheduler::new(FencingToken(1), 0, bounds, Arc::new(policy()));
    scheduler.confirm(now(0).mono);
    scheduler.apply_recovery_set(now(0).mono, Vec::new());
    let reports: Vec<_> = (0..workers).map(report).collect();
    scheduler.set_workers(now(0).mono, reports.clone());
    scheduler.record_recovery_set(&reports);
    let queue_pools = scheduler.prepare_queue_pools();
    scheduler.record_queue_pools(&queue_pools);
    for report in reports {
        let lists = RunLists { incarnation: Some(1), clock: 5_000, ..RunLists::default() };
        scheduler.apply_lists(now(0), &report.key, now(0).mono, lists);
    }
    scheduler
}

fn add_jobs(scheduler: &mut Scheduler, count: usize) {
    for number in 0..count {
        scheduler.add_job(now(0), JobKey::new(format!("{number:016x}")), job(number), Progress::default(), 2);
    }
}

/// A scheduler whose workers are full, with `backlog` more jobs that wait.
fn full(backlog: usize) -> Scheduler {
    fill(scheduler(), 1_000 + backlog)
}

fn fill(mut scheduler: Scheduler, jobs: usize) -> Scheduler {
    add_jobs(&mut scheduler, jobs);
    scheduler.plan(now(10));
    for order in scheduler.take_orders() {
        if let Order::Start(start) = order {
            let answer = StartAnswer::Started;
            scheduler.apply_start_answer(now(12).mono, &start.worker, &start.task, start.run, answer);
        }
    }
    scheduler.take_events();
    scheduler
}

fn plans(c: &mut Criterion) {
    c.bench_function("plan, 260 jobs on an empty fleet", |b| {
        let start = || {
            let mut scheduler = scheduler();
            add_jobs(&mut scheduler, 260);
            scheduler
        };
        b.iter_batched_ref(start, |s| s.plan(now(10)), BatchSize::LargeInput);
    });
    c.bench_function("plan, full fleet and no backlog", |b| {
        let mut scheduler = full(0);
        b.iter(|| scheduler.plan(now(20)));
    });
    c.bench_function("plan, full fleet and 2,000 waiting jobs", |b| {
        let mut scheduler = full(2_000);
        b.iter(|| scheduler.plan(now(20)));
    });
}

/// Plans each 10 ms, of which one in ten makes the reservations anew, with 250 jobs of 8 tasks that wait.
fn plans_with_reservations(c: &mut Criterion) {
    for workers in [FEWER_WORKERS, WORKERS] {
        for reservations in [0, 8] {
            let bounds = Bounds { reservations, ..Bounds::default() };
            // Room is kept only for jobs that are not too late.
            let mut patient = policy();
            patient.version += 1;
            patient.queues.values_mut().for_each(|rules| rules.allowance = Millis::from_secs(1_000_000));
            // A worker of 64 cores has room for seven tasks.
            let jobs = workers * 7 / TASKS_PER_JOB as usize + 250;
            let name = format!("plan, {workers} full workers, 2,000 waiting tasks, {reservations} reservations a pool");
            c.bench_function(&name, |b| {
                let mut scheduler = scheduler_of(workers, bounds);
                scheduler.set_policy(Arc::new(patient.clone()));
                let mut scheduler = fill(scheduler, jobs);
                let mut ms = 20;
                b.iter(|| {
                    ms += 10;
                    scheduler.confirm(now(ms).mono);
                    scheduler.plan(now(ms));
                });
            });
        }
    }
}

fn periodic(c: &mut Criterion) {
    c.bench_function("tick, full fleet and 500 waiting jobs", |b| {
        let mut scheduler = full(500);
        b.iter(|| scheduler.tick(now(20)));
    });
    c.bench_function("moves, full fleet and 500 waiting jobs", |b| {
        let mut scheduler = full(500);
        let vm = |report: WorkerReport| Vm {
            key: report.vm.expect("each worker has a VM"),
            pool: report.pool,
            state: VmState::Up,
            data_centre: report.data_centre,
            capacity: report.capacity,
            worker: Some(report.key),
        };
        let listed: Vec<Vm> = (0..WORKERS).map(report).map(vm).collect();
        let mut balance = BalanceState::default();
        b.iter(|| black_box(scheduler.plan_moves(now(20).mono, &mut balance, &listed)));
    });
    c.bench_function("lists of one worker with six runs", |b| {
        let mut scheduler = full(0);
        let worker = scheduler.workers().find(|w| w.runs.len() >= 6).expect("the fleet is full");
        let key = worker.report.key.clone();
        let row = |(task, run): (&TaskName, &u32)| RunRow {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: 10,
            reading: None,
        };
        let running: Vec<RunRow> = worker.runs.iter().map(row).collect();
        let lists = RunLists { incarnation: Some(1), clock: 5_020, running, ended: Vec::new() };
        b.iter(|| scheduler.apply_lists(now(20), &key, now(19).mono, lists.clone()));
    });
}

criterion_group!(benches, plans, plans_with_reservations, periodic);
criterion_main!(benches);
