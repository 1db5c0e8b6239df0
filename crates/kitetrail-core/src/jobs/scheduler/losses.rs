//! Tracks the losses of workers of which it is not known whether they crashed.
//!
//! A silent worker may have crashed, or may be cut off, suspended or slow. Once its lease has
//! expired, its runs start elsewhere in any case. Whether it crashed is shown by an answer only:
//! of the same instance, or of another one at its place. Until then its loss is counted against no
//! task. It only limits how often the tasks that may be the cause are started.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    super::{
        crashes::UnresolvedLoss,
        event::Action,
        instance::InstanceNo,
        job::Job,
        log_entry::LogEntry,
        names::{InstanceKey, TaskName},
        worker_entry::WorkerEntry,
    },
    Scheduler,
    crash_attribution::CrashSuspect,
};
use crate::Time;

/// The interval at which the losses of ended jobs are forgotten.
const CLEANING_INTERVAL: Duration = Duration::from_secs(1);

/// The worker instances that may have crashed, with the tasks that may have crashed them.
#[derive(Debug, Default)]
pub(super) struct Losses {
    by_instance: BTreeMap<InstanceKey, LostInstance>,
    /// When the losses of ended jobs were last forgotten.
    cleaned_at: Time,
}

/// A worker instance that may have crashed.
#[derive(Debug)]
struct LostInstance {
    address: String,
    machine: Option<String>,
    lost_at: Time,
    tasks: BTreeSet<TaskName>,
}

impl LostInstance {
    /// Returns whether an instance that answers a request sent at a given time shows that this one
    /// crashed: it has its id, address or machine.
    fn is_replaced_by(&self, key: &InstanceKey, entry: &WorkerEntry, sent_at: Time) -> bool {
        let same_machine = entry.machine.is_some() && entry.machine == self.machine;
        let same_place = self.address == entry.address || same_machine;
        let is_another = *key != entry.key();
        is_another && (key.id == entry.id || same_place) && self.lost_at <= sent_at
    }
}

impl Losses {
    fn record(&mut self, key: &InstanceKey, lost: LostInstance) {
        match self.by_instance.get_mut(key) {
            Some(known) => known.tasks.extend(lost.tasks),
            None => drop(self.by_instance.insert(key.clone(), lost)),
        }
    }

    fn take(&mut self, key: &InstanceKey) -> BTreeSet<TaskName> {
        self.by_instance.remove(key).map(|lost| lost.tasks).unwrap_or_default()
    }
}

/// The workers of earlier owners that have not answered this one until their leases had expired.
///
/// An earlier owner may have started tasks there, and a crash there may be one that it missed.
#[derive(Debug, Default)]
pub(super) struct UnreportedWorkers {
    silent: BTreeSet<InstanceKey>,
    has_crashed: bool,
}

impl UnreportedWorkers {
    /// Returns whether tasks may have been lost there unnoticed.
    pub(super) fn may_hide_losses(&self) -> bool {
        self.has_crashed || !self.silent.is_empty()
    }

    /// Records that the lease of a worker has expired. `never_answered` is whether it has not
    /// answered this owner.
    pub(super) fn record_silent(&mut self, key: &InstanceKey, never_answered: bool) {
        if never_answered {
            self.silent.insert(key.clone());
        }
    }

    /// Records that a worker crashed.
    pub(super) fn record_crashed(&mut self, key: &InstanceKey, never_answered: bool) {
        self.has_crashed |= self.silent.remove(key) || never_answered;
    }

    /// Records that a worker answers. Returns whether nothing can have been lost there any more.
    fn record_answer(&mut self, key: &InstanceKey) -> bool {
        self.silent.remove(key) && !self.may_hide_losses()
    }
}

impl Scheduler {
    /// Records that a worker became silent, or left the list, with runs that may have crashed it.
    pub(super) fn record_losses(&mut self, entry: &WorkerEntry, suspects: Vec<CrashSuspect>) {
        let mut tasks = BTreeSet::new();
        for suspect in suspects {
            if self.record_loss(entry, &suspect) {
                tasks.insert(suspect.task);
            }
        }
        if !tasks.is_empty() {
            self.forget_ended_losses_if_due();
            let (address, machine) = (entry.address.clone(), entry.machine.clone());
            let lost = LostInstance { address, machine, lost_at: self.now, tasks };
            self.losses.record(&entry.key(), lost);
        }
    }

    /// Drops the recorded starts on a worker instance that an earlier owner has removed since.
    ///
    /// It knew what became of the instance, but may have been lost before it stored that it crashed.
    pub(super) fn drop_recorded_starts(&mut self, tasks: &[TaskName]) {
        for &name in tasks {
            let Some(task) = self.task_mut(name) else { continue };
            task.crashes.begun = None;
            task.crashes.may_miss_some = true;
            self.record_task_progress(name);
        }
    }

    /// Restores the losses that an earlier owner stored.
    pub(super) fn restore_losses(&mut self) {
        let now = self.now;
        let losses = self.jobs.values().flat_map(Job::unresolved_losses).collect::<Vec<_>>();
        for (task, loss) in losses {
            let key = loss.instance();
            let tasks = BTreeSet::from([task]);
            let lost = LostInstance { address: loss.address, machine: None, lost_at: now, tasks };
            self.losses.record(&key, lost);
            if let Some(task) = self.task_mut(task) {
                task.begin_proof_wait(now);
            }
        }
    }

