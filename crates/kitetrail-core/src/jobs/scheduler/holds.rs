//! Holds: when workers are asked what they run, and for how long that renews their leases.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        event::Action,
        life::{Leasing, Life, LifeNo},
        report::Hold,
    },
    Scheduler,
};

/// How long a worker may wait for an end before it answers a hold. Bounds how late we learn of
/// slow tasks; the platform takes up to 2,000 ms.
const HOLD_WAIT_MS: u32 = 900;
/// The same where something serves beside something that fills: tails change within seconds.
const HOLD_WAIT_SHARED_MS: u32 = 500;
/// How long to wait before the next hold, so that ends that come together are told together.
const HOLD_PAUSE: Duration = Duration::from_millis(120);
/// The same for a worker that runs nothing: only its health is of interest.
const HOLD_PAUSE_IDLE: Duration = Duration::from_millis(5_000);
/// The same for a worker that runs nothing and has ends that it was not told are kept: they are
/// kept within some 100 ms, and nothing else is expected of it.
const HOLD_PAUSE_ENDED: Duration = Duration::from_millis(600);
/// The same after a hold that brought nothing, for each one in a row.
const HOLD_RETRY: Duration = Duration::from_millis(150);
/// How many holds a second an owner aims at, to workers that run something and answer in their usual
/// time, so that a large fleet leaves it time for the rest: each takes some 60 µs. Retries and holds
/// after a start come on top.
const HOLDS_PER_S: f64 = 2_000.0;
/// What a hold and the pause after it take without that: the shortest wait and [`HOLD_PAUSE`].
const USUAL_ROUND: Duration = Duration::from_millis(620);
/// The longest of the retries' pauses.
const HOLD_RETRY_MAX: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Asks a worker what it runs, if it is time.
    pub(super) fn hold_if_due(&mut self, no: LifeNo) {
        let (now, lease, lapse_after) = (self.now, self.lease, self.lapse_after());
        let Some(life) = self.lives.get_mut(no) else { return };
        if life.hold_sent || life.next_hold_at.is_none_or(|at| at > now) {
            return;
        }
        let ends_kept = life.ends_to_tell();
        if ends_kept > 0 && life.start_is_on_its_way() {
            // Its answer shows whether a later life has taken it, whose ends must not be told to be kept.
            return;
        }
        let wait_ms = wait_ms(life);
        // A silent worker's lease is left to run out: a renewal that is not answered may count.
        let may_lease = life.silent == 0 && life.leasing == Leasing::Allowed;
        let renews = life.clock_ms(now).filter(|_| may_lease);
        let lease_until_ms = renews.map(|clock_ms| clock_ms + lease.as_millis() as u64);
        if lease_until_ms.is_some() {
            life.note_leased(lapse_after, now);
        }
        life.hold_sent = true;
        let hold = Hold { token: life.token, lease_until_ms, ends_kept, wait_ms };
        self.out.push(Action::Hold { life: no, entry: Arc::clone(&life.entry), hold });
    }

    /// Says when the worker is asked again.
    ///
    /// Where a tail is above its target neither a large fleet nor a late owner asks less often: what fills
    /// there is halted by these reports.
    pub(super) fn schedule_hold(&mut self, no: LifeNo) {
        let now = self.now;
        let round = Duration::from_secs_f64(self.lives.len() as f64 / HOLDS_PER_S);
        let crowded = round.saturating_sub(USUAL_ROUND);
        let Some(life) = self.lives.get_mut(no) else { return };
        let pause = match life.silent {
            0 if life.contested => HOLD_PAUSE,
            0 if life.runs().is_empty() && life.ends_told >= life.ends_seen => HOLD_PAUSE_IDLE,
            0 if life.runs().is_empty() => HOLD_PAUSE_ENDED,
            0 if life.may_do_harm() => HOLD_PAUSE,
            0 => HOLD_PAUSE + crowded + self.overload.hold_pause(),
            times => (HOLD_RETRY * times).min(HOLD_RETRY_MAX),
        };
        life.next_hold_at = Some(now + pause);
    }

    /// Asks the worker soon, since something is expected of it.
    pub(super) fn hold_soon(&mut self, no: LifeNo, pause: Duration) {
        let at = self.now + pause;
        if let Some(life) = self.lives.get_mut(no) {
            life.next_hold_at = Some(life.next_hold_at.map_or(at, |due| due.min(at)));
        }
    }
}

/// How long a worker may wait for an end before it answers, in milliseconds.
fn wait_ms(life: &Life) -> u32 {
    let is_leased = life.silent == 0 && life.leasing == Leasing::Allowed;
    let at_once = !is_leased || life.contested || !life.known || life.runs().is_empty();
    let shared = life.serves() && life.fills();
    match (at_once, shared) {
        (true, _) => 0,
        (false, true) => HOLD_WAIT_SHARED_MS,
        (false, false) => HOLD_WAIT_MS,
    }
}
