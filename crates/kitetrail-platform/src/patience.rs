//! Waiting with a limit, fair to answers that are here but could not be read yet.

use std::{
    future::Future,
    pin::pin,
    time::{Duration, Instant},
};

use tokio::time;

/// A timer that fires so much late tells that the process was held up, and what came meanwhile was
/// not read. Timers fire a millisecond or two late on an idle box.
const HELD_UP: Duration = Duration::from_millis(20);
/// How often the time that the process was held up is granted again. An owner short of processor time
/// is held up time and again; each wait must end.
const MOST_GRANTS: u32 = 3;

/// Waits for something as long as given; longer if the process itself was held up. `None`: it did not
/// come.
pub async fn within<T>(limit: Duration, awaited: impl Future<Output = T>) -> Option<T> {
    let mut awaited = pin!(awaited);
    let mut wait = limit;
    for _ in 0..=MOST_GRANTS {
        let started = Instant::now();
        if let Ok(value) = time::timeout(wait, &mut awaited).await {
            return Some(value);
        }
        let late = started.elapsed().saturating_sub(wait);
        if late < HELD_UP {
            return None;
        }
        wait = late.min(limit);
    }
    None
}
