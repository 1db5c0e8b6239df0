//! Applies configuration revisions and evaluates their policies.

use std::collections::BTreeSet;

use kitetrail_core::{
    config::Revision,
    shard::Shard,
    table::{Record, RowKey},
};
use kitetrail_platform::TableService;
use kitetrail_policy::{Program, TaskFacts, evaluate};

use super::Control;
use crate::control::{ControlMessage, operations::revision_from_row};

impl Control {
    /// Reads the revision in force from the table.
    pub(super) fn read_configuration(&self) {
        let (table, sender) = (self.table.clone(), self.sender.clone());
        let known_number = self.configuration.number();
        let report_missing = !self.configuration_known;
        tokio::task::spawn_local(async move {
            let head = match table.read(&RowKey::config_head()).await {
                Ok(head) => head,
                Err(error) => return log::debug!("config: the head can't be read: {error}"),
            };
            let number = match head.map(|row| row.record) {
                Some(Record::ConfigHead { revision }) => revision,
                _ if report_missing => {
                    let _ = sender.send(ControlMessage::Configuration(None)).await;
                    return;
                }
                _ => return,
            };
            if number <= known_number {
                return;
            }
            match table.read(&RowKey::config_revision(number)).await {
                Ok(row) => {
                    let revision = row.and_then(revision_from_row);
                    let _ = sender.send(ControlMessage::Configuration(revision)).await;
                }
                Err(error) => log::debug!("config: revision {number} can't be read: {error}"),
            }
        });
    }

    pub(super) fn apply_configuration(&mut self, revision: Option<Revision>) {
        self.configuration_known = true;
        let Some(revision) = revision else { return };
        let (number, author) = (revision.number, revision.author.clone());
        if self.configuration.apply_if_newer(revision) {
            log::info!("config: revision {number} by {author} is in force");
            self.refresh_policy();
        }
    }

    /// Reevaluates the policy if it changed or if there are tasks for which it was not evaluated.
    pub(super) fn refresh_policy(&mut self) {
        let number = self.configuration.number();
        if self.program.as_ref().is_none_or(|(compiled, _)| *compiled != number) {
            let text = self
                .configuration
                .revision()
                .map(|revision| revision.configuration.policy.as_str());
            match Program::compile(text.unwrap_or_default()) {
                Ok(program) => self.program = Some((number, program)),
                Err(error) => return log::error!("policy: revision {number}: {error}"),
            }
        }
        let specs = self.shards.values().flat_map(Shard::specs);
        let tasks: BTreeSet<TaskFacts> = specs.map(TaskFacts::from).collect();
        if self.policy.revision == number && tasks == self.policy_tasks {
            return;
        }
        let Some((_, program)) = &self.program else { return };
        let evaluation = evaluate(program, number, &tasks, &self.policy);
        for fault in evaluation.faults {
            log::warn!("policy: revision {number}: {fault}");
            self.metrics.record_policy_fault(fault.function);
        }
        self.policy = evaluation.table;
        if let Some(revision) = self.configuration.revision() {
            self.policy.quotas = revision.configuration.quotas.clone();
        }
        self.policy_tasks = tasks;
        for shard in self.shards.values_mut() {
            shard.set_policy(self.policy.clone());
        }
    }
}
