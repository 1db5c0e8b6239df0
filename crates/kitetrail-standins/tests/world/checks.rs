//! Checks the promises against the tasks that workers actually run.

use std::collections::BTreeMap;

use kitetrail_core::{TaskId, placement::Placer, task::SpecKind};
use kitetrail_standins::journal::WorkerEvent;

use super::Simulation;

impl<P: Placer + Clone> Simulation<P> {
    pub(super) fn collect_events(&mut self, worker: usize) {
        for (_, event) in self.workers[worker].model.take_events() {
            match event {
                WorkerEvent::Start { task, attempt, resume_ms, .. } => {
                    self.log_line(format!(
                        "worker-{worker} starts {task} attempt {attempt} from {resume_ms}"
                    ));
                    let count = self.start_counts.entry((task.clone(), attempt)).or_default();
                    *count += 1;
                    assert!(
                        *count == 1,
                        "P3: {task} attempt {attempt} started twice\n{}",
                        self.log
                    );
                }
                WorkerEvent::Stop { task, attempt, done, checkpoint_ms, lost_ms } => {
                    self.lost_ms += lost_ms;
                    let verb = if done { "ends" } else { "stops" };
                    self.log_line(format!(
                        "worker-{worker} {verb} {task} attempt {attempt} at {checkpoint_ms}"
                    ));
                    if done {
                        *self.completion_counts.entry(task).or_default() += 1;
                    }
                }
                WorkerEvent::Boot { .. } | WorkerEvent::Killed | WorkerEvent::Execute { .. } => {}
            }
        }
    }

    /// Checks promises P1 and P2 against the tasks that workers actually run.
    pub(super) fn check(&self) {
        let mut places: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let used = worker.model.given();
            assert!(
                used.fits_in(&worker.settings.capacity),
                "P1: the tasks of worker-{number} use {used}, more than its capacity\n{}",
                self.log
            );
            if worker.paused {
                continue;
            }
            for (task, _, kind) in worker.model.running_tasks() {
                if kind != SpecKind::Service && places.insert(task, number).is_some() {
                    panic!("P2: {task} runs twice at {} ms\n{}", self.now_ms - 1_000, self.log);
                }
            }
        }
    }
}
