//! What waits to be kept for good, and the batch of it that is on its way.

use std::{collections::BTreeSet, iter, time::Duration};

use super::{
    super::{
        life::LifeNo,
        names::{JobId, LifeKey},
        record::Outcome,
    },
    kept_starts::KeptStart,
    unique_queue::UniqueQueue,
    unkept_ends::{ToldEnd, UnkeptEnds},
};
use crate::Time;

/// The most entries of a batch: the store takes 100 a transaction and the owner's own rows need a few of them.
const MAX_ENTRIES: usize = 90;
/// The entries that a new job takes at most: what was asked for, and how far it is.
const ENTRIES_OF_NEW_JOB: usize = 2;
/// The entries that a job takes that ended: how, and what was asked for, which goes.
const ENTRIES_OF_ENDED_JOB: usize = 2;
/// Of a full batch new jobs, jobs that ended and other jobs are left so many entries each, so that none waits for
/// the others for good: callers wait for the first two, and workers repeat ends until the last are kept.
const LEAST_ENTRIES: usize = MAX_ENTRIES / 3;
/// Of a full batch so many entries go to workers' lives at most, before all else: what they say holds up starts now, or all inherited
/// jobs after the loss of this owner. The rest still leaves some to new jobs.
const MOST_LIVES: usize = 20;
/// The most bytes of new jobs in a batch. The store takes 1 MB a transaction, in which each byte
/// becomes 1.4; half of the rest is left to other records.
const MAX_JOB_BYTES_OF_BATCH: usize = 350_000;
/// A store that takes so long over a batch is taken for stuck: jobs are refused at once, with when
/// to come back. It takes 5 ms, and 300 when it is slow.
const STUCK_AFTER: Duration = Duration::from_millis(700);
/// A job that is kept later is not worth taking: boxes wait 0.9 s for the owner's answer, and the rest of that is for the
/// way there and back.
const KEPT_WITHIN: Duration = Duration::from_millis(700);

/// What waits to be kept for good.
#[derive(Debug, Default)]
pub(super) struct Pending {
    new_jobs: UniqueQueue<JobId>,
    /// Jobs that ended. Callers who cancelled them wait.
    ended: UniqueQueue<JobId>,
    /// Other jobs with something new.
    ///
    /// What waits longest goes first, here as above. In the order of their ids instead, jobs of high ids are
    /// passed over for as long as the store is behind.
    progress: UniqueQueue<JobId>,
    forgotten: BTreeSet<JobId>,
    new_lives: BTreeSet<LifeNo>,
    lives_over: BTreeSet<LifeKey>,
    /// Something is to be kept at once.
    pub(super) urgent: bool,
    unkept_ends: UnkeptEnds,
    /// When what was learned of images was kept last.
    pub(super) effects_at: Time,
    next_batch: u64,
    pub(super) sent: Option<Batch>,
    pub(super) last_sent_at: Time,
    /// The store has confirmed that this owner owned the fleet at some moment since.
    confirmed_since: Option<Time>,
    /// A batch is wanted for its confirmation, even an empty one.
    pub(super) confirmation_wanted: bool,
    /// How long the last batch took that is kept, and when that was known.
    last_took: Duration,
    last_kept_at: Time,
}

/// What a batch on its way will have settled.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) new_jobs: Vec<JobId>,
    pub(super) outcomes: Vec<(JobId, Outcome)>,
    pub(super) lives: Vec<LifeNo>,
    /// Starts that leave once it is kept.
    pub(super) starts: Vec<KeptStart>,
}

/// What one batch keeps.
#[derive(Debug)]
pub(super) struct Taken {
    pub(super) new_jobs: Vec<JobId>,
    pub(super) lives: Vec<LifeNo>,
    pub(super) progress: Vec<JobId>,
    pub(super) lives_over: Vec<LifeKey>,
    pub(super) forgotten: Vec<JobId>,
    /// Nothing else waits to be kept.
    pub(super) complete: bool,
}