    fn record_loss(&mut self, entry: &WorkerEntry, suspect: &CrashSuspect) -> bool {
        let now = self.now;
        let name = suspect.task;
        let Some(job) = self.jobs.get_mut(&name.job).filter(|job| job.is_open()) else {
            return false;
        };
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else { return false };
        let loss = UnresolvedLoss {
            worker: entry.id.clone(),
            incarnation: entry.incarnation,
            address: entry.address.clone(),
            evidence: suspect.evidence,
            ran: suspect.ran,
        };
        task.record_loss(loss, now);
        // The next owner must know of losses that suggest the task. Others are too many to store.
        task.persists_starts |= task.crashes.needs_stored_starts();
        let (persists, losses) = (task.persists_starts, task.crashes.unresolved.len() as u32);
        let waits_ms = task.proof_due_at.map(|due_at| due_at.since(now).as_millis() as u64);
        self.actions.push(Action::Log(LogEntry::LossRecorded {
            task: name,
            worker: entry.id.clone(),
            evidence: suspect.evidence,
            ran: suspect.ran,
            losses,
            waits_ms,
        }));
        if persists {
            self.record_task_progress(name);
        }
        true
    }

    /// Handles an answer of an instance that may have crashed.
    pub(super) fn dismiss_losses_of_answering(&mut self, instance_no: InstanceNo) {
        let nothing_lost =
            self.losses.by_instance.is_empty() && self.unreported_workers.silent.is_empty();
        if let Some(instance) = self.instances.get(instance_no).filter(|_| !nothing_lost) {
            let key = instance.entry.key();
            self.dismiss_losses(&key);
        }
    }

    /// Removes the losses of an instance that has not crashed.
    pub(super) fn dismiss_losses(&mut self, key: &InstanceKey) {
        if self.unreported_workers.record_answer(key) {
            self.dismiss_missed_crashes();
        }
        let tasks = self.losses.take(key);
        if tasks.is_empty() {
            return;
        }
        let (worker, count) = (key.id.clone(), tasks.len() as u32);
        self.actions.push(Action::Log(LogEntry::LossesDismissed { worker, tasks: count }));
        for name in tasks {
            if self.take_loss(name, key).is_some() {
                self.record_task_progress(name);
                self.review_suspicion(name);
            }
        }
    }

    /// Takes back that the previous owner may have missed crashes: all of its workers answered.
    fn dismiss_missed_crashes(&mut self) {
        let mut changed = BTreeSet::new();
        for job in self.jobs.values_mut().filter(|job| job.is_open()) {
            let dismissed = job.dismiss_missed_crashes();
            job.may_have_waiting_tasks |= !dismissed.is_empty();
            changed.extend(dismissed);
        }
        changed.into_iter().for_each(|name| self.record_task_progress(name));
        self.placement_needed = true;
    }

    /// Counts the crash of an instance that had been lost, now that it is proved.
    pub(super) fn confirm_losses(&mut self, key: &InstanceKey, why: &'static str) {
        for name in self.losses.take(key) {
            if let Some(UnresolvedLoss { evidence, ran, .. }) = self.take_loss(name, key) {
                self.record_crash(key, vec![CrashSuspect { task: name, evidence, ran }], why);
                self.review_suspicion(name);
            }
        }
    }

    /// Counts the crashes of lost instances at whose place another one answered a poll sent at a
    /// given time.
    pub(super) fn confirm_losses_at_place(&mut self, instance_no: InstanceNo, sent_at: Time) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let entry = Arc::clone(&instance.entry);
        let lost = self.losses.by_instance.iter();
        let replaced = lost.filter(|(key, lost)| lost.is_replaced_by(key, &entry, sent_at));
        for key in replaced.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.confirm_losses(&key, "a later instance answers at its place");
        }
    }

    /// Removes the loss of an instance from a task.
    fn take_loss(&mut self, name: TaskName, key: &InstanceKey) -> Option<UnresolvedLoss> {
        let job = self.jobs.get_mut(&name.job).filter(|job| job.is_open())?;
        job.task_mut(name).filter(|task| !task.done)?.crashes.take_loss(key)
    }

    /// Updates what follows from the losses of a task, after some of them were resolved.
    fn review_suspicion(&mut self, name: TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.may_have_waiting_tasks = true;
        if let Some(task) = job.task_mut(name) {
            task.review_suspicion();
        }
        self.placement_needed = true;
    }

    /// Forgets the losses of jobs that have ended.
    fn forget_ended_losses_if_due(&mut self) {
        if self.now.since(self.losses.cleaned_at) < CLEANING_INTERVAL {
            return;
        }
        self.losses.cleaned_at = self.now;
        let jobs = &self.jobs;
        let is_open = |task: &TaskName| jobs.get(&task.job).is_some_and(Job::is_open);
        self.losses.by_instance.retain(|_, lost| lost.tasks.iter().any(is_open));
    }
}
