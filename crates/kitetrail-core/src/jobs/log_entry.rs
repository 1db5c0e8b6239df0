//! The scheduler's decisions as structured log entries.

use super::{
    crashes::{CrashEvidence, RunTimeBounds},
    end_cause::EndCause,
    event::JobState,
    hand_in::HandInDecision,
    names::{Incarnation, JobId, QueueName, TaskName, WorkerName},
    occupancy::Occupancy,
    order::OrderAnswer,
    record::RecordSubject,
    report::RunResult,
    room::Room,
    shares::ShareBound,
    spec::WorkKind,
    turnaround::{Turnaround, TurnaroundSummary},
};
use crate::{ByteSize, Resources};

/// A decision to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEntry {
    /// A job was accepted, or was already known.
    Submitted {
        /// The job.
        job: JobId,
        /// The queue.
        queue: QueueName,
        /// The number of tasks over all steps.
        tasks: u64,
        /// Whether the id was already known.
        known: bool,
    },
    /// A job was refused, as the memory for accepted jobs is used up.
    JobMemoryUsedUp {
        /// The job.
        job: JobId,
        /// The queue.
        queue: QueueName,
        /// The memory that the job would take.
        job_size: ByteSize,
        /// The memory that the accepted jobs take.
        used: ByteSize,
        /// The memory that they may take.
        capacity: ByteSize,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
        /// Why it ended.
        cause: EndCause,
        /// The time since the job was submitted, in milliseconds.
        after_ms: u64,
        /// The time that the queue promises, in milliseconds.
        objective_ms: u64,
    },
    /// A run was placed on a worker.
    Placed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The worker's free resources before the placement.
        free: Resources,
        /// The time since the worker's last answer, in milliseconds; `None` if it has never
        /// answered.
        last_answer_age_ms: Option<u64>,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// How the run ended.
        how: RunResult,
        /// How long it held its room, if this owner started it.
        turnaround: Option<Turnaround>,
    },
    /// A worker reported the end of a run that should be running there, under an end number that
    /// was received before.
    DuplicateEndIgnored {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The end number in the report.
        number: u64,
        /// The highest end number received so far.
        seen: u64,
    },
    /// A worker restarted under its id as another incarnation.
    WorkerRestarted {
        /// The worker.
        worker: WorkerName,
        /// The previous incarnation, if reported.
        before: Option<Incarnation>,
        /// The current incarnation, if reported.
        now: Option<Incarnation>,
        /// The number of the last run end received from the previous instance.
        ends_seen: u64,
        /// The number of runs that the previous instance should have been running.
        runs: u32,
    },
    /// A run was lost: the worker instance that it was placed on can no longer be running it.
    RunLost {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The reason.
        why: &'static str,
        /// The time that the run is known to have run there, in milliseconds; `None` if its start
        /// was not confirmed.
        ran_ms: Option<u64>,
        /// The number of other runs that should have been running there.
        beside: u32,
    },
    /// A worker crashed while it ran a task that may be the cause.
    CrashCounted {
        /// The task.
        task: TaskName,
        /// The worker.
        worker: WorkerName,
        /// How strongly the crash suggests that the task caused it.
        evidence: CrashEvidence,
        /// How it is known that the worker crashed.
        why: &'static str,
        /// The bounds of the time that the task had run for, if known.
        ran: Option<RunTimeBounds>,
        /// The number of consecutive crashes counted against the task.
        crashes: u32,
    },
    /// A worker became silent while it ran a task, and may have crashed.
    LossRecorded {
        /// The task.
        task: TaskName,
        /// The worker.
        worker: WorkerName,
        /// How strongly the loss suggests that the task caused it, if the worker crashed.
        evidence: CrashEvidence,
        /// The bounds of the time that the task had run for, if known.
        ran: Option<RunTimeBounds>,
        /// The number of workers of the task of which it is not known whether they crashed.
        losses: u32,
        /// How long the task waits for it to become known, in milliseconds; `None` if it may start.
        waits_ms: Option<u64>,
    },
    /// A worker that had become silent answers again: it has not crashed.
    LossesDismissed {
        /// The worker.
        worker: WorkerName,
        /// The number of tasks that it had been lost with.
        tasks: u32,
    },
    /// A task whose workers had crashed has run for long enough to be no longer a suspect.
    SuspicionCleared {
        /// The task.
        task: TaskName,
    },
    /// A job failed because one of its tasks crashes workers.
    CrashingTaskFailed {
        /// The task.
        task: TaskName,
        /// The workers that crashed while they ran the task, in order.
        workers: Vec<WorkerName>,
    },
    /// A run is stopped to continue on another worker.
    RunMoved {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The reason.
        why: &'static str,
    },
    /// An order was refused, not answered, or answered by another instance of the worker.
    OrderFailed {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The assessment of a worker changed.
    Worker {
        /// The worker.
        worker: WorkerName,
        /// The new assessment.
        state: &'static str,
        /// The time since the worker's last answer, in milliseconds; `None` if it has never
        /// answered.
        last_answer_age_ms: Option<u64>,
    },
    /// Only workers in availability zones under evacuation could run the tasks of a step. The tasks
    /// wait until an evacuation is cancelled.
    WaitsForZone {
        /// The job.
        job: JobId,
        /// The step.
        step: u32,
    },
    /// New jobs are refused because the owner lacks processor time, or are accepted again.
    Overload {
        /// Whether new jobs are accepted.
        accepts_jobs: bool,
        /// The owner's lag, in milliseconds.
        lag_ms: u64,
    },
    /// The tasks of one kind that wait for a worker, and those started in the last second.
    Backlog {
        /// The kind of work.
        kind: WorkKind,
        /// The number of waiting tasks whose jobs can still end in time, by their callers'
        /// estimates.
        waiting_in_time: u32,
        /// The number of waiting tasks whose jobs can't end in time.
        waiting_late: u32,
        /// The age of the oldest job with a waiting task, in milliseconds.
        oldest_ms: u64,
        /// The processor time of all waiting tasks, in thousandths of a core.
        waiting_millis: u64,
        /// The processor time of the largest waiting task, in thousandths of a core.
        largest_waiting_millis: u32,
        /// The number of started tasks whose jobs could still end in time.
        started_in_time: u32,
        /// The number of started tasks whose jobs could not end in time.
        started_late: u32,
        /// The owner's lag, in milliseconds.
        lag_ms: u64,
    },
    /// What holds the processor time of the workers that take work, and the gaps that are left.
    Occupancy(Occupancy),
    /// How long the runs of one kind that were completed in the last second held their room.
    Turnaround(TurnaroundSummary),
    /// The data that is not persisted yet.
    Unpersisted {
        /// The number of records that wait for a batch.
        records: u64,
        /// The number of run ends that are not acknowledged to their workers, which report them
        /// again.
        ends: u64,
        /// The time since the pending batch was sent, in milliseconds; `None` if no batch is
        /// pending.
        batch_sent_ago_ms: Option<u64>,
    },
    /// The store permanently refuses the records about a subject.
    RecordRefused {
        /// The subject.
        subject: RecordSubject,
    },
    /// The best-effort runs on a worker were throttled, or their throttling changed.
    Paced {
        /// The worker.
        worker: WorkerName,
        /// Their share of full speed, in percent.
        percent: u8,
        /// The highest tail latency on the worker relative to its target, in percent.
        tail_of_target_percent: u32,
    },
    /// It was decided whether a job that is not persisted waits for the store.
    HandIn {
        /// The job.
        job: JobId,
        /// The time that the caller has left, in milliseconds.
        time_left_ms: u64,
        /// The expected time until the answer if the store answers, in milliseconds.
        expected_ms: u64,
        /// The decision.
        decision: HandInDecision,
        /// Whether the job had been waiting before.
        waited: bool,
    },
    /// What one queue takes and may take while room is short.
    RoomDivided {
        /// The queue.
        queue: QueueName,
        /// Its weight.
        weight: f64,
        /// The room that its running tasks take.
        running: Room,
        /// The room that its waiting tasks would take.
        waiting: Room,
        /// The part of the fleet that it wants in its dominant resource, in percent.
        demand_percent: u32,
        /// The part that it takes, in percent.
        taken_percent: u32,
        /// The part that it may take, in percent.
        allowance_percent: u32,
        /// What keeps this part from being larger.
        bound: ShareBound,
        /// Whether it has gone without for so long that it goes ahead of the others.
        overdue: bool,
    },
    /// A run is stopped so that a more urgent job finds room.
    Preempted {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// The job that found no room.
        for_job: JobId,
        /// The work that is thrown away and what the restart costs, in core-milliseconds.
        lost_core_ms: u64,
    },
    /// A worker was found to be slower or to fail more often than its peers, or to work like them
    /// again.
    WorkerHealth {
        /// The worker.
        worker: WorkerName,
        /// The new state: `sound`, `suspected` or `probation`.
        state: &'static str,
        /// The least time that one of its runs takes, in percent of that of others of its kind; 0
        /// if it has none that can be compared.
        slowdown_percent: u64,
        /// The numbers of slow, normal and failed runs that this is based on.
        slow_runs: u32,
        /// See `slow_runs`.
        sound_runs: u32,
        /// See `slow_runs`.
        failed_runs: u32,
        /// The time that the worker was in its previous state, in milliseconds.
        after_ms: u64,
        /// The number of workers that are not sound now.
        suspects: u32,
    },
    /// How well the loads of the services of one image can be forecast.
    LoadForecast {
        /// The image.
        image: String,
        /// The period with which the loads swing, in milliseconds.
        period_ms: u64,
        /// The number of services of the image.
        services: u32,
        /// The number of services whose load is forecast.
        forecasts: u32,
        /// The number of services of all images.
        all_services: u32,
        /// The number of these whose load is forecast.
        all_forecasts: u32,
        /// The mean load expected in 2 s, over these services, in percent.
        level_percent: u32,
        /// The mean error of forecasts 2 s ahead, over these services, in thousandths.
        error_permille: u32,
    },
}