impl Pending {
    /// Takes as much as a batch holds, what is most urgent first.
    ///
    /// `kept_bytes` tells how much of the batch a new job takes, `has_ended` whether a job is not open any more.
    pub(super) fn take_batch(
        &mut self,
        kept_bytes: impl Fn(JobId) -> usize,
        has_ended: impl Fn(JobId) -> bool,
    ) -> Taken {
        let for_ended = (self.ended.len() * ENTRIES_OF_ENDED_JOB).min(LEAST_ENTRIES);
        let for_progress = self.progress.len().min(LEAST_ENTRIES);
        let mut room = MAX_ENTRIES;
        let lives = take_some(&mut self.new_lives, &mut room, MAX_ENTRIES - MOST_LIVES);
        let new_jobs = self.take_new_jobs(&mut room, for_ended + for_progress, kept_bytes);
        // What is known of a new job goes with it: its caller is told that it is kept.
        let with_new = new_jobs.iter().copied().filter(|&id| self.remove_progress(id));
        let mut progress = with_new.collect::<Vec<_>>();
        progress.extend(self.take_ended(&mut room, for_progress));
        progress.extend(self.take_progress(&mut room, has_ended));
        let lives_over = take_some(&mut self.lives_over, &mut room, 0);
        let forgotten = take_some(&mut self.forgotten, &mut room, 0);
        Taken { new_jobs, lives, progress, lives_over, forgotten, complete: self.is_empty() }
    }

    fn take_new_jobs(
        &mut self,
        room: &mut usize,
        reserved: usize,
        kept_bytes: impl Fn(JobId) -> usize,
    ) -> Vec<JobId> {
        let (mut taken, mut bytes) = (Vec::new(), 0);
        while *room >= reserved + ENTRIES_OF_NEW_JOB && bytes < MAX_JOB_BYTES_OF_BATCH {
            let Some(first) = self.new_jobs.pop() else { break };
            bytes += kept_bytes(first);
            taken.push(first);
            *room -= ENTRIES_OF_NEW_JOB;
        }
        taken
    }

    fn take_ended(&mut self, room: &mut usize, reserved: usize) -> Vec<JobId> {
        let mut taken = Vec::new();
        while *room >= reserved + ENTRIES_OF_ENDED_JOB {
            let Some(first) = self.ended.pop() else { break };
            self.progress.remove(&first);
            taken.push(first);
            *room -= ENTRIES_OF_ENDED_JOB;
        }
        taken
    }

