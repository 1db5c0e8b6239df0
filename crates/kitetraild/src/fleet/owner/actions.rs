//! Does what the scheduler asks the owner for.

use std::{pin::pin, sync::Arc, time::Duration};

use kitetrail_core::jobs::{
    Action, CancelAnswer, Event, Hold, HoldFailure, LifeNo, Note, Order, Report, SubmitAnswer,
    WorkerEntry,
};
use kitetrail_platform::{CallLimits, fleet::WorkerControl, within};
use tokio::task;

use super::{
    super::{Platform, calls::Answer, committer::Batch, notes},
    Owner, OwnerMessage,
};

/// How long an answer that comes late is still read: what it says has ended has ended for good, and
/// must not run again. Longer than leases last, 4 s.
const LATE_REPORT: Duration = Duration::from_millis(4_500);

impl<P: Platform> Owner<P> {
    /// Does what the scheduler asks for. `false`: deposed.
    pub(super) fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Order { life, entry, token, lease_until_ms, order } => {
                self.send_order(life, entry, token, lease_until_ms, order);
            }
            Action::Hold { life, entry, hold } => self.send_hold(life, entry, hold),
            Action::Commit { batch, records } => {
                self.unkept = true;
                // One batch is on its way at most, and the channel has room for one.
                if self.batches.try_send(Batch { number: batch, records }).is_err() {
                    log::error!("owner: the writer takes no batch");
                    return false;
                }
            }
            Action::AnswerSubmit(request, SubmitAnswer::Accepted) => {
                self.reply(request, Answer::Accepted);
            }
            Action::AnswerSubmit(request, SubmitAnswer::Refused) => {
                self.reply(request, Answer::Refused);
            }
            Action::AnswerCancel(request, CancelAnswer::Done) => {
                self.reply(request, Answer::Cancelled);
            }
            Action::AnswerCancel(request, CancelAnswer::Unknown(job)) => {
                self.reply(request, self.unknown(job));
            }
            Action::Note(note) => self.note(&note),
            Action::Deposed => {
                log::warn!("owner: deposed, a worker has seen a higher fencing token");
                return false;
            }
        }
        true
    }

    /// Writes a decision to the log, and counts it.
    fn note(&self, note: &Note) {
        match note {
            Note::CrashedUnder { evidence, .. } => {
                self.shared.metrics.note_task_crash(evidence.as_str());
            }
            Note::WorkerRestarted { .. } => self.shared.metrics.note_worker_restart(),
            Note::CrashingTaskGivenUp { .. } => self.shared.metrics.note_crashing_job(),
            _ => {}
        }
        notes::write(note);
    }

    fn send_order(
        &self,
        life: LifeNo,
        entry: Arc<WorkerEntry>,
        token: u64,
        lease_until_ms: u64,
        order: Order,
    ) {
        self.shared.metrics.note_decision("order");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        task::spawn_local(async move {
            let answer = workers.order(&entry, token, lease_until_ms, &order).await;
            let event = Event::OrderAnswered { life, order, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
        });
    }

    fn send_hold(&self, life: LifeNo, entry: Arc<WorkerEntry>, hold: Hold) {
        self.shared.metrics.note_decision("hold");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        let sent_at = self.shared.clock.now();
        let slack = self.shared.settings.limits.hold_slack;
        task::spawn_local(async move {
            let patience = Duration::from_millis(hold.wait_ms.into()) + slack;
            let limits = CallLimits { suspect_after: patience, timeout: patience + LATE_REPORT };
            let mut call = pin!(workers.hold(&entry, &hold, limits));
            let answer = within(patience, call.as_mut()).await;
            let late = answer.is_none();
            let answer = answer.unwrap_or(Err(HoldFailure::Unanswered));
            let event = Event::Held { life, hold, sent_at, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
            if late && let Ok(report) = call.await {
                let Report { incarnation, ended, .. } = report;
                let event = Event::LateEnds { life, incarnation, ended };
                let _ = sender.send(OwnerMessage::Event(event)).await;
            }
        });
    }
}
