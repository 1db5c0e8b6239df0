//! Pins the decisions under overload while no part of scheduling under load is in use.

mod fleet;

use fleet::{SimulatedFleet, job, step};
use kitetrail_core::{Resources, jobs::StepSpec};

/// The digest of all starts of the load below.
const STARTS_DIGEST: u64 = 17_336_665_128_710_218_167;

#[test]
fn decisions_under_overload_are_as_before_the_parts() {
    let mut fleet = SimulatedFleet::new(10);
    let size = Resources::new(2_500, 2_000, 0);
    fleet.submit(1, job(vec![StepSpec { long_running: true, size, ..step(6) }]));
    fleet.advance_ms(500);
    for no in 0..60 {
        let wide = StepSpec { size: Resources::new(700, 500, 0), ..step(9) };
        let large = StepSpec { depends_on: vec![0], size, ..step(2) };
        let beside = StepSpec { best_effort: true, keeps_progress: true, ..step(8) };
        fleet.submit(100 + no, job(vec![wide, large]));
        fleet.submit(
            1_000 + no,
            job(vec![beside.clone(), StepSpec { depends_on: vec![0], ..beside }]),
        );
        if no % 20 == 10 {
            fleet.submit(10_000 + no, job(vec![StepSpec { long_running: true, size, ..step(2) }]));
        }
        fleet.advance_ms(100);
    }
    fleet.advance_ms(6_000);
    assert!(fleet.starts.len() > 300, "{} starts", fleet.starts.len());
    let digest = fleet.starts.iter().fold(0xcbf2_9ce4_8422_2325_u64, |digest, start| {
        let (at, task, run, worker) = start;
        let text = format!("{at} {task} {run} {worker};");
        text.bytes().fold(digest, |digest, byte| {
            (digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    });
    assert_eq!(digest, STARTS_DIGEST, "{} starts", fleet.starts.len());
}
