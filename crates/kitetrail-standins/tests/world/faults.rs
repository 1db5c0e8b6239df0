//! What can be made to go wrong in the world.

use kitetrail_core::{fleet::Liveness, placement::Placer, shard::Event};
use kitetrail_standins::worker::WorkerModel;

use super::{World, new_shard};

impl<P: Placer + Clone> World<P> {
    pub fn kill_owner(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.note(format!("box-{node} is killed"));
    }

    pub fn restart_owner(&mut self, node: usize) {
        let run = self.nodes[node].run + 1;
        let shard = new_shard(&self.shard, node, run, &self.settings, self.placer.clone());
        let node_state = &mut self.nodes[node];
        node_state.shard = shard;
        node_state.run = run;
        node_state.alive = true;
        node_state.paused = false;
        node_state.open.clear();
        node_state.held.clear();
        self.introduce(node);
        self.note(format!("box-{node} starts again"));
    }

    pub fn pause_owner(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.note(format!("box-{node} freezes"));
    }

    /// Thaws a box. All that arrived meanwhile is delivered at once.
    pub fn thaw_owner(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.note(format!("box-{node} thaws"));
        for message in std::mem::take(&mut self.nodes[node].held) {
            self.deliver(message);
        }
    }

    pub fn drain_owner(&mut self, node: usize) {
        self.note(format!("box-{node} is told to stop"));
        self.drive(node, Event::Stop);
    }

    pub fn cut(&mut self, node: usize, worker: usize) {
        self.nodes[node].cut_workers.insert(worker);
        self.note(format!("box-{node} and worker-{worker} are cut"));
    }

    /// Loses all answers of a worker to a box; its requests still arrive.
    pub fn mute(&mut self, node: usize, worker: usize) {
        self.nodes[node].muted_workers.insert(worker);
        self.note(format!("answers of worker-{worker} to box-{node} are lost"));
    }

    pub fn cut_table(&mut self, node: usize, cut: bool) {
        self.nodes[node].cut_table = cut;
        self.note(format!(
            "box-{node} is {} the table",
            if cut { "cut from" } else { "joined to" }
        ));
    }

    pub fn join(&mut self, node: usize) {
        self.nodes[node].cut_workers.clear();
        self.nodes[node].muted_workers.clear();
        self.note(format!("box-{node} reaches all workers"));
    }

    /// Freezes or thaws a worker with all that runs on it. The first thing a thawed
    /// worker does is to look at its leases.
    pub fn pause_worker(&mut self, worker: usize, paused: bool) {
        let state = &mut self.workers[worker];
        state.paused = paused;
        if !paused {
            state.model.advance(self.now_ms + state.clock_offset_ms);
            self.collect_events(worker);
        }
        self.note(format!("worker-{worker} {}", if paused { "freezes" } else { "thaws" }));
    }

    /// Kills a worker and all that runs on it, and starts it anew.
    pub fn restart_worker(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.workers[worker];
        state.boots += 1;
        let boot = worker as u64 * 1_000 + state.boots;
        state.model =
            WorkerModel::new(state.settings.clone(), boot, now_ms + state.clock_offset_ms);
        self.note(format!("worker-{worker} restarts"));
    }

    /// Makes a worker fail every task from now on.
    pub fn break_worker(&mut self, worker: usize) {
        self.workers[worker].settings.fail_tasks = true;
        self.restart_worker(worker);
    }

    pub fn set_worker_state(&mut self, worker: usize, state: Liveness) {
        self.infos[worker].state = state;
        for node in 0..self.nodes.len() {
            self.drive(node, Event::FleetUpdated(self.infos.clone()));
        }
        self.note(format!("the box list has worker-{worker} as {state:?}"));
    }

    /// Tells all boxes the time of day.
    pub fn set_unix_time(&mut self, unix_ms: u64) {
        for node in 0..self.nodes.len() {
            self.drive(node, Event::UnixTime(unix_ms));
        }
    }
}
