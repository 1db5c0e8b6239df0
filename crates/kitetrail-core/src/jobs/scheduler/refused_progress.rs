//! Jobs whose progress or outcome the store refuses, which are written again after a while.
//!
//! A refusal may be a mistake of a store in trouble, or of what stands before it. Failing a job that
//! could be done is worse than waiting, so the job continues meanwhile. Ends of runs are not
//! acknowledged until then, so that they are reported to a later owner as well.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::super::{names::JobId, progress_key::ProgressKey};
use crate::Time;

/// The delay before the records of a job are written again after the first refusal. It doubles with
/// each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// The longest delay before the records of a job are written again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(8_000);
/// The time after which refused progress counts as never accepted. Twice as long as the outages that
/// the platform documents. Workers keep the ends of runs for longer.
const MAX_REFUSED_TIME: Duration = Duration::from_millis(10_000);

/// The jobs with refused records.
#[derive(Debug, Default)]
pub(super) struct RefusedProgress {
    jobs: BTreeMap<JobId, RefusedJob>,
}

/// A job with refused records.
#[derive(Debug)]
struct RefusedJob {
    refused_since: Time,
    last_delay: Duration,
    /// When its records are written again; `None` once they wait for a batch.
    retry_at: Option<Time>,
    /// The parts of its progress that the store does not hold as they are.
    parts: BTreeSet<u32>,
    /// The sequence number of the first end that may have changed these, if there is one.
    oldest_end: Option<u64>,
}

impl RefusedProgress {
    /// Records that the store refused records of a job, with the given parts of its progress. All
    /// ends since `oldest_end` may have changed them. Returns whether the store has refused them
    /// for so long that it never will accept them.
    pub(super) fn record(
        &mut self,
        id: JobId,
        parts: impl IntoIterator<Item = u32>,
        oldest_end: Option<u64>,
        now: Time,
    ) -> bool {
        let job = self.jobs.entry(id).or_insert(RefusedJob {
            refused_since: now,
            last_delay: Duration::ZERO,
            retry_at: None,
            parts: BTreeSet::new(),
            oldest_end,
        });
        job.parts.extend(parts);
        job.oldest_end = job.oldest_end.or(oldest_end);
        job.last_delay = (job.last_delay * 2).clamp(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        job.retry_at = Some(now + job.last_delay);
        now.since(job.refused_since) >= MAX_REFUSED_TIME
    }

    /// Returns whether new progress waits until the records of its job are written again, after
    /// adding it to them. `last_end` is the sequence number of the end that changed it.
    pub(super) fn defer(&mut self, key: ProgressKey, last_end: u64) -> bool {
        let job = self.jobs.get_mut(&key.job).filter(|job| job.retry_at.is_some());
        let Some(job) = job else { return false };
        job.parts.insert(key.part);
        job.oldest_end.get_or_insert(last_end);
        true
    }

    /// Returns the jobs whose records are to be written again now, with the parts of their progress.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<(JobId, BTreeSet<u32>)> {
        let mut due = Vec::new();
        for (&id, job) in &mut self.jobs {
            if job.retry_at.take_if(|retry_at| *retry_at <= now).is_some() {
                due.push((id, job.parts.clone()));
            }
        }
        due
    }

    /// Records that a part of the progress of a job is persisted.
    pub(super) fn record_persisted(&mut self, key: ProgressKey) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.parts.remove(&key.part);
            if job.parts.is_empty() {
                self.remove(key.job);
            }
        }
    }

    /// Removes a job whose outcome is persisted.
    pub(super) fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Returns the sequence number of the first end that must not be acknowledged yet.
    pub(super) fn oldest_end(&self) -> Option<u64> {
        self.jobs.values().filter_map(|job| job.oldest_end).min()
    }

    /// Returns the number of parts of progress that were refused or wait with those.
    pub(super) fn len(&self) -> usize {
        self.jobs.values().map(|job| job.parts.len()).sum()
    }
}
