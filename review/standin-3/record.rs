//! Record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct RunRow {
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub began: f64,
    pub ended: Option<(f64, String)>,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<RunRow>>,
    counts: Mutex<BTreeMap<String, usize>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { began: Instant::now(), file: Mutex::new(file), runs: Mutex::default(), counts: Mutex::default() }
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn note(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3}  {text}", self.now());
    }
    /// Notes the first of many equal events, and counts the others.
    pub fn count(&self, text: &str) {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.entry(text.to_owned()).or_default();
        *count += 1;
        if *count == 1 {
            drop(counts);
            self.note(text);
        }
    }
    pub fn start(&self, task: &str, run: u32, worker: &str) {
        self.note(&format!("{worker} starts {task} run {run}"));
        let row = RunRow { task: task.to_owned(), run, worker: worker.to_owned(), began: self.now(), ended: None };
        self.runs.lock().unwrap().push(row);
    }
    pub fn end(&self, task: &str, run: u32, worker: &str, how: &str) {
        self.note(&format!("{worker} ends {task} run {run}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let row =
            runs.iter_mut().rev().find(|r| r.task == task && r.run == run && r.worker == worker && r.ended.is_none());
        if let Some(row) = row {
            row.ended = Some((now, how.to_owned()));
        }
    }
    pub fn runs(&self) -> Vec<RunRow> {
        self.runs.lock().unwrap().clone()
    }
    pub fn finish(&self) {
        let counts: Vec<(String, usize)> =
            self.counts.lock().unwrap().iter().filter(|(_, c)| **c > 1).map(|(t, c)| (t.clone(), *c)).collect();
        for (text, count) in counts {
            self.note(&format!("{count} times in all: {text}"));
        }
    }
}
