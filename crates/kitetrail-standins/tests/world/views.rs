//! What can be seen of the world.

use kitetrail_core::{
    Attempt, SpecName,
    placement::Placer,
    table::{KeyPrefix, Record},
    task::TaskRow,
};

use super::World;

impl<P: Placer + Clone> World<P> {
    /// How many tasks of a spec ran to their end, as workers saw it.
    pub fn completions(&self, spec: &str) -> Vec<u32> {
        let of_spec = self.completed.iter().filter(|(task, _)| task.spec.as_str() == spec);
        of_spec.map(|(_, count)| *count).collect()
    }

    /// The work of all tasks that ran to their end, in milliseconds.
    pub fn done_work_ms(&mut self) -> u64 {
        let completed = self.completed.clone();
        let rows = self.rows();
        let done = rows.iter().filter(|row| completed.contains_key(&row.id));
        done.map(|row| row.spec.expected_run_ms).sum()
    }

    /// The rows of all tasks in the table.
    pub fn rows(&mut self) -> Vec<TaskRow> {
        let rows = self.table.scan(KeyPrefix::tasks(&self.shard).as_str());
        let rows = rows.into_iter().map(|row| serde_json::from_value(row.record).unwrap());
        rows.filter_map(|record| match record {
            Record::Task(row) => Some(row),
            _ => None,
        })
        .collect()
    }

    /// The run of a task and the worker where it runs now.
    pub fn where_runs(&self, task: &str) -> Vec<(usize, Attempt)> {
        let mut places = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (running, attempt, _) in worker.model.running_tasks() {
                if running.to_string() == task {
                    places.push((number, attempt));
                }
            }
        }
        places
    }

    /// How much slower than alone a service runs now, on each worker that serves it.
    pub fn slowdowns(&self, service: &SpecName) -> Vec<f64> {
        let serving = self.workers.iter().filter(|worker| worker.model.serves(service));
        serving.map(|worker| worker.model.slowdown_of(service)).collect()
    }

    /// The box that owns the shard, as it sees itself.
    pub fn owner(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.alive && node.shard.is_owner())
    }

    pub fn commits(&self) -> u64 {
        self.table.commits
    }

    pub fn rows_written(&self) -> u64 {
        self.table.rows_written
    }

    /// How many specs were submitted or cancelled.
    pub fn submissions(&self) -> u64 {
        self.changes
    }

    /// How often any task started.
    pub fn starts(&self) -> usize {
        self.started.len()
    }
}
