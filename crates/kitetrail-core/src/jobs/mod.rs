//! Jobs: steps of tasks that run under leases on workers.
//!
//! One [`Scheduler`] makes all decisions for a fleet. It takes [`Event`]s and returns [`Action`]s;
//! it does no input or output and reads no clock.
//!
//! A worker may start again under its id or under another one. Each start is an instance of the
//! worker of its own: an instance that is over runs nothing any more.

mod claimant_terms;
mod crashes;
mod end_cause;
mod event;
mod hand_in;
mod instance;
mod instances;
mod job;
mod load_parts;
mod log_entry;
mod names;
mod occupancy;
mod operator_rows;
mod order;
mod preemption;
mod progress_key;
mod progress_parts;
mod record;
mod report;
mod retry_delay;
mod room;
mod run;
mod scheduler;
mod shares;
mod spec;
mod steps;
mod turnaround;
mod worker_entry;

pub use claimant_terms::ClaimantTerms;
pub use crashes::{CrashEvidence, PersistedStart, RunTimeBounds, TaskCrashes, UnresolvedLoss};
pub use end_cause::EndCause;
pub use event::{
    Action, CancelAnswer, Event, JobRequestId, JobState, SubmitAnswer, WorkerListChange,
};
pub use hand_in::{HandInDecision, HandInForecast};
pub use instance::InstanceNo;
pub use load_parts::{LoadPart, LoadParts, UnknownLoadPart};
pub use log_entry::LogEntry;
pub use names::{Incarnation, InstanceKey, InvalidName, JobId, QueueName, TaskName, WorkerName};
pub use occupancy::Occupancy;
pub use operator_rows::{InvalidOperatorRow, OperatorRows, WorkerHold, WorkerRow};
pub use order::{Order, OrderAnswer, OrderRefusal, StartOrder};
pub use preemption::{CrowdedWorker, Need, Preemption, STOP_TIME, StoppableRun, choose_stops};
pub use progress_key::ProgressKey;
pub use record::{
    EffectsRecord, InstanceRecord, JobRecord, LeaseRecord, OccurrenceProgress, Outcome,
    ProgressRecord, Record, RecordSubject, ServingEffects, StepProgress,
};
pub use report::{Poll, PollFailure, Report, RunEnd, RunResult, RunningTask};
pub use retry_delay::RetryDelay;
pub use room::Room;
pub use scheduler::{
    InheritedState, LoadForecast, LoadSeries, MAX_RENEWAL_WITHOUT_STORE, Periods, Scheduler,
    SchedulerSettings,
};
pub use shares::{Allowance, Claim, ShareBound, divide};
pub use spec::{InvalidJob, JobSpec, MAX_STEPS, QueueTerms, Schedule, StepSpec, WorkKind};
pub use turnaround::{Percentiles, Turnaround, TurnaroundSummary};
pub use worker_entry::WorkerEntry;
