//! Group commit: what must outlast every box, gathered into one batch at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    super::{
        event::{Action, CancelAnswer, SubmitAnswer},
        job::Job,
        life::LifeNo,
        names::{JobId, LifeId},
        record::{LifeRecord, Outcome, Record},
    },
    Scheduler,
    place::Full,
};
use crate::Time;

/// The most records of a batch: the store takes 100 entries a transaction and the owner's own
/// rows need a few of them. A job that is forgotten takes two.
const MAX_RECORDS: usize = 45;
/// How long ends of runs may wait for others before they are kept. Workers keep them meanwhile.
const GATHER: Duration = Duration::from_millis(100);

/// A store that takes so long over a batch is taken for stuck: jobs are refused at once, with when to
/// come back. It takes 5 ms, and 300 when it is slow.
const STUCK_AFTER: Duration = Duration::from_millis(700);
/// How often what was learned of images is kept, beside what must be. It is learned anew within
/// some ten seconds.
const KEEP_EFFECTS_EVERY: Duration = Duration::from_millis(3_000);

/// What waits to be kept for good.
#[derive(Debug, Default)]
pub(super) struct Pending {
    new_jobs: BTreeSet<JobId>,
    progress: BTreeSet<JobId>,
    forgotten: BTreeSet<JobId>,
    new_lives: BTreeSet<LifeNo>,
    lives_over: BTreeSet<LifeId>,
    urgent: bool,
    /// Lives with ends that are taken note of but not kept.
    unkept_ends: BTreeSet<LifeNo>,
    /// When what was learned of images was kept last.
    effects_at: Time,
    next_batch: u64,
    sent: Option<Batch>,
    last_sent_at: Time,
}

/// What a batch on its way will have settled.
#[derive(Debug)]
struct Batch {
    number: u64,
    new_jobs: Vec<JobId>,
    outcomes: Vec<(JobId, Outcome)>,
    lives: Vec<LifeNo>,
    ends_kept: BTreeMap<LifeNo, u64>,
}

impl Pending {
    pub(super) fn add_job(&mut self, id: JobId) {
        self.new_jobs.insert(id);
        self.urgent = true;
    }

    /// Some task ended: to be kept soon.
    pub(super) fn note(&mut self, id: JobId) {
        self.progress.insert(id);
    }

    /// The job ended: to be kept at once.
    pub(super) fn note_urgent(&mut self, id: JobId) {
        self.progress.insert(id);
        self.urgent = true;
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.progress.remove(&id);
        self.forgotten.insert(id);
    }

    pub(super) fn add_life(&mut self, life: LifeNo) {
        self.new_lives.insert(life);
        self.urgent = true;
    }

    pub(super) fn end_life(&mut self, life: LifeNo, id: LifeId) {
        self.unkept_ends.remove(&life);
        if !self.new_lives.remove(&life) {
            self.lives_over.insert(id);
        }
    }

    pub(super) fn note_ends(&mut self, life: LifeNo) {
        self.unkept_ends.insert(life);
    }

    /// Whether the store takes too long over what was sent to it.
    pub(super) fn is_stuck(&self, now: Time) -> bool {
        self.sent.is_some() && now.since(self.last_sent_at) >= STUCK_AFTER
    }

    /// Takes back the jobs that were not sent: they certainly are not kept.
    pub(super) fn take_unsent(&mut self) -> Vec<JobId> {
        let unsent = std::mem::take(&mut self.new_jobs);
        for id in &unsent {
            self.progress.remove(id);
        }
        unsent.into_iter().collect()
    }

    fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.progress.is_empty()
            && self.forgotten.is_empty()
            && self.new_lives.is_empty()
            && self.lives_over.is_empty()
    }
}

