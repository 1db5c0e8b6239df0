//! Read access to the state of the simulation.

use kitetrail_core::{
    Attempt, SpecName,
    placement::Placer,
    table::{KeyPrefix, Record},
    task::TaskRow,
};

use super::Simulation;

impl<P: Placer + Clone> Simulation<P> {
    /// Returns the number of completions on workers of each task of a spec that has completed.
    pub fn completions(&self, spec: &str) -> Vec<u32> {
        let tasks_of_spec =
            self.completion_counts.iter().filter(|(task, _)| task.spec.as_str() == spec);
        tasks_of_spec.map(|(_, count)| *count).collect()
    }

    /// Returns the total work of all tasks that completed, in milliseconds.
    pub fn completed_work_ms(&mut self) -> u64 {
        let completion_counts = self.completion_counts.clone();
        let rows = self.task_rows();
        let done = rows.iter().filter(|row| completion_counts.contains_key(&row.id));
        done.map(|row| row.spec.expected_run_ms).sum()
    }

    /// Returns the rows of all tasks in the table.
    pub fn task_rows(&mut self) -> Vec<TaskRow> {
        let rows = self.table.scan(KeyPrefix::tasks(&self.shard).as_str());
        let rows = rows.into_iter().map(|row| serde_json::from_value(row.record).unwrap());
        rows.filter_map(|record| match record {
            Record::Task(row) => Some(row),
            _ => None,
        })
        .collect()
    }

    /// Returns the running attempts of a task, each with the number of its worker.
    pub fn running_attempts(&self, task: &str) -> Vec<(usize, Attempt)> {
        let mut attempts = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (running, attempt, _) in worker.model.running_tasks() {
                if running.to_string() == task {
                    attempts.push((number, attempt));
                }
            }
        }
        attempts
    }

    /// Returns the current slowdown of a service on each worker that serves it. The slowdown of
    /// an undisturbed service is 1.
    pub fn slowdowns(&self, service: &SpecName) -> Vec<f64> {
        let serving = self.workers.iter().filter(|worker| worker.model.serves(service));
        serving.map(|worker| worker.model.slowdown_of(service)).collect()
    }

    /// Returns the first box that considers itself the owner of the shard.
    pub fn owner(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.alive && node.shard.is_owner())
    }

    pub fn commits(&self) -> u64 {
        self.table.commits
    }

    pub fn rows_written(&self) -> u64 {
        self.table.rows_written
    }

    /// Returns the number of submitted and cancelled specs.
    pub fn submissions(&self) -> u64 {
        self.change_count
    }

    /// Returns the number of attempts that started, over all tasks.
    pub fn start_count(&self) -> usize {
        self.start_counts.len()
    }
}