    fn take_progress(&mut self, room: &mut usize, has_ended: impl Fn(JobId) -> bool) -> Vec<JobId> {
        let mut taken = Vec::new();
        while *room >= ENTRIES_OF_ENDED_JOB {
            let Some(first) = self.progress.pop() else { break };
            // With the progress of a job that ended its end is kept.
            self.ended.remove(&first);
            taken.push(first);
            *room -= if has_ended(first) { ENTRIES_OF_ENDED_JOB } else { 1 };
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
        self.confirmation_wanted = false;
        self.sent = Some(batch(number));
        number
    }

    /// Whether the store has confirmed this owner by a batch that left after a moment.
    pub(super) fn is_confirmed_since(&self, moment: Time) -> bool {
        self.confirmed_since.is_some_and(|since| since >= moment)
    }

    /// Asks for a batch that leaves after a moment, unless one is on its way.
    pub(super) fn want_confirmation_since(&mut self, moment: Time) {
        let on_its_way = self.sent.is_some() && self.last_sent_at >= moment;
        self.confirmation_wanted |= !on_its_way;
    }

    pub(super) fn add_job(&mut self, id: JobId) {
        self.new_jobs.push(id, self.unkept_ends.last_seq());
        self.urgent = true;
    }

    /// Some task ended: to be kept soon.
    pub(super) fn note(&mut self, id: JobId) {
        self.progress.push(id, self.unkept_ends.last_seq());
    }

    /// A start of the job waits until it is kept.
    pub(super) fn note_soon(&mut self, id: JobId) {
        self.note(id);
        self.urgent = true;
    }

    /// The job ended: to be kept at once.
    pub(super) fn note_urgent(&mut self, id: JobId) {
        self.ended.push(id, self.unkept_ends.last_seq());
        self.urgent = true;
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.forgotten.insert(id);
    }

    /// A job that was about to be forgotten is handed in again: its row is written over instead.
    pub(super) fn keep_forgotten(&mut self, id: JobId) {
        if self.forgotten.remove(&id) {
            self.progress.push(id, self.unkept_ends.last_seq());
        }
    }

    pub(super) fn add_life(&mut self, life: LifeNo) {
        self.new_lives.insert(life);
        self.urgent = true;
    }

    /// A life's row is to be written anew, soon.
    pub(super) fn rewrite_life(&mut self, life: LifeNo) {
        self.new_lives.insert(life);
    }

    pub(super) fn end_life(&mut self, life: LifeNo, key: LifeKey, is_kept: bool) {
        if !self.new_lives.remove(&life) || is_kept {
            self.lives_over.insert(key);
        }
    }

    /// Takes note of an end that a worker told, before what it changes.
    pub(super) fn note_end(&mut self, life: LifeNo, number: u64) {
        self.unkept_ends.push(life, number);
    }

    /// Takes out the ends of which all that they changed is kept, while no batch is on its way.
    pub(super) fn take_kept_ends(&mut self) -> Vec<ToldEnd> {
        debug_assert!(self.sent.is_none(), "what is on its way is not kept");
        let oldest = self.ended.oldest().into_iter().chain(self.progress.oldest()).min();
        self.unkept_ends.take_kept(oldest)
    }

    /// How long ago the batch left that the store has not answered, if there is one.
    pub(super) fn sent_ago(&self, now: Time) -> Option<Duration> {
        self.sent.as_ref().map(|_| now.since(self.last_sent_at))
    }

    /// Takes out the batch on its way, which is kept, if it has the given number.
    pub(super) fn take_sent(&mut self, number: u64, now: Time) -> Option<Batch> {
        let batch = self.sent.take_if(|batch| batch.number == number)?;
        self.last_took = now.since(self.last_sent_at);
        self.confirmed_since = Some(self.last_sent_at);
        self.last_kept_at = now;
        Some(batch)
    }

    /// How long a batch takes, as far as that is known of late.
    ///
    /// What the last one took is believed for as long again: an idle fleet sends no other that could show that the
    /// store is well, and would refuse all jobs for good.
    fn batch_takes(&self, now: Time) -> Duration {
        let next_at = if self.sent.is_some() { self.last_sent_at } else { now };
        let is_recent = next_at.since(self.last_kept_at) < self.last_took;
        let took = if is_recent { self.last_took } else { Duration::ZERO };
        took.max(self.sent_ago(now).unwrap_or_default())
    }

    /// Whether a new job can't be kept in the time that boxes wait for its answer, by how long batches take of late.
    ///
    /// Answers a store that is slow and an owner whose batches wait for its processor: callers would give up without an answer,
    /// and their jobs run for nobody.
    pub(super) fn keeps_too_late(&self, lag: Duration, now: Time) -> bool {
        let on_its_way = self.sent_ago(now);
        let takes = self.batch_takes(now);
        let before = on_its_way.map_or(Duration::ZERO, |ago| takes.saturating_sub(ago));
        let full_batches = self.new_jobs.len() / (LEAST_ENTRIES / ENTRIES_OF_NEW_JOB);
        lag + before + takes * (1 + full_batches as u32) >= KEPT_WITHIN
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

    /// How many ends wait until all that they changed is kept.
    pub(super) fn unkept_ends(&self) -> usize {
        self.unkept_ends.len()
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

/// Takes what comes first as far as there is room for it, an entry each, beside what is reserved.
fn take_some<T: Ord + Clone>(from: &mut BTreeSet<T>, room: &mut usize, reserved: usize) -> Vec<T> {
    let fitting = room.saturating_sub(reserved);
    let taken = iter::from_fn(|| from.pop_first()).take(fitting).collect::<Vec<_>>();
    *room -= taken.len();
    taken
}
