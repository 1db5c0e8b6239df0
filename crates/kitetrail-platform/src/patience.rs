//! A timeout that does not count the time during which the process was stalled.

use std::{
    future::Future,
    pin::pin,
    time::{Duration, Instant},
};

use tokio::time;

/// The minimum delay of a timer that counts as a stall of the process.
///
/// Responses that arrived during a stall have not been read yet. On an idle box, timers fire one or two
/// milliseconds late.
const MIN_STALL: Duration = Duration::from_millis(20);
/// The maximum number of times that a wait is extended after a stall.
///
/// An owner that is short of processor time stalls repeatedly, but each wait must end.
const MAX_EXTENSIONS: u32 = 3;

/// Waits for an operation to complete, for up to `limit`, and longer if the process was stalled.
///
/// Returns `None` if the operation did not complete in time.
pub async fn within<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let mut operation = pin!(operation);
    let mut wait = limit;
    for _ in 0..=MAX_EXTENSIONS {
        let started = Instant::now();
        if let Ok(value) = time::timeout(wait, &mut operation).await {
            return Some(value);
        }
        let overrun = started.elapsed().saturating_sub(wait);
        if overrun < MIN_STALL {
            return None;
        }
        wait = overrun.min(limit);
    }
    None
}
