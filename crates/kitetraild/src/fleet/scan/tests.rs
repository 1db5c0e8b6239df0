use std::{iter, time::Duration};

use super::PageSize;

#[test]
fn rows_of_a_large_fleet_take_few_pages_over_a_fast_link() {
    const ROWS: usize = 12_000;
    let mut page_size = PageSize::new();
    let pages = iter::from_fn(|| {
        let rows = page_size.rows;
        page_size.record_page(Duration::from_millis(20));
        Some(rows)
    });
    let read = pages.scan(0, |read, rows| {
        *read += rows;
        Some(*read)
    });
    assert!(read.take_while(|&read| read < ROWS).count() < 26);
}

#[test]
fn a_slow_link_keeps_small_pages() {
    let mut page_size = PageSize::new();
    let initial = page_size;
    page_size.record_page(Duration::from_millis(200));
    assert_eq!(page_size, initial);
    page_size.record_timeout();
    assert!(page_size.rows < initial.rows);
}
