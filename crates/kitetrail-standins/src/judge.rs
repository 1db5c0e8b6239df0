//! Checks the journals of workers and callers for broken promises.

use std::{
    collections::{BTreeMap, HashMap},
    path::{Path, PathBuf},
};

use kitetrail_core::{Attempt, Resources, TaskId};
use serde::de::DeserializeOwned;

use crate::{
    args::JudgeArgs,
    journal::{CallerEntry, WorkerEntry, WorkerEvent},
    server::StandinError,
};

/// The period of a run of a task on a worker.
#[derive(Debug)]
struct Interval {
    worker: PathBuf,
    attempt: Attempt,
    from_ms: u64,
    until_ms: u64,
}

/// The merged contents of the journals of all workers, and the breaches found in them.
#[derive(Debug, Default)]
struct Journals {
    exclusive: BTreeMap<TaskId, Vec<Interval>>,
    completions: BTreeMap<TaskId, u32>,
    executions: HashMap<String, u32>,
    breaches: Vec<String>,
}

/// Prints every breach of a promise. Returns an error if there is any.
pub fn run(args: &JudgeArgs) -> Result<(), StandinError> {
    let mut journals = Journals::default();
    for path in &args.workers {
        journals.add_worker(path, read_entries(path)?);
    }
    journals.check_overlaps();
    for path in &args.callers {
        journals.check_answers(&read_entries::<CallerEntry>(path)?);
    }
    for job in &args.job {
        journals.check_job(job)?;
    }
    for breach in &journals.breaches {
        println!("breach: {breach}");
    }
    let (tasks, executions) = (journals.exclusive.len(), journals.executions.len());
    println!("checked {tasks} exclusive tasks and {executions} requests");
    match journals.breaches.len() {
        0 => Ok(()),
        count => Err(StandinError::PromiseBroken(format!("{count} promises were broken"))),
    }
}

fn read_entries<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, StandinError> {
    let operation = format!("can't read {}", path.display());
    let text =
        std::fs::read_to_string(path).map_err(|cause| StandinError::Io { operation, cause })?;
    let parse = |line: &str| {
        serde_json::from_str(line)
            .map_err(|error| StandinError::Invalid(format!("{}: {error}", path.display())))
    };
    text.lines().map(parse).collect()
}

impl Journals {
    /// Replays the journal of a worker to find the periods of its runs and its resource use over time.
    fn add_worker(&mut self, path: &Path, entries: Vec<WorkerEntry>) {
        let mut capacity = Resources::default();
        let mut running: BTreeMap<(TaskId, Attempt), (Resources, bool, u64)> = BTreeMap::new();
        let mut last_ms = 0;
        for WorkerEntry { at_ms, event } in entries {
            match event {
                WorkerEvent::Boot { capacity: new_capacity } => {
                    capacity = new_capacity;
                    self.end_all_runs(path, &mut running, last_ms);
                }
                WorkerEvent::Start { task, attempt, exclusive, size, .. } => {
                    running.insert((task, attempt), (size, exclusive, at_ms));
                    self.check_capacity(path, &running, &capacity, at_ms);
                }
                WorkerEvent::Stop { task, attempt, done, .. } => {
                    if done {
                        *self.completions.entry(task.clone()).or_default() += 1;
                    }
                    if let Some(run) = running.remove(&(task.clone(), attempt)) {
                        self.end_run(path, task, attempt, run, at_ms);
                    }
                }
                WorkerEvent::Killed => self.end_all_runs(path, &mut running, at_ms),
                WorkerEvent::Execute { request } => {
                    *self.executions.entry(request).or_default() += 1;
                }
            }
            last_ms = at_ms;
        }
        self.end_all_runs(path, &mut running, u64::MAX);
    }

    fn end_all_runs(
        &mut self,
        path: &Path,
        running: &mut BTreeMap<(TaskId, Attempt), (Resources, bool, u64)>,
        until_ms: u64,
    ) {
        for ((task, attempt), run) in std::mem::take(running) {
            self.end_run(path, task, attempt, run, until_ms);
        }
    }

    fn end_run(
        &mut self,
        path: &Path,
        task: TaskId,
        attempt: Attempt,
        (_, exclusive, from_ms): (Resources, bool, u64),
        until_ms: u64,
    ) {
        if exclusive {
            let worker = path.to_owned();
            let interval = Interval { worker, attempt, from_ms, until_ms };
            self.exclusive.entry(task).or_default().push(interval);
        }
    }

    fn check_capacity(
        &mut self,
        path: &Path,
        running: &BTreeMap<(TaskId, Attempt), (Resources, bool, u64)>,
        capacity: &Resources,
        at_ms: u64,
    ) {
        let sizes = running.values().map(|(size, _, _)| size);
        let used = sizes.fold(Resources::default(), |sum, size| sum.saturating_add(size));
        if !used.fits_in(capacity) {
            let worker = path.display();
            let breach = format!("P1: {worker} uses {used} of {capacity} at {at_ms}");
            self.breaches.push(breach);
        }
    }

    fn check_overlaps(&mut self) {
        for (task, runs) in &mut self.exclusive {
            runs.sort_by_key(|run| run.from_ms);
            for pair in runs.windows(2) {
                let [one, other] = pair else { continue };
                if other.from_ms < one.until_ms {
                    self.breaches.push(format!(
                        "P2: {task} attempt {} on {} overlaps attempt {} on {}",
                        one.attempt,
                        one.worker.display(),
                        other.attempt,
                        other.worker.display(),
                    ));
                }
            }
        }
    }

    fn check_answers(&mut self, answers: &[CallerEntry]) {
        for answer in answers {
            let executions = self.executions.get(&answer.request).copied().unwrap_or(0);
            let id = &answer.request;
            let breach = match answer.outcome.as_str() {
                _ if answer.fault.is_some() => format!("P4: {id}: {:?}", answer.fault),
                "not-run" if executions > 0 => {
                    format!("P5: {id} ran but its answer states not-run")
                }
                _ if answer.once && executions > 1 => format!("P6: {id} ran {executions} times"),
                "done" if executions == 0 => {
                    format!("P4: {id} did not run but its answer states done")
                }
                _ => continue,
            };
            self.breaches.push(breach);
        }
    }

    fn check_job(&mut self, job: &str) -> Result<(), StandinError> {
        let invalid_argument = || StandinError::Invalid(format!("`{job}` is not `name:tasks`"));
        let (name, tasks) = job.split_once(':').ok_or_else(invalid_argument)?;
        let tasks: u32 = tasks.parse().map_err(|_| invalid_argument())?;
        for index in 0..tasks {
            let task: TaskId = format!("{name}:{index}").parse().map_err(|_| invalid_argument())?;
            let completions = self.completions.get(&task).copied().unwrap_or(0);
            if completions != 1 {
                self.breaches.push(format!("P3: {task} completed {completions} times"));
            }
        }
        Ok(())
    }
}
