//! Reads a partition of a table page by page, over links of any speed.

use std::{
    fmt::Display,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_platform::{
    PlatformError,
    fleet::{RowPage, RowStore},
};
use serde::de::DeserializeOwned;
use tokio::time;

use super::{Platform, ownership::STORE_RETRY_DELAY, rows, shared::Shared};

/// The initial number of rows per page. With about 2 KB per row, a link of 10 Mbit/s transfers a page
/// in 0.2 s, well within the timeout of a call to the store.
const INITIAL_PAGE_ROWS: usize = 128;
/// The largest number of rows per page, as accepted by the store.
const MAX_PAGE_ROWS: usize = 500;
/// The time within which a page of twice the size arrives well within the timeout of a call.
const QUICK_PAGE: Duration = Duration::from_millis(100);
/// The smallest number of rows per page, after calls that timed out.
const MIN_PAGE_ROWS: usize = 8;
/// The number of consecutive failed calls after which the scan fails. Each takes at most a second.
const MAX_CONSECUTIVE_FAILURES: u32 = 6;

/// The number of rows per page, which follows the speed of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PageSize {
    rows: usize,
}

impl PageSize {
    fn new() -> Self {
        Self { rows: INITIAL_PAGE_ROWS }
    }

    /// Records that a page arrived after some time.
    fn record_page(&mut self, elapsed: Duration) {
        if elapsed < QUICK_PAGE {
            self.rows = (self.rows * 2).min(MAX_PAGE_ROWS);
        }
    }

    /// Records that a page did not arrive in time.
    fn record_timeout(&mut self) {
        self.rows = (self.rows / 2).max(MIN_PAGE_ROWS);
    }
}

/// Reads all records of the fleet's partition of a table. Nobody else may write to it meanwhile.
///
/// Each page is decoded when it arrives, so that encoded rows take no more memory than a page.
pub(super) async fn read_records<P: Platform, T: DeserializeOwned, K: Display>(
    shared: &Rc<Shared<P>>,
    table: &'static str,
    key_of: impl Fn(&T) -> K,
) -> Result<Vec<T>, PlatformError> {
    let (mut records, mut after, mut page_size, mut failures) =
        (Vec::new(), None::<String>, PageSize::new(), 0);
    loop {
        let started = Instant::now();
        let store = &shared.services.store;
        let page = store.page(table, rows::PARTITION, after.as_deref(), page_size.rows).await;
        shared.record_store_result(&page);
        match page {
            Ok(RowPage { rows: page_rows, next, .. }) => {
                records.extend(rows::decode_all(&page_rows, &key_of));
                failures = 0;
                page_size.record_page(started.elapsed());
                match next {
                    Some(next) => after = Some(next),
                    None => return Ok(records),
                }
            }
            Err(error) if failures >= MAX_CONSECUTIVE_FAILURES => return Err(error),
            Err(error) => {
                log::debug!(table = table, rows = page_size.rows; "store: failed to read a page: {error}");
                failures += 1;
                if matches!(error, PlatformError::AnswerLost { .. }) {
                    page_size.record_timeout();
                }
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