impl Scheduler {
    /// Sends a batch if none is on its way and it is time.
    pub(super) fn commit_if_due(&mut self) {
        if self.pending.sent.is_some() {
            return;
        }
        if self.pending.is_empty() {
            // Ends that changed nothing need no record.
            for life in std::mem::take(&mut self.pending.unkept_ends) {
                let Some(life) = self.lives.get_mut(&life) else { continue };
                life.ends_kept = life.ends_seen;
            }
            return;
        }
        if self.pending.urgent || self.now.since(self.pending.last_sent_at) >= GATHER {
            self.send_batch();
        }
    }

    pub(super) fn committed(&mut self, number: u64) {
        let Some(batch) = self.pending.sent.take_if(|batch| batch.number == number) else { return };
        for &id in &batch.new_jobs {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.kept = true;
            let waiters = std::mem::take(&mut job.submit_waiters);
            let answer = |request| Action::AnswerSubmit(request, SubmitAnswer::Accepted);
            self.out.extend(waiters.into_iter().map(answer));
        }
        for (id, outcome) in batch.outcomes {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.kept_outcome = outcome;
            if outcome != Outcome::Open {
                let waiters = std::mem::take(&mut job.cancel_waiters);
                let answer = |request| Action::AnswerCancel(request, CancelAnswer::Done);
                self.out.extend(waiters.into_iter().map(answer));
            }
        }
        for life in batch.lives {
            if let Some(life) = self.lives.get_mut(&life) {
                life.recorded = true;
            }
        }
        for (life, kept) in batch.ends_kept {
            if let Some(life) = self.lives.get_mut(&life) {
                life.ends_kept = life.ends_kept.max(kept);
            }
        }
        for id in batch.new_jobs {
            self.place_job(id, &mut Full::default());
        }
        self.replan = true;
    }

    fn send_batch(&mut self) {
        let mut room = MAX_RECORDS;
        let new_jobs = take_some(&mut self.pending.new_jobs, &mut room);
        let lives = take_some(&mut self.pending.new_lives, &mut room);
        let progress = take_some(&mut self.pending.progress, &mut room);
        let lives_over = take_some(&mut self.pending.lives_over, &mut room);
        let forgotten = take_some(&mut self.pending.forgotten, &mut room);
        let complete = self.pending.is_empty();
        let ends_kept = match complete {
            true => std::mem::take(&mut self.pending.unkept_ends),
            false => BTreeSet::new(),
        };
        let ends_kept = ends_kept
            .into_iter()
            .filter_map(|life| self.lives.get(&life).map(|there| (life, there.ends_seen)));
        let ends_kept = ends_kept.collect();
        let job = |id: &JobId| self.jobs.get(id);
        let outcomes = progress.iter().filter_map(job).map(|job| (job.id, job.outcome)).collect();
        let used = |life: &LifeNo| {
            self.lives.get(life).map(|life| {
                Record::LifeUsed(LifeRecord {
                    id: life.id().clone(),
                    address: life.entry.address.clone(),
                    service: life.entry.service.clone(),
                })
            })
        };
        let mut records = Vec::new();
        records.extend(new_jobs.iter().filter_map(job).map(Job::record).map(Record::Job));
        records.extend(lives.iter().filter_map(used));
        records.extend(progress.iter().filter_map(job).map(Job::progress).map(Record::Progress));
        records.extend(lives_over.into_iter().map(Record::LifeOver));
        records.extend(forgotten.into_iter().map(Record::Forget));
        if self.now.since(self.pending.effects_at) >= KEEP_EFFECTS_EVERY {
            self.pending.effects_at = self.now;
            records.push(Record::Effects(self.tails.export()));
        }
        let number = self.pending.next_batch;
        self.pending.next_batch += 1;
        self.pending.last_sent_at = self.now;
        self.pending.urgent = !complete;
        self.pending.sent = Some(Batch { number, new_jobs, outcomes, lives, ends_kept });
        self.out.push(Action::Commit { batch: number, records });
    }
}

fn take_some<T: Ord + Clone>(from: &mut BTreeSet<T>, room: &mut usize) -> Vec<T> {
    let mut taken = Vec::new();
    while *room > 0 {
        let Some(first) = from.pop_first() else { break };
        taken.push(first);
        *room -= 1;
    }
    taken
}
