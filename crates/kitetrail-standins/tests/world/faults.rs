//! The faults that a test can inject into the simulation.

use kitetrail_core::{fleet::Liveness, placement::Placer, shard::Event};
use kitetrail_standins::worker::WorkerModel;

use super::{Simulation, new_shard};

impl<P: Placer + Clone> Simulation<P> {
    pub fn kill_box(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.log_line(format!("box-{node} is killed"));
    }

    pub fn restart_box(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let shard = new_shard(&self.shard, node, incarnation, &self.settings, self.placer.clone());
        let node_state = &mut self.nodes[node];
        node_state.shard = shard;
        node_state.incarnation = incarnation;
        node_state.alive = true;
        node_state.paused = false;
        node_state.pending_requests.clear();
        node_state.undelivered.clear();
        self.send_initial_events(node);
        self.log_line(format!("box-{node} starts again"));
    }

    pub fn pause_box(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.log_line(format!("box-{node} pauses"));
    }

    /// Resumes a paused box and delivers all messages that arrived meanwhile.
    pub fn resume_box(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.log_line(format!("box-{node} resumes"));
        for message in std::mem::take(&mut self.nodes[node].undelivered) {
            self.deliver(message);
        }
    }

    pub fn drain_box(&mut self, node: usize) {
        self.log_line(format!("box-{node} drains"));
        self.handle_event(node, Event::Stop);
    }

    pub fn disconnect_worker(&mut self, node: usize, worker: usize) {
        self.nodes[node].disconnected_workers.insert(worker);
        self.log_line(format!("box-{node} is disconnected from worker-{worker}"));
    }

    /// Drops all replies of a worker to a box. Requests of the box still reach the worker.
    pub fn drop_replies(&mut self, node: usize, worker: usize) {
        self.nodes[node].workers_with_lost_replies.insert(worker);
        self.log_line(format!("replies of worker-{worker} to box-{node} are lost"));
    }

    pub fn set_table_disconnected(&mut self, node: usize, disconnected: bool) {
        self.nodes[node].table_disconnected = disconnected;
        self.log_line(format!(
            "box-{node} is {} the table",
            if disconnected { "disconnected from" } else { "connected to" }
        ));
    }

    pub fn reconnect_workers(&mut self, node: usize) {
        self.nodes[node].disconnected_workers.clear();
        self.nodes[node].workers_with_lost_replies.clear();
        self.log_line(format!("box-{node} is connected to all workers"));
    }

    /// Pauses or resumes a worker and the tasks that run on it. A resumed worker checks its
    /// leases before it handles any message.
    pub fn set_worker_paused(&mut self, worker: usize, paused: bool) {
        let state = &mut self.workers[worker];
        state.paused = paused;
        if !paused {
            state.model.advance(self.now_ms + state.clock_offset_ms);
            self.collect_events(worker);
        }
        self.log_line(format!("worker-{worker} {}", if paused { "pauses" } else { "resumes" }));
    }

    /// Restarts a worker, which kills all tasks that run on it.
    pub fn restart_worker(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.workers[worker];
        state.boots += 1;
        let boot = worker as u64 * 1_000 + state.boots;
        state.model =
            WorkerModel::new(state.settings.clone(), boot, now_ms + state.clock_offset_ms);
        self.log_line(format!("worker-{worker} restarts"));
    }

    /// Restarts a worker so that it fails every task from now on.
    pub fn make_worker_fail_tasks(&mut self, worker: usize) {
        self.workers[worker].settings.fail_tasks = true;
        self.restart_worker(worker);
    }

    pub fn set_worker_state(&mut self, worker: usize, state: Liveness) {
        self.worker_infos[worker].state = state;
        for node in 0..self.nodes.len() {
            self.handle_event(node, Event::FleetUpdated(self.worker_infos.clone()));
        }
        self.log_line(format!("the box list shows worker-{worker} as {state:?}"));
    }

    /// Sets the time of day of all boxes, in milliseconds since 1970.
    pub fn set_unix_time(&mut self, unix_ms: u64) {
        for node in 0..self.nodes.len() {
            self.handle_event(node, Event::UnixTime(unix_ms));
        }
    }
}
