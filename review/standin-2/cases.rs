fn run_case(case: &str, setup: &Setup) -> (Stage, i32) {
    match case {
        "past-times" => past_times(setup),
        "many-times" => many_times(setup),
        "same-id" => same_id(setup),
        "advice" => advice(setup),
        "ticket" => ticket(setup),
        "replaced" => replaced(setup),
        _ => give_up("no such case"),
    }
}

/// Time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// The rule LOST at the end of a day: after `finish_s`, each accepted job is known and answered, and none that has not
/// ended has nothing running for 3 s. The workers are idle otherwise, and no team has a ceiling.
fn find_lost(stage: &Stage, client: &Client, jobs: &[(String, &str)]) -> Vec<String> {
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    let mut open: Vec<(String, Instant)> = Vec::new();
    // All at the same time, as an answer may take until the client's deadline.
    let states: Vec<Option<String>> = thread::scope(|scope| {
        let asked: Vec<_> = jobs.iter().map(|(path, key)| scope.spawn(move || client.any_state(path, key))).collect();
        asked.into_iter().map(|thread| thread.join().ok().flatten()).collect()
    });
    for ((path, _), state) in jobs.iter().zip(states) {
        match state {
            Some(state) if matches!(state.as_str(), "completed" | "failed" | "cancelled") => {}
            Some(_) => open.push((path.clone(), Instant::now())),
            None => broken
                .push(format!("LOST: {path} is not known or gets no answer {} s after the traffic", FINISH.as_secs())),
        }
    }
    // Each look is a fraction of a second apart, so a task that starts and ends in between is seen by its start.
    let from = elapsed();
    let until = Instant::now() + Duration::from_millis(3_200);
    while Instant::now() < until {
        for (path, idle_since) in &mut open {
            if !stage.workers.running(path.rsplit('/').next().unwrap_or_default()).is_empty() {
                *idle_since = Instant::now();
            }
        }
        pause(20);
    }
    let started: BTreeSet<String> =
        lock(&stage.workers.fleet).starts.iter().filter(|s| s.at >= from).map(|s| job_of(&s.task).to_owned()).collect();
    for (path, idle_since) in open {
        let is_started = started.contains(path.rsplit('/').next().unwrap_or_default());
        if !is_started && idle_since.elapsed() >= Duration::from_secs(3) {
            broken.push(format!(
                "LOST: {path} was accepted, has not ended and has nothing running for 3 s, while the workers are free"
            ));
        }
    }
    broken
}

