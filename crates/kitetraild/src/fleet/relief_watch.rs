//! Hands the fleet over when this owner is slow and another box is not.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kitetrail_core::{
    Time,
    jobs::LoadPart,
    owner_relief::{
        KeepReason, OwnerRelief, ReliefDecision, ReliefInput, ReliefPause, SuccessorAnswer,
        WorkTime,
    },
};
use kitetrail_proto::jobs::{ReachStoreAnswer, ReachStoreRequest, TakeOverRequest};
use tokio::{sync::mpsc, task};
use tonic::Response;

use super::{Platform, owner::OwnerMessage, peers, shared::Shared, speed_probe, takeover};

/// The timeout of the question whether a box can take over.
/// The call takes a few milliseconds, but on a machine that is six times slower, its thread shares the processor with
/// the late main loop: 0.3 s and more.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Watches the owner's lag, asks a faster box, and decides about the handover.
#[derive(Debug)]
pub(super) struct ReliefWatch {
    relief: OwnerRelief,
    /// The last reason to keep the fleet, logged when it changes.
    keep_reason: KeepReason,
}

impl ReliefWatch {
    /// Creates the watch of a box that takes over in an epoch. Returns `None` if the part is not in use.
    pub(super) fn new<P: Platform>(shared: &Shared<P>, epoch: u64) -> Option<Self> {
        let requested = shared.relief_requested.take();
        let pause = requested.filter(|(relieved, _)| relieved + 1 == epoch).map(|(_, pause)| pause);
        let relief = OwnerRelief::new(shared.settings.strength, pause, shared.clock.now());
        let in_use = shared.settings.parts.has(LoadPart::OwnerRelief);
        in_use.then_some(Self { relief, keep_reason: KeepReason::InTime })
    }

    /// Records how much later than due the owner's timer fired.
    pub(super) fn record_lag(&mut self, lag: Duration, now: Time) {
        self.relief.record_lag(lag, now);
    }

    /// Decides whether a box is asked to take over, and asks it.
    pub(super) fn check<P: Platform>(
        &mut self,
        shared: &Rc<Shared<P>>,
        is_evacuating: bool,
        owner: &mpsc::Sender<OwnerMessage>,
    ) {
        let now = shared.clock.now();
        let own_work_time = shared.own_work_time.get();
        let successors = shared.candidates.borrow().successors(now);
        let speeds = shared.box_speeds.borrow();
        let input =
            ReliefInput { own_work_time, is_evacuating, successors: &successors, speeds: &speeds };
        let lag_ms = self.relief.mean_lag().as_millis() as u64;
        match self.relief.decide(&input, now) {
            ReliefDecision::Keep(reason) if reason == self.keep_reason => {}
            ReliefDecision::Keep(reason) => {
                self.keep_reason = reason;
                log::info!(
                    why = reason.to_string(), lag_ms = lag_ms,
                    own_work_us:? = own_work_time.map(|time| time.as_us());
                    "owner: keeps the fleet"
                );
            }
            ReliefDecision::Ask { successor, speed } => {
                shared.metrics.record_owner_relief("asked");
                log::info!(
                    peer = successor.to_string(), lag_ms = lag_ms,
                    own_work_us:? = own_work_time.map(|time| time.as_us()),
                    work_us = speed.work_time.as_us(), strength = speed.strength.to_string(),
                    age_ms = now.since(speed.reported_at).as_millis() as u64;
                    "owner: late, asks a faster box whether it reaches the store"
                );
                task::spawn_local(ask(successor, owner.clone()));
            }
        }
    }

    /// Records the answer of a box. Returns the pause until the next relief if the fleet is handed over.
    pub(super) fn record_answer<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        successor: SocketAddr,
        answer: Option<SuccessorAnswer>,
    ) -> Option<ReliefPause> {
        let now = shared.clock.now();
        let own_work_time = speed_probe::measure_now();
        let hands_over = self.relief.record_answer(answer, own_work_time, now);
        shared.metrics.record_owner_relief(if hands_over { "handed over" } else { "kept" });
        let pause = self.relief.next_pause(now);
        log::warn!(
            peer = successor.to_string(), hands_over = hands_over,
            lag_ms = self.relief.mean_lag().as_millis() as u64,
            own_work_us = own_work_time.as_us(),
            work_us:? = answer.map(|answer| answer.work_time.as_us()),
            store_read_ms:? = answer.map(|answer| answer.store_read_time.as_millis()),
            next_after_ms = pause.as_ms();
            "owner: decided about a handover to a faster box"
        );
        hands_over.then_some(pause)
    }
}

/// Asks a box to read from the store, and reports how long that took.
async fn ask(successor: SocketAddr, owner: mpsc::Sender<OwnerMessage>) {
    let answer = peers::call_directly(successor, ASK_TIMEOUT, async |mut client| {
        client.reach_store(ReachStoreRequest {}).await
    });
    let answer = match answer.await.map(Response::into_inner) {
        Ok(ReachStoreAnswer {
            reached: true,
            read_ms: Some(read_ms),
            work_time_us: Some(time_us),
        }) => Some(SuccessorAnswer {
            store_read_time: Duration::from_millis(read_ms.into()),
            work_time: WorkTime::from_us(time_us),
        }),
        Ok(_) => None,
        Err(status) => {
            log::info!(peer = successor.to_string(); "owner: a faster box did not answer: {status}");
            None
        }
    };
    let _ = owner.send(OwnerMessage::ReliefAnswered(successor, answer)).await;
}

/// Asks a box to relieve this owner, which has stopped, and records the new owner.
pub(super) async fn request_takeover<P: Platform>(
    shared: &Shared<P>,
    successor: SocketAddr,
    epoch: u64,
    pause: ReliefPause,
) {
    let request = TakeOverRequest { epoch, relief_pause_ms: Some(pause.as_ms()) };
    let answer =
        peers::call_directly(successor, takeover::TAKE_OVER_TIMEOUT, async move |mut client| {
            client.take_over(request).await
        });
    let answer = answer.await.map(Response::into_inner);
    takeover::record_takeover(shared, successor, epoch, answer);
}
