use kitetrail_core::ByteSize;
use proptest::{collection::vec, prelude::*};

use super::{MemoryBudget, Reservation, SHORT_REQUEST_BYTES};

/// The budget of these tests, in bytes.
const CAPACITY_BYTES: usize = 1_000_000;

/// What happens to one of the requests.
#[derive(Debug, Clone, Copy)]
enum Step {
    Resize { request: usize, bytes: usize },
    End { request: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let resize = (0_usize..40, 0_usize..300_000);
    let resize = resize.prop_map(|(request, bytes)| Step::Resize { request, bytes });
    let end = (0_usize..40).prop_map(|request| Step::End { request });
    vec(prop_oneof![4 => resize, 1 => end], 0..400)
}

proptest! {
    #[test]
    fn any_order_of_changes_stays_within_the_budget_and_ends_at_zero(steps in steps()) {
        let budget = MemoryBudget::new(ByteSize(CAPACITY_BYTES as u64));
        let mut requests = (0..40).map(|_| None).collect::<Vec<Option<Reservation>>>();
        for step in steps {
            match step {
                Step::Resize { request, bytes } => {
                    let request =
                        requests[request].get_or_insert_with(|| budget.empty_reservation());
                    let before = request.bytes();
                    let resized = request.try_resize(bytes);
                    prop_assert_eq!(request.bytes(), if resized { bytes } else { before });
                    prop_assert!(resized || bytes > before, "less memory was refused");
                }
                Step::End { request } => requests[request] = None,
            }
            let held = requests.iter().flatten().map(Reservation::bytes).sum::<usize>();
            prop_assert_eq!(budget.reserved(), ByteSize(held as u64));
            prop_assert!(held <= CAPACITY_BYTES);
        }
        drop(requests);
        prop_assert_eq!(budget.reserved(), ByteSize(0));
    }
}

#[test]
fn long_requests_leave_room_for_short_ones() {
    let budget = MemoryBudget::new(ByteSize(CAPACITY_BYTES as u64));
    let mut long = Vec::new();
    while let Some(reservation) = budget.try_reserve(100_000) {
        long.push(reservation);
    }
    assert_eq!(long.len(), 7);
    assert!(budget.try_reserve(SHORT_REQUEST_BYTES).is_some());
}
