//! The promises, checked on what workers really do.

use std::collections::BTreeMap;

use kitetrail_core::{TaskId, placement::Placer, task::SpecKind};
use kitetrail_standins::journal::WorkerEvent;

use super::World;

impl<P: Placer + Clone> World<P> {
    pub(super) fn collect_events(&mut self, worker: usize) {
        for (_, event) in self.workers[worker].model.take_events() {
            match event {
                WorkerEvent::Start { task, attempt, resume_ms, .. } => {
                    self.note(format!(
                        "worker-{worker} starts {task} attempt {attempt} from {resume_ms}"
                    ));
                    let count = self.started.entry((task.clone(), attempt)).or_default();
                    *count += 1;
                    assert!(
                        *count == 1,
                        "P3: {task} attempt {attempt} started twice\n{}",
                        self.log
                    );
                }
                WorkerEvent::Stop { task, attempt, done, checkpoint_ms, lost_ms } => {
                    self.lost_ms += lost_ms;
                    let how = if done { "ends" } else { "stops" };
                    self.note(format!(
                        "worker-{worker} {how} {task} attempt {attempt} at {checkpoint_ms}"
                    ));
                    if done {
                        *self.completed.entry(task).or_default() += 1;
                    }
                }
                WorkerEvent::Boot { .. } | WorkerEvent::Killed | WorkerEvent::Execute { .. } => {}
            }
        }
    }

    /// P1 and P2, on what workers really do.
    pub(super) fn check(&self) {
        let mut places: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let given = worker.model.given();
            assert!(
                given.fits_in(&worker.settings.capacity),
                "P1: worker-{number} was given {given}\n{}",
                self.log
            );
            if worker.paused {
                continue;
            }
            for (task, _, kind) in worker.model.running_tasks() {
                if kind != SpecKind::Service && places.insert(task, number).is_some() {
                    panic!("P2: {task} runs twice at {}\n{}", self.now_ms - 1_000, self.log);
                }
            }
        }
    }
}
