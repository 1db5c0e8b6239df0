use super::UniqueQueue;

fn drain(queue: &mut UniqueQueue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn what_waits_longest_leaves_first_however_often_it_is_added() {
    let mut queue = UniqueQueue::default();
    [3, 1, 3, 2, 1].into_iter().for_each(|item| queue.push(item));
    assert_eq!(drain(&mut queue), [3, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn what_was_removed_does_not_leave_unless_it_is_added_again() {
    let mut queue = UniqueQueue::default();
    [1, 2].into_iter().for_each(|item| queue.push(item));
    assert!(queue.remove(&1) && !queue.remove(&1));
    assert_eq!(drain(&mut queue), [2]);
    [1, 2].into_iter().for_each(|item| queue.push(item));
    queue.remove(&1);
    queue.push(1);
    let mut once = drain(&mut queue);
    once.sort_unstable();
    assert_eq!(once, [1, 2]);
}
