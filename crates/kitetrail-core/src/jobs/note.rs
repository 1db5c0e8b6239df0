//! The scheduler's decisions, as data for the log.

use super::{
    crashes::CrashEvidence,
    event::JobState,
    names::{Incarnation, JobId, LifeId, QueueName, TaskName},
    order::OrderAnswer,
    report::HowEnded,
    spec::WorkKind,
};
use crate::Resources;

/// A decision, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A job was taken, or found to be known.
    Submitted {
        /// The job.
        job: JobId,
        /// The queue.
        queue: QueueName,
        /// Tasks over all steps.
        tasks: u64,
        /// Whether its id was known already.
        known: bool,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// The time since it was handed in, in milliseconds.
        after_ms: u64,
        /// The time that its queue promises, in milliseconds.
        objective_ms: u64,
    },
    /// A run was given to a worker.
    Placed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// What the worker had left before, as processor thousandths and megabytes.
        free: Resources,
        /// How old our knowledge of the worker is, in milliseconds; `None`: never heard.
        heard_ago_ms: Option<u64>,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// How.
        how: HowEnded,
    },
    /// A worker told the end of a run that is believed to run there, under a number that was heard before.
    EndPassedOver {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// The worker's number of the end.
        number: u64,
        /// The highest number that was heard.
        seen: u64,
    },
    /// A worker is another incarnation than it was: it started again under its id.
    WorkerRestarted {
        /// The worker.
        worker: LifeId,
        /// The incarnation before, if it was told.
        before: Option<Incarnation>,
        /// The incarnation that is told now.
        now: Option<Incarnation>,
        /// The number of the last end that was heard of the one before.
        ends_seen: u64,
        /// How many runs were believed there.
        runs: u32,
    },
    /// A run was given up: where it was placed can't be running it any more.
    RunGivenUp {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// Why.
        why: &'static str,
        /// For how long it is known to have run there, in milliseconds; `None`: not known to have begun.
        ran_ms: Option<u64>,
        /// How many other runs were believed there.
        beside: u32,
    },
    /// A worker crashed under a task, which may be what crashed it.
    CrashedUnder {
        /// The task.
        task: TaskName,
        /// The worker.
        worker: LifeId,
        /// How strongly that speaks against the task.
        evidence: CrashEvidence,
        /// How many workers have crashed under it in a row.
        crashes: u32,
    },
    /// A task under which workers crashed has run for long: it is no suspect any more.
    NoMoreSuspected {
        /// The task.
        task: TaskName,
    },
    /// A job failed for a task that crashes its workers.
    CrashingTaskGivenUp {
        /// The task.
        task: TaskName,
        /// The workers that crashed under it, in order.
        workers: Vec<LifeId>,
    },
    /// A run is stopped to go on elsewhere.
    RunMoved {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// Why.
        why: &'static str,
    },
    /// An order was refused or not answered.
    OrderFailed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: LifeId,
        /// What came back.
        answer: OrderAnswer,
    },
    /// What is believed of a worker changed.
    Worker {
        /// The worker.
        worker: LifeId,
        /// What is believed now.
        belief: &'static str,
        /// How long ago it was heard, in milliseconds; `None`: never.
        heard_ago_ms: Option<u64>,
    },
    /// Only workers of availability zones that are being evacuated could run the tasks of a step: they
    /// wait until one is taken back.
    WaitsForZone {
        /// The job.
        job: JobId,
        /// The step.
        step: u32,
    },
    /// New jobs are refused for want of processor time, or are taken again.
    Overload {
        /// Whether they are taken.
        takes_jobs: bool,
        /// How far the owner lags, in milliseconds.
        lag_ms: u64,
    },
    /// What of one kind of work waits for a worker, and what was started in the last second.
    Backlog {
        /// The kind.
        kind: WorkKind,
        /// Tasks that wait and whose jobs can still end in time, by what their callers estimated.
        waiting_in_time: u32,
        /// Tasks that wait and whose jobs can't.
        waiting_late: u32,
        /// The age of the oldest job with a task that waits, in milliseconds.
        oldest_ms: u64,
        /// Tasks started of jobs that could still end in time.
        started_in_time: u32,
        /// Tasks started of jobs that could not.
        started_late: u32,
        /// How far the owner lags, in milliseconds.
        lag_ms: u64,
    },
    /// What waits to be kept for good.
    Unkept {
        /// Records that wait for a batch.
        records: u64,
        /// Ends of runs that workers were not told are kept, and tell again.
        ends: u64,
        /// How long ago the batch on its way left, in milliseconds; `None`: there is none.
        batch_sent_ago_ms: Option<u64>,
    },
    /// The runs of a worker that fill were paced.
    Paced {
        /// The worker.
        worker: LifeId,
        /// Their share of their speed, in percent.
        percent: u8,
        /// The worst tail of what serves there, over its target, in percent.
        tail_of_target_percent: u32,
    },
}
