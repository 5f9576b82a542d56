//! CPU time and memory of processes, read from procfs.

use std::fs;

/// Least CPU time of a measured batch in µs.
const MIN_BATCH_MICROS: f64 = 4_000.0;

/// Batches of a measurement; the median batch is the result.
const BATCHES: usize = 5;

/// CPU time in µs from a `schedstat` file, whose first field is in ns; 0 if the file can't be read.
fn read_cpu_micros(path: &str) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).unwrap_or(0.0) / 1e3
}

/// CPU time of the calling thread in µs.
fn thread_micros() -> f64 {
    // The kernel updates the CPU time of a running thread when the thread yields.
    std::thread::yield_now();
    read_cpu_micros("/proc/thread-self/schedstat")
}

/// CPU time of the live threads of a process in µs; 0 if the process has ended.
pub fn process_micros(pid: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    threads.map(|thread| read_cpu_micros(&format!("{}/schedstat", thread.path().display()))).sum()
}

/// Resident memory of a process in KB; 0 if the process has ended.
pub fn resident_kb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// CPU time of one call of `operation` in µs: the median over [`BATCHES`] batches.
pub fn measure_cpu<T>(mut operation: impl FnMut() -> T) -> f64 {
    let mut run = |count: u32| {
        let before = thread_micros();
        for _ in 0..count {
            std::hint::black_box(operation());
        }
        thread_micros() - before
    };
    let mut count = 1;
    while run(count) < MIN_BATCH_MICROS && count < 1 << 24 {
        count *= 2;
    }
    let mut batches: Vec<f64> = (0..BATCHES).map(|_| run(count) / f64::from(count)).collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 2]
}

/// CPU time of one call of `operation` on a new copy of `value` in µs, without the time to copy and to drop.
pub fn measure_cpu_on_copies<T: Clone>(value: &T, operation: impl Fn(&mut T)) -> f64 {
    const COPIES: usize = 32;
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let mut copies = vec![value.clone(); COPIES];
            let before = thread_micros();
            copies.iter_mut().for_each(&operation);
            let used = thread_micros() - before;
            drop(std::hint::black_box(copies));
            used / COPIES as f64
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 2]
}

/// Resident memory of one value in bytes, from the growth of this process while it builds many of them.
pub fn measure_bytes<T>(build: impl Fn() -> T) -> f64 {
    // New values first fill memory that the allocator kept from earlier ones, so they count only after 16 MiB of growth.
    const SKIPPED_KB: f64 = 16_384.0;
    const COUNTED_KB: f64 = 32_768.0;
    let resident = || resident_kb(std::process::id());
    let (start, mut copies) = (resident(), Vec::new());
    while resident() - start < SKIPPED_KB {
        copies.push(build());
    }
    let (skipped, first) = (copies.len(), resident());
    while resident() - first < COUNTED_KB {
        copies.push(build());
    }
    let grown = (resident() - first) * 1024.0;
    let counted = copies.len() - skipped;
    drop(std::hint::black_box(copies));
    grown / counted as f64
}
