//! Executes the scheduler's actions.

use std::{pin::pin, sync::Arc, time::Duration};

use kitetrail_core::jobs::{
    Action, CancelAnswer, Event, InstanceNo, LoadPart, LogEntry, Order, Poll, PollFailure, Report,
    SubmitAnswer, WorkerEntry,
};
use kitetrail_platform::{CallLimits, fleet::WorkerControl, within};
use tokio::task;

use super::{
    super::{Platform, calls::Answer, committer::Batch, log_entries},
    Owner, OwnerMessage,
};

/// How long after the longest lease a late answer to a poll is still accepted: the runs it reports as ended
/// must not run again.
const LATE_REPORT_MARGIN: Duration = Duration::from_millis(500);

impl<P: Platform> Owner<P> {
    /// Executes an action of the scheduler. Returns `false` if this owner is deposed.
    pub(super) fn execute(&mut self, action: Action) -> bool {
        match action {
            Action::Order { instance, entry, token, lease_until_ms, order } => {
                self.send_order(instance, entry, token, lease_until_ms, order);
            }
            Action::Poll { instance, entry, poll } => self.send_poll(instance, entry, poll),
            // The next owner accepts jobs sooner. Nothing of the batch was confirmed to anybody.
            Action::Commit { batch, .. } if self.releasing && self.skips_batches_at_release() => {
                log::info!(batch = batch; "owner: a batch is left to the next owner");
            }
            Action::Commit { batch, records } => {
                self.commit_in_flight = true;
                // At most one batch is in flight, and the channel has room for one.
                if self.batches.try_send(Batch { number: batch, records }).is_err() {
                    log::error!("owner: the writer does not accept a batch");
                    return false;
                }
            }
            Action::AnswerSubmit(request, SubmitAnswer::Accepted) => {
                self.reply(request, Answer::Accepted);
            }
            Action::AnswerSubmit(request, SubmitAnswer::Refused { retry_after }) => {
                self.reply(request, Answer::Refused(retry_after));
            }
            Action::AnswerCancel(request, CancelAnswer::Done) => {
                self.reply(request, Answer::Cancelled);
            }
            Action::AnswerCancel(request, CancelAnswer::Unknown(job)) => {
                self.reply(request, self.unknown_job_answer(job));
            }
            Action::Log(decision) => self.record_log_entry(&decision),
            Action::Deposed => {
                log::warn!("owner: deposed, a worker has seen a higher fencing token");
                return false;
            }
        }
        true
    }

    /// Returns whether the fleet is released without the records that are not in flight yet. While the
    /// store is slow there are always such records, and no owner accepts jobs until the release.
    fn skips_batches_at_release(&self) -> bool {
        self.shared.settings.parts.has(LoadPart::HandIn)
    }

    /// Logs a decision and updates the metrics.
    fn record_log_entry(&self, decision: &LogEntry) {
        match decision {
            LogEntry::CrashCounted { evidence, .. } => {
                self.shared.metrics.record_task_crash(evidence.as_str());
            }
            LogEntry::WorkerHealth { state, suspects, .. } => {
                self.shared.metrics.record_worker_health(state, u64::from(*suspects));
            }
            LogEntry::WorkerRestarted { .. } => self.shared.metrics.record_worker_restart(),
            LogEntry::CrashingTaskFailed { .. } => self.shared.metrics.record_crashing_job(),
            LogEntry::HandIn { decision, expected_ms, .. } => {
                self.shared.metrics.record_hand_in(decision.as_str(), *expected_ms);
            }
            LogEntry::Preempted { .. } => self.shared.metrics.record_preempted_run(),
            LogEntry::RoomDivided {
                queue,
                demand_percent,
                taken_percent,
                allowance_percent,
                ..
            } => self.shared.metrics.record_queue_room(
                queue.as_str(),
                *demand_percent,
                *taken_percent,
                *allowance_percent,
            ),
            LogEntry::LoadForecast { all_services, all_forecasts, .. } => {
                self.shared.metrics.record_load_forecasts(*all_services, *all_forecasts);
            }
            _ => {}
        }
        log_entries::log_entry(decision);
    }

    fn send_order(
        &self,
        instance: InstanceNo,
        entry: Arc<WorkerEntry>,
        token: u64,
        lease_until_ms: u64,
        order: Order,
    ) {
        self.shared.metrics.record_decision("order");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        task::spawn_local(async move {
            let answer = workers.order(&entry, token, lease_until_ms, &order).await;
            let event = Event::OrderAnswered { instance, order, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
        });
    }

    fn send_poll(&self, instance: InstanceNo, entry: Arc<WorkerEntry>, poll: Poll) {
        self.shared.metrics.record_decision("hold");
        let (workers, sender) = (self.shared.services.workers.clone(), self.sender.clone());
        let sent_at = self.shared.clock.now();
        let answer_slack = self.shared.settings.limits.poll_margin;
        let late_report_timeout = self.shared.settings.max_lease + LATE_REPORT_MARGIN;
        task::spawn_local(async move {
            let answer_timeout = Duration::from_millis(poll.wait_ms.into()) + answer_slack;
            let limits = CallLimits {
                suspect_after: answer_timeout,
                timeout: answer_timeout + late_report_timeout,
            };
            let mut call = pin!(workers.poll(&entry, &poll, limits));
            let answer = within(answer_timeout, call.as_mut()).await;
            let late = answer.is_none();
            let answer = answer.unwrap_or(Err(PollFailure::Unanswered));
            let event = Event::PollAnswered { instance, poll, sent_at, answer };
            let _ = sender.send(OwnerMessage::Event(event)).await;
            if late && let Ok(report) = call.await {
                let Report { incarnation, ended, .. } = report;
                let event = Event::LateReport { instance, incarnation, ended };
                let _ = sender.send(OwnerMessage::Event(event)).await;
            }
        });
    }
}
