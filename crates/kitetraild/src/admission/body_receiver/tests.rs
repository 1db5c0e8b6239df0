use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use kitetrail_core::ByteSize;
use proptest::{collection::vec, prelude::*};
use tokio::{runtime, time};

use super::{BodyError, BodyReceiver};
use crate::admission::MemoryBudget;

/// The budget of these tests, in bytes.
const CAPACITY_BYTES: u64 = 256 * 1_024;
/// The longest body of these tests, in bytes.
const MAX_BYTES: usize = 64 * 1_024;
/// A timeout that no test waits for.
const LONG: Duration = Duration::from_secs(60);
/// The timeout of bodies that stall.
const SHORT: Duration = Duration::from_millis(20);

/// How a body ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Complete,
    /// No more frames arrive.
    Stalled,
}

/// A body of frames that are there at once.
struct Frames {
    frames: VecDeque<Bytes>,
    end: End,
}

impl Frames {
    fn new(frames: usize, frame_bytes: usize, end: End) -> Self {
        let frame = Bytes::from(vec![b'x'; frame_bytes]);
        Self { frames: vec![frame; frames].into(), end }
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match (self.frames.pop_front(), self.end) {
            (Some(frame), _) => Poll::Ready(Some(Ok(Frame::data(frame)))),
            (None, End::Complete) => Poll::Ready(None),
            (None, End::Stalled) => Poll::Pending,
        }
    }
}

fn receiver() -> BodyReceiver {
    BodyReceiver::new(MemoryBudget::new(ByteSize(CAPACITY_BYTES)))
}

/// Runs a future.
fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_time().build();
    runtime.unwrap().block_on(work)
}

fn reserved(receiver: &BodyReceiver) -> u64 {
    receiver.budget().reserved().0
}

#[test]
fn a_body_is_received_whole_and_its_memory_is_charged_until_it_is_dropped() {
    run(async {
        let receiver = receiver();
        let body = Frames::new(1_000, 7, End::Complete);
        let received = receiver.receive(body, MAX_BYTES, LONG).await.unwrap();
        assert_eq!(received.contents, vec![b'x'; 7_000]);
        assert!(reserved(&receiver) >= received.contents.capacity() as u64);
        drop(received);
        assert_eq!(reserved(&receiver), 0);
    });
}

#[test]
fn every_end_of_a_body_returns_its_memory() {
    run(async {
        let receiver = receiver();
        let long = Frames::new(3, MAX_BYTES / 2, End::Complete);
        let result = receiver.receive(long, MAX_BYTES, LONG).await;
        assert!(matches!(result, Err(BodyError::TooLong(_))));
        assert_eq!(reserved(&receiver), 0);
        let slow = Frames::new(3, 100, End::Stalled);
        let result = receiver.receive(slow, MAX_BYTES, SHORT).await;
        assert!(matches!(result, Err(BodyError::TooSlow(_))));
        assert_eq!(reserved(&receiver), 0);
        let cancelled = Frames::new(3, 100, End::Stalled);
        let cancelled = receiver.receive(cancelled, MAX_BYTES, LONG);
        assert!(time::timeout(SHORT, cancelled).await.is_err());
        assert_eq!(reserved(&receiver), 0);
    });
}

#[test]
fn stalled_long_bodies_are_evicted_for_one_that_arrives() {
    run(async {
        let receiver = receiver();
        let stalled = (0..10).map(|_| {
            let body = Frames::new(1, MAX_BYTES - 1, End::Stalled);
            receiver.receive(body, MAX_BYTES, SHORT * 10)
        });
        let stalled = async {
            let receptions = stalled.map(|reception| async { assert!(reception.await.is_err()) });
            futures_join(receptions).await;
        };
        let arriving = async {
            time::sleep(SHORT).await;
            let body = Frames::new(16, 4_096, End::Complete);
            let received = receiver.receive(body, MAX_BYTES, LONG).await.unwrap();
            assert_eq!(received.contents.len(), MAX_BYTES);
            assert!(receiver.evictions() > 0);
        };
        tokio::join!(stalled, arriving);
        assert_eq!(reserved(&receiver), 0);
    });
}

#[test]
fn stalled_long_bodies_are_evicted_for_a_request_that_grows_after_it_was_received() {
    run(async {
        let receiver = receiver();
        let stalled = Frames::new(1, MAX_BYTES - 1, End::Stalled);
        let stalled = async { receiver.receive(stalled, MAX_BYTES, LONG).await.is_err() };
        let growing = async {
            time::sleep(SHORT).await;
            let body = Frames::new(1, 1_000, End::Complete);
            let mut received = receiver.receive(body, MAX_BYTES, LONG).await.unwrap();
            let long_share = CAPACITY_BYTES as usize * 3 / 4;
            assert!(receiver.resize(&mut received.reservation, long_share));
            assert!(!receiver.resize(&mut received.reservation, long_share + 1));
            assert_eq!(reserved(&receiver), long_share as u64);
        };
        let (is_evicted, ()) = tokio::join!(stalled, growing);
        assert!(is_evicted);
        assert_eq!(reserved(&receiver), 0);
    });
}

/// Awaits all futures, which make progress together.
async fn futures_join(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    let mut pending = futures.map(Box::pin).collect::<Vec<_>>();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn any_crowd_stays_within_the_budget_and_returns_it(
        crowd in vec((1_usize..200, 1_usize..2_000, any::<bool>()), 1..60)
    ) {
        run(async {
            let receiver = receiver();
            let receptions = crowd.iter().map(|&(frames, frame_bytes, complete)| {
                let end = if complete { End::Complete } else { End::Stalled };
                let receiver = &receiver;
                async move {
                    let body = Frames::new(frames, frame_bytes, end);
                    let received = receiver.receive(body, MAX_BYTES, SHORT).await;
                    assert!(reserved(receiver) <= CAPACITY_BYTES);
                    if let Ok(received) = received {
                        assert_eq!(received.contents.len(), frames * frame_bytes);
                    }
                }
            });
            futures_join(receptions).await;
            assert_eq!(reserved(&receiver), 0);
        });
    }
}
