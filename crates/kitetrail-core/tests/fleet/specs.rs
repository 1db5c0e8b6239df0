//! Specifications of jobs that tests submit.

use kitetrail_core::{
    Resources,
    jobs::{JobId, JobSpec, QueueTerms, StepSpec, TaskName},
};

/// Returns a queue with typical terms.
pub fn queue() -> QueueTerms {
    QueueTerms {
        name: "checks".into(),
        config_version: 1,
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 500,
    }
}

/// Returns a step of tasks that take 1 s on one core.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: Resources::new(1_000, 512, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns a job with these steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// Returns the name of a task of a job without a schedule.
pub fn task(job: u64, step: u32, index: u32) -> TaskName {
    TaskName { job: JobId(job), occurrence: 0, step, index }
}
