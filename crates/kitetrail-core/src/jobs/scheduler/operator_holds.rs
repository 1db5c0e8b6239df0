//! Applies the operators' rows of workers: nothing starts on a worker that they took out of use.

use std::mem;

use super::{
    super::{instance::InstanceNo, operator_rows::OperatorRows},
    Scheduler,
};

impl Scheduler {
    /// Replaces the operators' rows.
    pub(super) fn set_operator_rows(&mut self, rows: OperatorRows) {
        if self.operator_rows == rows {
            return;
        }
        self.operator_rows = rows;
        for instance_no in self.instances.numbers() {
            self.update_hold(instance_no);
        }
        self.placement_needed = true;
    }

    /// Updates whether operators took a worker out of use. Starts that have not left are cancelled.
    pub(super) fn update_hold(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let hold = self.operator_rows.hold_of(&instance.entry);
        let before = mem::replace(&mut instance.hold, hold);
        if hold == before {
            return;
        }
        if before.is_none() {
            self.cancel_unsent_starts(instance_no);
        }
        let state = hold.map_or("released by operators", |hold| hold.state());
        self.log_worker_state(instance_no, state);
    }
}
