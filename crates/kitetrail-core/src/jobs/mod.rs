//! Jobs: steps of tasks that run under leases on workers.
//!
//! One [`Scheduler`] makes all decisions for a fleet. It takes [`Event`]s and returns [`Action`]s;
//! it does no input or output and reads no clock.
//!
//! A worker may start again under its id or under another one. Each start is an instance of the
//! worker of its own: an instance that is over runs nothing any more.

mod crashes;
mod event;
mod job;
mod life;
mod lives;
mod names;
mod note;
mod order;
mod record;
mod report;
mod run;
mod scheduler;
mod spec;
mod steps;
mod worker_entry;

pub use crashes::{BegunRun, CrashEvidence, RanFor, TaskCrashes};
pub use event::{Action, CancelAnswer, Discovery, Event, JobState, RequestNo, SubmitAnswer};
pub use life::LifeNo;
pub use names::{Incarnation, InvalidName, JobId, LifeId, LifeKey, QueueName, TaskName};
pub use note::Note;
pub use order::{Order, OrderAnswer, Refusal, StartOrder};
pub use record::{
    EffectsRecord, JobRecord, LifeRecord, OccurrenceProgress, Outcome, ProgressRecord, Record,
    ServingEffects, StepProgress,
};
pub use report::{Hold, HoldFailure, HowEnded, Report, RunEnd, RunningTask};
pub use scheduler::{Inheritance, Scheduler, SchedulerSettings};
pub use spec::{InvalidJob, JobSpec, QueueTerms, Schedule, StepSpec, WorkKind};
pub use worker_entry::WorkerEntry;
