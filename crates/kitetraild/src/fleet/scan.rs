//! Reads a part of a table page by page, over links of any speed.

use std::rc::Rc;

use kitetrail_platform::{
    PlatformError,
    fleet::{RowPage, RowStore, StoredRow},
};
use tokio::time;

use super::{Platform, ownership::RETRY, rows, shared::Shared};

/// The rows of a page at first. At some 2 KB a row a link of 10 Mbit/s brings them in 0.2 s, well
/// within the time that a call to the store may take.
const PAGE_ROWS: usize = 128;
/// The rows of a page at least, after calls that brought nothing in time.
const LEAST_PAGE_ROWS: usize = 8;
/// How many calls in a row may fail before the reading does: each takes a second at most.
const MOST_FAILURES: u32 = 6;

/// All rows of the fleet's part of a table. Nobody else may write there meanwhile.
pub(super) async fn part<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &'static str,
) -> Result<Vec<StoredRow>, PlatformError> {
    let (mut rows, mut from, mut limit, mut failures) = (Vec::new(), String::new(), PAGE_ROWS, 0);
    loop {
        let page = shared.services.store.page(table, rows::PART, &from, limit).await;
        shared.note_store(&page);
        match page {
            Ok(RowPage { rows: more, next }) => {
                rows.extend(more);
                failures = 0;
                match next {
                    Some(next) => from = next,
                    None => return Ok(rows),
                }
            }
            Err(error) if failures >= MOST_FAILURES => return Err(error),
            Err(error) => {
                log::debug!(table = table, rows = limit; "store: a page can't be read: {error}");
                failures += 1;
                if matches!(error, PlatformError::AnswerLost { .. }) {
                    limit = (limit / 2).max(LEAST_PAGE_ROWS);
                }
                time::sleep(RETRY).await;
            }
        }
    }
}
