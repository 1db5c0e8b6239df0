//! What waits to be kept for good, and the batch of it that is on its way.

use std::{
    collections::{BTreeMap, BTreeSet},
    iter, mem,
    time::Duration,
};

use super::{
    super::{
        life::LifeNo,
        names::{JobId, LifeId},
        record::Outcome,
    },
    unique_queue::UniqueQueue,
};
use crate::Time;

/// The most records of a batch: the store takes 100 entries a transaction and the owner's own
/// rows need a few of them. A job that ended takes two, and one that is new may.
const MAX_RECORDS: usize = 45;
/// The most bytes of new jobs in a batch. The store takes 1 MB a transaction, in which each byte
/// becomes 1.4; half of the rest is left to other records.
const MAX_JOB_BYTES_OF_BATCH: usize = 350_000;
/// A store that takes so long over a batch is taken for stuck: jobs are refused at once, with when
/// to come back. It takes 5 ms, and 300 when it is slow.
const STUCK_AFTER: Duration = Duration::from_millis(700);

/// What waits to be kept for good.
#[derive(Debug, Default)]
pub(super) struct Pending {
    new_jobs: UniqueQueue<JobId>,
    /// Jobs that ended. Callers who cancelled them wait.
    ended: UniqueQueue<JobId>,
    /// Other jobs with something new.
    ///
    /// What waits longest goes first, here as above. In the order of their ids instead, jobs of high ids are
    /// passed over for as long as the store is behind: of 200 jobs number 100 waits for more than 5 s.
    progress: UniqueQueue<JobId>,
    forgotten: BTreeSet<JobId>,
    new_lives: BTreeSet<LifeNo>,
    lives_over: BTreeSet<LifeId>,
    /// Something is to be kept at once.
    pub(super) urgent: bool,
    /// Lives with ends that are taken note of but not kept.
    pub(super) unkept_ends: BTreeSet<LifeNo>,
    /// When what was learned of images was kept last.
    pub(super) effects_at: Time,
    next_batch: u64,
    pub(super) sent: Option<Batch>,
    pub(super) last_sent_at: Time,
}

/// What a batch on its way will have settled.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) new_jobs: Vec<JobId>,
    pub(super) outcomes: Vec<(JobId, Outcome)>,
    pub(super) lives: Vec<LifeNo>,
    pub(super) ends_kept: BTreeMap<LifeNo, u64>,
}

/// What one batch keeps.
#[derive(Debug)]
pub(super) struct Taken {
    pub(super) new_jobs: Vec<JobId>,
    pub(super) lives: Vec<LifeNo>,
    pub(super) progress: Vec<JobId>,
    pub(super) lives_over: Vec<LifeId>,
    pub(super) forgotten: Vec<JobId>,
    /// Lives all of whose ends are kept with this batch.
    pub(super) ends: BTreeSet<LifeNo>,
    /// Nothing else waits to be kept.
    pub(super) complete: bool,
}

impl Pending {
    /// Takes as much as a batch holds, what is most urgent first.
    ///
    /// `kept_bytes` tells how much of the batch a new job takes.
    pub(super) fn take_batch(&mut self, kept_bytes: impl Fn(JobId) -> usize) -> Taken {
        let mut room = MAX_RECORDS;
        let new_jobs = self.take_new_jobs(&mut room, kept_bytes);
        let lives = take_some(&mut self.new_lives, &mut room);
        // What is known of a new job goes with it: its caller is told that it is kept.
        let with_new = new_jobs.iter().copied().filter(|&id| self.remove_progress(id));
        let mut progress = with_new.collect::<Vec<_>>();
        progress.extend(self.take_ended(&mut room));
        progress.extend(take_first(&mut self.progress, &mut room));
        let lives_over = take_some(&mut self.lives_over, &mut room);
        let forgotten = take_some(&mut self.forgotten, &mut room);
        let complete = self.is_empty();
        let ends = if complete { mem::take(&mut self.unkept_ends) } else { BTreeSet::new() };
        Taken { new_jobs, lives, progress, lives_over, forgotten, ends, complete }
    }

    fn take_new_jobs(
        &mut self,
        room: &mut usize,
        kept_bytes: impl Fn(JobId) -> usize,
    ) -> Vec<JobId> {
        let (mut taken, mut bytes) = (Vec::new(), 0);
        while *room > 0 && bytes < MAX_JOB_BYTES_OF_BATCH {
            let Some(first) = self.new_jobs.pop() else { break };
            bytes += kept_bytes(first);
            taken.push(first);
            *room -= 1;
        }
        taken
    }

    fn take_ended(&mut self, room: &mut usize) -> Vec<JobId> {
        let taken = take_first(&mut self.ended, room);
        for id in &taken {
            self.progress.remove(id);
        }
        taken
    }

    /// Removes a job from those with something new; whether there was any.
    fn remove_progress(&mut self, id: JobId) -> bool {
        // Not `||`: it may wait in both.
        self.progress.remove(&id) | self.ended.remove(&id)
    }

    /// Takes note that a batch leaves, and returns its number.
    pub(super) fn note_sent(&mut self, batch: impl FnOnce(u64) -> Batch, now: Time) -> u64 {
        let number = self.next_batch;
        self.next_batch += 1;
        self.last_sent_at = now;
        self.sent = Some(batch(number));
        number
    }

    pub(super) fn add_job(&mut self, id: JobId) {
        self.new_jobs.push(id);
        self.urgent = true;
    }

    /// Some task ended: to be kept soon.
    pub(super) fn note(&mut self, id: JobId) {
        self.progress.push(id);
    }

    /// The job ended: to be kept at once.
    pub(super) fn note_urgent(&mut self, id: JobId) {
        self.ended.push(id);
        self.urgent = true;
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.forgotten.insert(id);
    }

    /// A job that was about to be forgotten is handed in again: its row is written over instead.
    pub(super) fn keep_forgotten(&mut self, id: JobId) {
        if self.forgotten.remove(&id) {
            self.progress.push(id);
        }
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

    /// How long ago the batch left that the store has not answered, if there is one.
    pub(super) fn sent_ago(&self, now: Time) -> Option<Duration> {
        self.sent.as_ref().map(|_| now.since(self.last_sent_at))
    }

    /// Whether the store takes too long over what was sent to it.
    pub(super) fn is_stuck(&self, now: Time) -> bool {
        self.sent_ago(now).is_some_and(|ago| ago >= STUCK_AFTER)
    }

    /// Takes back the jobs that were not sent: they certainly are not kept.
    pub(super) fn take_unsent(&mut self) -> Vec<JobId> {
        let unsent = iter::from_fn(|| self.new_jobs.pop()).collect::<Vec<_>>();
        for &id in &unsent {
            self.remove_progress(id);
        }
        unsent
    }

    /// How many records wait, at most: one that is in two queues counts twice.
    pub(super) fn len(&self) -> usize {
        self.new_jobs.len()
            + self.ended.len()
            + self.progress.len()
            + self.forgotten.len()
            + self.new_lives.len()
            + self.lives_over.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.ended.is_empty()
            && self.progress.is_empty()
            && self.forgotten.is_empty()
            && self.new_lives.is_empty()
            && self.lives_over.is_empty()
    }
}

fn take_first(from: &mut UniqueQueue<JobId>, room: &mut usize) -> Vec<JobId> {
    let taken = iter::from_fn(|| from.pop()).take(*room).collect::<Vec<_>>();
    *room -= taken.len();
    taken
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