/// A job with times that began a day ago, beside ordinary jobs of another team.
fn past_times(setup: &Setup) -> (Stage, i32) {
    let rules = Rules::default();
    let stage =
        setup.run(&[("clip", false), ("stats", false)], &[("alpha", "key-a"), ("beta", "key-b")], 4, 4, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let mut jobs = Vec::new();
    let traffic = Instant::now();
    let mut round = 0;
    while traffic.elapsed() < Duration::from_secs(25) {
        round += 1;
        if round == 10 {
            let id = client.new_id();
            lock(&stage.workers.rules.bulk).insert(id.clone());
            let began = if stage.is_troubled { unix_ms() - 86_400_000 } else { unix_ms() };
            let times = format!(r#","start-at-ms":{began},"interval-ms":1000,"repeat-count":86400"#);
            let body = job("20", 24, 100, 20, &times);
            client.submit(round, &format!("/stats/{id}"), "key-b", &body);
        }
        let path = format!("/clip/{}", client.new_id());
        if client.submit(round, &path, "key-a", &job("300", 4, 1_000, 300, "")) {
            jobs.push((path, "key-a"));
        }
        pause(500);
    }
    record(format!("traffic ends, {} jobs accepted", jobs.len()));
    let mut broken = find_lost(&stage, &client, &jobs);
    let kills = stage.nodes.over_memory.load(Ordering::SeqCst);
    if kills >= 3 {
        broken.push(format!("Fault: processes ended {kills} times, as they used more than memory-mb"));
    }
    let code = verdict(&broken);
    (stage, code)
}

/// A job with many short times, beside ordinary jobs of another team.
fn many_times(setup: &Setup) -> (Stage, i32) {
    let rules = Rules::default();
    let stage =
        setup.run(&[("clip", false), ("stats", false)], &[("alpha", "key-a"), ("beta", "key-b")], 4, 4, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let mut jobs = Vec::new();
    let count = if stage.is_troubled { 30_000 } else { 3_000 };
    for round in 0..100 {
        if round == 10 {
            let id = client.new_id();
            lock(&stage.workers.rules.bulk).insert(id.clone());
            let times = format!(r#","start-at-ms":{},"interval-ms":1,"repeat-count":{count}"#, unix_ms());
            let path = format!("/stats/{id}");
            client.submit(round, &path, "key-b", &job("5", 1, 100, 5, &times));
        }
        let path = format!("/clip/{}", client.new_id());
        if client.submit(round, &path, "key-a", &job("300", 4, 1_000, 300, "")) {
            jobs.push((path, "key-a"));
        }
        pause(500);
        let fleet = lock(&stage.workers.fleet);
        record(format!("workers {} starts, {} ends, held back {:?}", fleet.starts.len(), fleet.ends, fleet.held_back));
    }
    record(format!("traffic ends, {} jobs accepted", jobs.len()));
    let broken = find_lost(&stage, &client, &jobs);
    let code = verdict(&broken);
    (stage, code)
}

/// Two teams choose the same ID for jobs of two queues.
fn same_id(setup: &Setup) -> (Stage, i32) {
    let rules = Rules::default();
    let stage =
        setup.run(&[("clip", false), ("stats", false)], &[("alpha", "key-a"), ("beta", "key-b")], 4, 4, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let mut broken = Vec::new();
    // Jobs that end.
    let first = client.new_id();
    let second = if stage.is_troubled { first.clone() } else { client.new_id() };
    let (clip, stats) = (format!("/clip/{first}"), format!("/stats/{second}"));
    let is_clip = client.submit(0, &clip, "key-a", &job("300", 2, 1_000, 300, ""));
    pause(200);
    let is_stats = client.submit(1, &stats, "key-b", &job("700", 5, 1_000, 700, ""));
    // Jobs that last; one of them is cancelled by its own client.
    let lasting = r#"{"spec":"on","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":500,"long-running":true,"may-miss":1}]}"#;
    let third = client.new_id();
    let fourth = if stage.is_troubled { third.clone() } else { client.new_id() };
    let (master, index) = (format!("/clip/{third}"), format!("/stats/{fourth}"));
    let is_master = client.submit(0, &master, "key-a", lasting);
    client.submit(1, &index, "key-b", lasting);
    pause(4_000);
    let cancelled = client.call(2, "DELETE", &index, "key-b", "");
    pause(4_000);
    thread::sleep(FINISH - Duration::from_secs(8));
    let starts = lock(&stage.workers.fleet).starts.clone();
    for (path, key, spec, is_accepted, tasks) in
        [(&clip, "key-a", "300", is_clip, 2), (&stats, "key-b", "700", is_stats, 5)]
    {
        let id = path.rsplit('/').next().unwrap_or_default();
        let of_job = starts.iter().filter(|s| job_of(&s.task) == id && s.spec == spec);
        let started: BTreeSet<&str> = of_job.map(|s| s.task.as_str()).collect();
        let state = client.any_state(path, key).unwrap_or_else(|| "no state".into());
        if is_accepted && state == "completed" && started.len() < tasks {
            broken.push(format!(
                "MIXED: {path} was accepted with {tasks} tasks and is shown as completed; {} of them ever started",
                started.len()
            ));
        } else if is_accepted && started.len() < tasks {
            broken
                .push(format!("LOST: {path} was accepted with {tasks} tasks; {} of them ever started", started.len()));
        }
    }
    let state = client.any_state(&master, "key-a").unwrap_or_else(|| "no state".into());
    if is_master && state == "cancelled" {
        broken.push(format!(
            "LOST: {master} is shown as cancelled, and nobody has cancelled it (cancelled: {index}, {cancelled:?})"
        ));
    }
    let code = verdict(&broken);
    (stage, code)
}

/// A job that lasts, on a queue with advice. One of the workers that its step may use crashes and starts again.
fn ticket(setup: &Setup) -> (Stage, i32) {
    let rules = Rules { needs_ticket: true, ..Rules::default() };
    let stage = setup.run(&[("tuned", true)], &[("alpha", "key-a")], 8, 2, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let id = client.new_id();
    let path = format!("/tuned/{id}");
    let body = r#"{"spec":"on","steps":[{"count":2,"cpu":4000,"mem-mb":100,"estimate-ms":500,"long-running":true,"anti-affinity":1,"may-miss":1}]}"#;
    client.submit(0, &path, "key-a", body);
    let deadline = Instant::now() + Duration::from_secs(10);
    while stage.workers.running(&id).len() < 2 {
        if Instant::now() > deadline {
            give_up("the job does not start");
        }
        pause(20);
    }
    pause(2_000);
    if stage.is_troubled {
        stage.workers.crash(0, Duration::from_millis(1_000));
    }
    // Each task that lasts has to run again: a span of 3 s in which one has nothing running counts, later than 6 s after
    // its last run, and with 4 s before the span that are calm.
    pause(8_000);
    let tasks = [format!("{id}.0.0.0"), format!("{id}.0.0.1")];
    let mut missing_since: [Option<Duration>; 2] = [None, None];
    let mut broken = Vec::new();
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until && broken.is_empty() {
        let running = stage.workers.running(&id);
        for (task, since) in tasks.iter().zip(&mut missing_since) {
            if running.contains(task) {
                *since = None;
            } else if elapsed().saturating_sub(*since.get_or_insert_with(elapsed)) >= Duration::from_secs(3) {
                let rejected = lock(&stage.workers.fleet).rejected.get("ticket").copied().unwrap_or(0);
                broken.push(format!("LOST: {task} lasts and has had nothing running for 3 s, at least 8 s after the worker was back; {rejected} starts were rejected for their ticket"));
                break;
            }
        }
        pause(10);
    }
    let code = verdict(&broken);
    (stage, code)
}

/// A queue with advice: a job each four seconds, and then several jobs at once.
fn advice(setup: &Setup) -> (Stage, i32) {
    let rules = Rules { needs_ticket: true, ..Rules::default() };
    let stage = setup.run(&[("tuned", true)], &[("alpha", "key-a")], 12, 4, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let mut jobs = Vec::new();
    for round in 0..48 {
        let is_burst = stage.is_troubled && (12..24).contains(&round);
        if round % 12 == 0 || is_burst {
            let path = format!("/tuned/{}", client.new_id());
            if client.submit(round, &path, "key-a", &job("300", 4, 1_000, 300, "")) {
                jobs.push((path, "key-a"));
            }
        }
        pause(333);
    }
    record(format!("traffic ends, {} jobs accepted", jobs.len()));
    let broken = find_lost(&stage, &client, &jobs);
    let code = verdict(&broken);
    (stage, code)
}

/// All machines of the system are lost at once, and as many come two seconds later, at other addresses.
fn replaced(setup: &Setup) -> (Stage, i32) {
    let rules = Rules::default();
    let stage = setup.run(&[("clip", false), ("master", false)], &[("alpha", "key-a")], 4, 4, 64_000, rules);
    let mut client = Client::new(&stage.nodes);
    let id = client.new_id();
    let body = r#"{"spec":"on","steps":[{"count":2,"cpu":4000,"mem-mb":100,"estimate-ms":500,"long-running":true,"may-miss":1}]}"#;
    let lasting = format!("/master/{id}");
    client.submit(0, &lasting, "key-a", body);
    let mut early = Vec::new();
    for round in 0..8 {
        let path = format!("/clip/{}", client.new_id());
        if client.submit(round, &path, "key-a", &job("300", 4, 1_000, 300, "")) {
            early.push((path, "key-a"));
        }
        pause(1_000);
    }
    if stage.workers.running(&id).len() < 2 {
        give_up("the job that lasts does not run");
    }
    stage.nodes.lose_all();
    pause(2_000);
    // Without the disruption the same machines come back.
    stage.nodes.come(stage.is_troubled);
    stage.nodes.wait_ready();
    let back = Instant::now();
    let mut broken = Vec::new();
    // LOST, of a job that lasts: a span of 3 s in which a task has nothing running, later than 6 s after its last run, which
    // the worker's lease ended by then, and with more than 4 s before the span that are calm.
    let tasks = [format!("{id}.0.0.0"), format!("{id}.0.0.1")];
    let mut missing_since: [Option<Duration>; 2] = [None, None];
    let mut late = Vec::new();
    let mut next = Duration::from_secs(12);
    while back.elapsed() < Duration::from_secs(22) {
        // RECOVER: requests that are sent later than `recovery-s` (12) after the machines are back.
        if back.elapsed() >= next {
            next += Duration::from_secs(1);
            let path = format!("/clip/{}", client.new_id());
            if client.submit(late.len(), &path, "key-a", &job("300", 4, 1_000, 300, "")) {
                late.push((path, "key-a"));
            }
        }
        let running = stage.workers.running(&id);
        for (task, since) in tasks.iter().zip(&mut missing_since) {
            if back.elapsed() < Duration::from_secs(9) || running.contains(task) {
                *since = None;
            } else if elapsed().saturating_sub(*since.get_or_insert_with(elapsed)) >= Duration::from_secs(3) {
                let line = format!("LOST: {task} lasts and has had nothing running for 3 s, 9 s after the machines were back");
                if !broken.contains(&line) {
                    broken.push(line);
                }
            }
        }
        pause(20);
    }
    record(format!("traffic ends, {} jobs accepted before and {} after", early.len(), late.len()));
    let lost = find_lost(&stage, &client, &late);
    if late.is_empty() || lost.len() * 4 > late.len() * 3 {
        broken.push(format!("RECOVER: {} of {} jobs that were sent later than 12 s after the machines were back are served", late.len() - lost.len(), late.len()));
    }
    broken.extend(lost);
    let code = verdict(&broken);
    (stage, code)
}
