//! Workers that crash and start again: which of their lives is over, and what proves it.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{World, job, step};
use kitetrail_core::{
    Resources,
    jobs::{JobState, StepSpec},
};

/// A step whose tasks take a whole worker each.
fn whole(count: u32) -> StepSpec {
    StepSpec { size: Resources::new(4_000, 512, 0), ..step(count) }
}

#[test]
fn a_late_entry_of_an_earlier_life_does_not_end_the_present_one() {
    let mut world = World::new(2);
    world.work_ms = Some(5_000);
    let stale = world.reborn("w0", "w0-again");
    world.list_all();
    world.run_ms(300);
    world.submit(1, job(vec![whole(2)]));
    world.run_until("both workers are taken", |world| world.starts.len() == 2);
    // The write of the earlier life reaches the store now. The world panics if a task runs twice.
    world.list(stale);
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 2, "what ran went on");
}
