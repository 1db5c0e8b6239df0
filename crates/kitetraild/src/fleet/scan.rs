//! Reads a partition of a table page by page, over links of any speed.

use std::rc::Rc;

use kitetrail_platform::{
    PlatformError,
    fleet::{RowPage, RowStore, StoredRow},
};
use tokio::time;

use super::{Platform, ownership::STORE_RETRY_DELAY, rows, shared::Shared};

/// The initial number of rows per page. With about 2 KB per row, a link of 10 Mbit/s transfers a page
/// in 0.2 s, well within the timeout of a call to the store.
const INITIAL_PAGE_ROWS: usize = 128;
/// The smallest number of rows per page, after calls that timed out.
const MIN_PAGE_ROWS: usize = 8;
/// The number of consecutive failed calls after which the scan fails. Each takes at most a second.
const MAX_CONSECUTIVE_FAILURES: u32 = 6;

/// Reads all rows of the fleet's partition of a table. Nobody else may write to it meanwhile.
pub(super) async fn read_table<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &'static str,
) -> Result<Vec<StoredRow>, PlatformError> {
    let (mut rows, mut from, mut limit, mut failures) =
        (Vec::new(), String::new(), INITIAL_PAGE_ROWS, 0);
    loop {
        let page = shared.services.store.page(table, rows::PARTITION, &from, limit).await;
        shared.record_store_result(&page);
        match page {
            Ok(RowPage { rows: page_rows, next }) => {
                rows.extend(page_rows);
                failures = 0;
                match next {
                    Some(next) => from = next,
                    None => return Ok(rows),
                }
            }
            Err(error) if failures >= MAX_CONSECUTIVE_FAILURES => return Err(error),
            Err(error) => {
                log::debug!(table = table, rows = limit; "store: failed to read a page: {error}");
                failures += 1;
                if matches!(error, PlatformError::AnswerLost { .. }) {
                    limit = (limit / 2).max(MIN_PAGE_ROWS);
                }
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}
