//! Measures how fast this box is, also while it is idle.

use std::{
    hint,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::owner_relief::{WorkTime, WorkTimes};
use tokio::time;

use super::{Platform, shared::Shared};

/// The interval between measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// The number of steps of the reference work, some 50 us on a whole core: long compared to the resolution of clocks,
/// and 0.05 % of the interval.
const STEPS: u64 = 30_000;
/// The number of measurements that are made at once if the speed is needed at once.
const MEASUREMENTS_NOW: usize = 3;

/// Measures the reference work at regular intervals, until the box stops.
pub(super) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    let mut times = WorkTimes::default();
    loop {
        time::sleep(INTERVAL).await;
        times.record(measure());
        shared.own_work_time.set(times.median());
    }
}

/// Measures the speed now: the shortest of some times, so that an interruption does not count.
pub(super) fn measure_now() -> WorkTime {
    (0..MEASUREMENTS_NOW).map(|_| measure()).min().unwrap_or_else(measure)
}

/// Does the reference work and returns the time it took.
fn measure() -> WorkTime {
    let started = Instant::now();
    let mix =
        |state: u64, step: u64| (state ^ step).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31);
    hint::black_box((0..hint::black_box(STEPS)).fold(0, mix));
    WorkTime::from(started.elapsed())
}
