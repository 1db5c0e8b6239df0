//! Effects between many images: the row that holds them stays within the limits of the store, on virtual time.

mod fleet;

use fleet::{SimulatedFleet, job, step};
use kitetrail_core::jobs::{EffectsRecord, JobState, ServingEffects};

/// Guards against a row of effects that grows with the images of callers until the store refuses it.
#[test]
fn effects_of_many_images_fit_into_a_row() {
    let mut fleet = SimulatedFleet::new(2);
    let effects = |serving: u32| ServingEffects {
        image: format!("registry/serving-{serving}"),
        lowest_tail_ms: 10.125,
        effects: (0..100).map(|other| (format!("registry/batch-{other}"), 0.123_456_789)).collect(),
    };
    fleet.effects = EffectsRecord { serving: (0..64).map(effects).collect() };
    fleet.take_over(2, true);
    fleet.submit(1, job(vec![step(4)]));
    fleet.advance_until("the job is done", |fleet| fleet.state(1) == Some(JobState::Completed));
    fleet.submit(2, job(vec![step(4)]));
    fleet.advance_until("the job is done", |fleet| fleet.state(2) == Some(JobState::Completed));
    let stored = fleet.effects.serving.iter().map(|serving| serving.effects.len()).sum::<usize>();
    assert!((100..6_400).contains(&stored), "{stored} effects are stored");
}
