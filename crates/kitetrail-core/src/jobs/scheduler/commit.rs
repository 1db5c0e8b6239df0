//! Group commit: what must outlast every box is sent to the store one batch at a time.

use std::{mem, time::Duration};

use super::{
    super::{
        event::{Action, CancelAnswer, SubmitAnswer},
        job::Job,
        life::LifeNo,
        names::JobId,
        record::{LifeRecord, Outcome, Record},
        worker_entry::WorkerEntry,
    },
    Scheduler,
    pending::{Batch, Taken},
};

/// How long ends of runs may wait for others before they are kept. Workers keep them meanwhile.
const GATHER: Duration = Duration::from_millis(100);
/// How often what was learned of images is kept, beside what must be. It is learned anew within
/// some ten seconds.
const KEEP_EFFECTS_EVERY: Duration = Duration::from_millis(3_000);

impl Scheduler {
    /// Sends a batch if none is on its way and it is time.
    pub(super) fn commit_if_due(&mut self) {
        if self.pending.sent.is_some() {
            return;
        }
        if self.pending.is_empty() {
            // Ends that changed nothing need no record.
            self.note_kept_ends();
        }
        let gathered = self.now.since(self.pending.last_sent_at) >= GATHER;
        if self.pending.confirmation_wanted
            || !self.pending.is_empty() && (self.pending.urgent || gathered)
        {
            self.send_batch();
        }
    }

    /// Takes note that a batch is kept.
    pub(super) fn committed(&mut self, number: u64) {
        let Some(batch) = self.pending.take_sent(number, self.now) else { return };
        for &id in &batch.new_jobs {
            self.note_kept(id);
        }
        for (id, outcome) in batch.outcomes {
            if outcome != Outcome::Open {
                self.note_end_kept(id);
            }
        }
        for no in batch.lives {
            self.note_life_kept(no);
        }
        self.order_kept(batch.starts);
        self.note_kept_ends();
        if !batch.new_jobs.is_empty() && self.overload.starts_per_pass() > 0 {
            let mut pass = self.begin_pass();
            batch.new_jobs.into_iter().for_each(|id| self.place_job(id, &mut pass));
        }
        self.replan = true;
    }

    /// Workers may be told of the ends of which all that they changed is kept.
    fn note_kept_ends(&mut self) {
        for end in self.pending.take_kept_ends() {
            if let Some(life) = self.lives.get_mut(end.life) {
                life.ends_kept = life.ends_kept.max(end.number);
            }
        }
    }

    fn note_kept(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.kept = true;
        let waiters = mem::take(&mut job.submit_waiters);
        let answer = |request| Action::AnswerSubmit(request, SubmitAnswer::Accepted);
        self.out.extend(waiters.into_iter().map(answer));
    }

    /// The end of a job is kept: of the job no more than that is needed from now on.
    fn note_end_kept(&mut self, id: JobId) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        // Handed in and cancelled, and its end was kept before it was.
        let submitted = mem::take(&mut job.submit_waiters).into_iter();
        let accepted = |request| Action::AnswerSubmit(request, SubmitAnswer::Accepted);
        self.out.extend(submitted.map(accepted));
        let answer = |request| Action::AnswerCancel(request, CancelAnswer::Done);
        self.out.extend(job.cancel_waiters.into_iter().map(answer));
        self.insert_ended(id, job.outcome, job.ended_unix_ms);
    }

    fn send_batch(&mut self) {
        let kept_bytes = |id: JobId| self.jobs.get(&id).map_or(0, |job| job.spec.kept_bytes());
        let has_ended = |id: JobId| self.jobs.get(&id).is_some_and(|job| !job.is_open());
        let taken = self.pending.take_batch(kept_bytes, has_ended);
        self.note_lives_sent(&taken.lives);
        let mut records = self.records(&taken);
        if self.now.since(self.pending.effects_at) >= KEEP_EFFECTS_EVERY {
            self.pending.effects_at = self.now;
            records.push(Record::Effects(self.tails.export()));
        }
        let job = |id: &JobId| self.jobs.get(id);
        let outcomes = taken.progress.iter().filter_map(job);
        let outcomes = outcomes.map(|job| (job.id, job.outcome)).collect();
        let starts = self.kept_starts.take(&taken.progress);
        let (new_jobs, lives) = (taken.new_jobs, taken.lives);
        let batch = |number| Batch { number, new_jobs, outcomes, lives, starts };
        let batch = self.pending.note_sent(batch, self.now);
        self.pending.urgent = !taken.complete;
        self.out.push(Action::Commit { batch, records });
    }

    /// What a batch keeps, as rows of the store.
    fn records(&self, taken: &Taken) -> Vec<Record> {
        let job = |id: &JobId| self.jobs.get(id);
        let used = |life: &LifeNo| {
            let life = self.lives.get(*life)?;
            let WorkerEntry { id, incarnation, address, service, .. } = (*life.entry).clone();
            let not_leased = life.sent_not_leased;
            Some(Record::LifeUsed(LifeRecord { id, incarnation, address, service, not_leased }))
        };
        // Of one that ended meanwhile the progress alone is kept.
        let new_jobs = taken.new_jobs.iter().filter_map(job).filter(|job| job.is_open());
        let progress = taken.progress.iter().filter_map(job);
        let dropped = progress.clone().filter(|job| job.kept && !job.is_open()).map(|job| job.id);
        let mut records = Vec::new();
        records.extend(new_jobs.map(Job::record).map(Record::Job));
        records.extend(taken.lives.iter().filter_map(used));
        records.extend(progress.map(Job::progress).map(Record::Progress));
        records.extend(dropped.map(Record::DropJob));
        records.extend(taken.lives_over.iter().cloned().map(Record::LifeOver));
        records.extend(taken.forgotten.iter().copied().map(Record::Forget));
        records
    }
}
