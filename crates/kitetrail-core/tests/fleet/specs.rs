//! What tests hand in.

use kitetrail_core::{
    Resources,
    jobs::{JobId, JobSpec, QueueTerms, StepSpec, TaskName},
};

/// A queue with usual terms.
pub fn queue() -> QueueTerms {
    QueueTerms {
        name: "checks".into(),
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 500,
    }
}

/// A step of tasks that take a second on a core.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: Resources::new(1_000, 512, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A job of some steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// The name of a task of a job without a schedule.
pub fn task(job: u64, step: u32, index: u32) -> TaskName {
    TaskName { job: JobId(job), occurrence: 0, step, index }
}
