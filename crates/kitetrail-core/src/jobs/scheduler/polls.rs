//! Sends polls, the long-polling requests that ask workers what they run and renew their leases.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::Action,
        instance::{InstanceNo, Leasing, WorkerInstance},
        report::Poll,
    },
    Scheduler,
};

/// The time that a worker of a small fleet may wait for an end before it answers a poll. It bounds
/// how late slow tasks are noticed.
const POLL_WAIT: Duration = Duration::from_millis(900);
/// The same for workers that run serving and best-effort tasks side by side, where tail
/// latencies change within seconds.
const POLL_WAIT_SHARED: Duration = Duration::from_millis(500);
/// The longest time that a worker may wait, as accepted by the platform.
pub(super) const MAX_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// The pause before the next poll, so that ends that occur close together share one answer.
const POLL_PAUSE: Duration = Duration::from_millis(120);
/// The same for a worker that runs nothing, of which only the health matters.
const POLL_PAUSE_IDLE: Duration = Duration::from_millis(5_000);
/// The same for a worker that runs nothing but has ends that were not acknowledged yet. They are
/// persisted within about 100 ms, and nothing else is expected of it.
const POLL_PAUSE_UNACKNOWLEDGED: Duration = Duration::from_millis(600);
/// The increment of the pause for each failed poll in a row.
const POLL_RETRY_STEP: Duration = Duration::from_millis(150);
/// The number of polls a second that an owner aims at for workers that run something while no run
/// ends. Each poll takes about 60 µs, so the limit leaves the owner of a large fleet time for other
/// work. One poll for each start, one for each end, and retries come on top.
const TARGET_POLLS_PER_S: f64 = 2_000.0;
/// The longest pause between retries.
const MAX_POLL_RETRY: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Sends a poll to a worker if one is due.
    pub(super) fn send_poll_if_due(&mut self, instance_no: InstanceNo) {
        let (now, lease_expiry_delay) = (self.now, self.lease_expiry_delay());
        let lease = self.grantable_lease();
        let fleet_cycle = fleet_cycle(self.busy_workers);
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        if instance.poll_in_flight || instance.next_poll_at.is_none_or(|due_at| due_at > now) {
            return;
        }
        let acknowledged_end = instance.end_to_acknowledge();
        if acknowledged_end > 0 && instance.has_start_in_flight() {
            // The answer to the start shows whether a later instance received it. That one must
            // not get the acknowledgement, which it would apply to its own ends.
            return;
        }
        if !instance.has_reported() && !self.first_polls.take() {
            return;
        }
        let wait_ms = poll_wait(instance, fleet_cycle).as_millis() as u32;
        // The lease of a silent worker is left to expire, because even an unanswered renewal may
        // take effect.
        let may_lease = instance.unanswered_polls == 0 && instance.leasing == Leasing::Allowed;
        let lease = lease.filter(|_| may_lease);
        let lease_until_ms = instance
            .clock_ms(now)
            .zip(lease)
            .map(|(clock_ms, lease)| clock_ms + lease.as_millis() as u64);
        if lease_until_ms.is_some() {
            instance.extend_leases(lease_expiry_delay, now);
        }
        instance.poll_in_flight = true;
        let poll = Poll { token: instance.token, lease_until_ms, acknowledged_end, wait_ms };
        self.actions.push(Action::Poll {
            instance: instance_no,
            entry: Arc::clone(&instance.entry),
            poll,
        });
    }

    /// Schedules the next poll to a worker.
    ///
    /// Where a tail latency is above its target, neither a large fleet nor a lagging owner delays
    /// polls, because best-effort tasks there are halted based on these reports.
    pub(super) fn schedule_poll(&mut self, instance_no: InstanceNo) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let pause = match instance.unanswered_polls {
            0 if instance.contested => POLL_PAUSE,
            0 if instance.runs().is_empty() && !instance.has_unlisted_ends => {
                match instance.last_end_acknowledged >= instance.last_end_received {
                    true => POLL_PAUSE_IDLE,
                    false => POLL_PAUSE_UNACKNOWLEDGED,
                }
            }
            0 if instance.exceeds_tail_target() => POLL_PAUSE,
            0 if instance.has_short_tasks() => {
                POLL_PAUSE + self.overload.poll_pause_of_short_tasks()
            }
            0 => POLL_PAUSE + self.overload.poll_pause().max(self.response_delay.poll_pause()),
            failed_polls => (POLL_RETRY_STEP * failed_polls).min(MAX_POLL_RETRY),
        };
        instance.next_poll_at = Some(now + pause);
    }

    /// Sends a poll at once to a worker whose last poll could not renew its leases, since its clock
    /// was unknown or it had been silent.
    pub(super) fn renew_leases_if_late(&mut self, instance_no: InstanceNo, poll: Poll) {
        let Some(instance) = self.instances.get(instance_no) else { return };
        let may_lease = self.grantable_lease().is_some()
            && instance.unanswered_polls == 0
            && instance.leasing == Leasing::Allowed
            && !instance.contested;
        if poll.lease_until_ms.is_none() && may_lease && !instance.runs().is_empty() {
            self.schedule_poll_within(instance_no, Duration::ZERO);
            self.send_poll_if_due(instance_no);
        }
    }

    /// Brings the next poll to a worker forward, because a change is expected.
    pub(super) fn schedule_poll_within(&mut self, instance_no: InstanceNo, pause: Duration) {
        let due_at = self.now + pause;
        if let Some(instance) = self.instances.get_mut(instance_no) {
            instance.next_poll_at =
                Some(instance.next_poll_at.map_or(due_at, |due| due.min(due_at)));
        }
    }
}

/// Returns the longest time between two polls of a worker that runs something, in a fleet of this
/// size whose owner does not lag.
pub(super) fn longest_cycle(workers: usize) -> Duration {
    POLL_WAIT.max(wait_in_large_fleet(fleet_cycle(workers))) + POLL_PAUSE
}

/// Returns the time in which all workers that run something are to be polled once.
fn fleet_cycle(busy_workers: usize) -> Duration {
    Duration::from_secs_f64(busy_workers as f64 / TARGET_POLLS_PER_S)
}

fn wait_in_large_fleet(fleet_cycle: Duration) -> Duration {
    fleet_cycle.saturating_sub(POLL_PAUSE).min(MAX_POLL_WAIT)
}

/// Returns how long a worker may wait for an end before it answers, given the time in which all
/// workers that run something are to be polled once.
///
/// In a large fleet polls wait longer instead of being sent less often, since a waiting poll costs
/// nothing and a worker reports ends only while it is polled.
fn poll_wait(instance: &WorkerInstance, fleet_cycle: Duration) -> Duration {
    let is_leased = instance.unanswered_polls == 0 && instance.leasing == Leasing::Allowed;
    let immediate =
        !is_leased || instance.contested || !instance.has_reported() || instance.runs().is_empty();
    let in_large_fleet = wait_in_large_fleet(fleet_cycle);
    let shared = instance.has_serving() && instance.has_best_effort();
    match (immediate, shared) {
        (true, _) => Duration::ZERO,
        (false, true) if instance.exceeds_tail_target() => POLL_WAIT_SHARED,
        (false, true) => POLL_WAIT_SHARED.max(in_large_fleet),
        (false, false) => POLL_WAIT.max(in_large_fleet),
    }
}
