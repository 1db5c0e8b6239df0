use super::UniqueQueue;

fn drain(queue: &mut UniqueQueue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn items_are_popped_in_the_order_of_their_first_addition() {
    let mut queue = UniqueQueue::default();
    [3, 1, 3, 2, 1].into_iter().for_each(|item| queue.push(item, 0));
    assert_eq!(drain(&mut queue), [3, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn a_removed_item_is_popped_only_if_it_is_added_again() {
    let mut queue = UniqueQueue::default();
    [1, 2].into_iter().for_each(|item| queue.push(item, 0));
    assert!(queue.remove(&1) && !queue.remove(&1));
    assert_eq!(drain(&mut queue), [2]);
    [1, 2].into_iter().for_each(|item| queue.push(item, 0));
    queue.remove(&1);
    queue.push(1, 0);
    let mut once = drain(&mut queue);
    once.sort_unstable();
    assert_eq!(once, [1, 2]);
}

#[test]
fn oldest_returns_the_sequence_number_of_the_first_waiting_item() {
    let mut queue = UniqueQueue::default();
    assert_eq!(queue.oldest(), None);
    [(1, 10), (2, 11), (1, 12)].into_iter().for_each(|(item, seq)| queue.push(item, seq));
    assert_eq!(queue.oldest(), Some(10), "an item added again keeps its sequence number");
    queue.remove(&1);
    assert_eq!(queue.oldest(), Some(11));
    queue.push(1, 13);
    assert_eq!(
        (queue.pop(), queue.oldest()),
        (Some(2), Some(13)),
        "an item added after its removal goes to the end"
    );
}
