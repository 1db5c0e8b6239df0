//! Orders the waiting jobs by the shares of their queues while room is short.

use std::{cmp::Reverse, collections::BTreeMap, mem, time::Duration};

use super::{
    super::{
        claimant_terms::ClaimantTerms,
        event::Action,
        job::Job,
        load_parts::LoadPart,
        log_entry::LogEntry,
        names::{JobId, QueueName},
        room::Room,
        shares::{Allowance, Claim, divide},
        steps::Step,
    },
    Scheduler,
    lateness::PlacementRank,
    pass::PlacementPass,
};
use crate::Time;

/// The time for which a queue may go without its allowance before its jobs go ahead of all others.
/// It is shorter than the time that callers have for the shortest jobs.
const MAX_DEFICIT: Duration = Duration::from_millis(1_000);
/// The time after which an interrupted long-running task goes ahead of all others, while it takes
/// its turn before. The platform counts it as lost after 3 s beside room for it.
const MAX_INTERRUPTION: Duration = Duration::from_millis(1_500);
/// The interval between two reports of the division. Operators read from them who lends and who
/// waits.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest time between two passes that counts towards a deficit: after a longer one nothing is
/// known of the time between.
const MAX_GAP: Duration = Duration::from_millis(200);

/// The order in which queues are served while room is short, first variant first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Claimed {
    /// A task of a long-running job ran before and has waited for [`MAX_INTERRUPTION`]. It needs
    /// larger gaps than short tasks, which would otherwise take what becomes free.
    Interrupted,
    /// The queue has gone without its allowance for [`MAX_DEFICIT`].
    Overdue,
    /// The queue takes less than its allowance.
    Owed,
    /// The queue takes its allowance: it borrows what the others leave.
    Borrowed,
}

/// A queue with waiting tasks.
#[derive(Debug)]
struct Claimant {
    claim: Claim,
    allowance: Allowance,
    /// The part of the fleet that it takes, with the jobs ordered so far.
    taken: f64,
}

/// The room of the fleet, as divided for one pass.
#[derive(Debug)]
struct Division {
    total: Room,
    claimants: BTreeMap<QueueName, Claimant>,
}

/// The queues that compete for room.
#[derive(Debug, Default)]
pub(super) struct Claimants {
    /// The terms that operators set. The other queues have those of their priority.
    terms: BTreeMap<QueueName, ClaimantTerms>,
    /// Whether a task found no room in the last pass.
    is_room_short: bool,
    /// What each queue has gone without, in parts of the fleet times seconds.
    deficits_s: BTreeMap<QueueName, f64>,
    ordered_at: Time,
    reported_at: Time,
}

impl Claimants {
    /// Records whether a task found no room in a pass.
    pub(super) fn record_pass(&mut self, is_room_short: bool) {
        self.is_room_short = is_room_short;
        if !is_room_short {
            self.deficits_s.clear();
        }
    }

    fn terms(&self, job: &Job) -> ClaimantTerms {
        let of_priority = || ClaimantTerms::of_priority(job.queue.priority);
        self.terms.get(&job.queue.name).copied().unwrap_or_else(of_priority)
    }

    /// Updates the deficits, and returns the queues that have gone without for too long.
    fn update_deficits(
        &mut self,
        claimants: &BTreeMap<QueueName, Claimant>,
        now: Time,
    ) -> Vec<QueueName> {
        let gap_s = now.since(mem::replace(&mut self.ordered_at, now)).min(MAX_GAP).as_secs_f64();
        let earlier = mem::take(&mut self.deficits_s);
        let mut overdue = Vec::new();
        for (name, claimant) in claimants {
            let lacking = (claimant.allowance.share - claimant.taken).max(0.0);
            let deficit_s = match lacking {
                0.0 => 0.0,
                _ => earlier.get(name).copied().unwrap_or(0.0) + lacking * gap_s,
            };
            if deficit_s > claimant.allowance.share * MAX_DEFICIT.as_secs_f64() {
                overdue.push(name.clone());
            }
            self.deficits_s.insert(name.clone(), deficit_s);
        }
        overdue
    }
}

impl Scheduler {
    /// Replaces the terms that operators set for queues.
    pub(super) fn set_claimant_terms(&mut self, terms: BTreeMap<QueueName, ClaimantTerms>) {
        self.claimants.terms = terms;
        self.placement_needed = true;
    }

    /// Returns whether shares are in use and a task found no room in the last pass.
    pub(super) fn is_divided(&self) -> bool {
        self.claimants.is_room_short && self.settings.parts.has(LoadPart::Shares)
    }

    /// Returns whether an operator paused the job's queue.
    pub(super) fn is_paused(&self, job: &Job) -> bool {
        self.settings.parts.has(LoadPart::Shares)
            && self.claimants.terms.get(&job.queue.name).is_some_and(|terms| terms.paused)
    }

    /// Returns the jobs that may have waiting tasks, in the order in which they are placed while
    /// room is short.
    pub(super) fn order_by_shares(
        &mut self,
        waiting: Vec<(u32, PlacementRank, Time, JobId)>,
        pass: &PlacementPass,
    ) -> Vec<JobId> {
        let Division { total, mut claimants } = self.divide_room(pass);
        let overdue = self.claimants.update_deficits(&claimants, self.now);
        self.report_shares_if_due(&claimants, &overdue);
        let with_progress = |(priority, rank, due_at, id): (u32, PlacementRank, Time, JobId)| {
            let begun = Reverse(quarters_done(self.jobs.get(&id)?));
            Some((priority, rank, begun, due_at, id))
        };
        let mut ordered = waiting.into_iter().filter_map(with_progress).collect::<Vec<_>>();
        ordered.sort_unstable();
        let claimed = |(_, rank, .., id): (u32, PlacementRank, Reverse<u32>, Time, JobId)| {
            let job = self.jobs.get(&id)?;
            // Long-running tasks return no room, so they have no share.
            let claimant = claimants.get_mut(&job.queue.name).filter(|_| !job.is_long_running());
            let Some(claimant) = claimant else {
                let is_interrupted = rank == PlacementRank::InTime && has_waited(job, self.now);
                let claimed = if is_interrupted { Claimed::Interrupted } else { Claimed::Owed };
                return Some((claimed, id));
            };
            let before = claimant.taken;
            claimant.taken += waiting_room(job).dominant_share(&total);
            let claimed = match before < claimant.allowance.share {
                true if overdue.contains(&job.queue.name) => Claimed::Overdue,
                true => Claimed::Owed,
                false => Claimed::Borrowed,
            };
            Some((claimed, id))
        };
        let mut claimed = ordered.into_iter().filter_map(claimed).collect::<Vec<_>>();
        claimed.sort_by_key(|&(claimed, _)| claimed);
        claimed.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the queues with tasks that end by themselves, and divides the room among them.
    fn divide_room(&self, pass: &PlacementPass) -> Division {
        let mut claims = BTreeMap::<QueueName, Claim>::new();
        let jobs = self.open_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        for job in jobs.filter(|job| job.is_persisted && !job.is_long_running()) {
            if !claims.contains_key(&job.queue.name) {
                let terms = self.claimants.terms(job);
                let claim = Claim { terms, running: Room::default(), waiting: Room::default() };
                claims.insert(job.queue.name.clone(), claim);
            }
            let Some(claim) = claims.get_mut(&job.queue.name) else { continue };
            claim.running += running_room(job);
            claim.waiting += waiting_room(job);
        }
        let running = claims.values().fold(Room::default(), |sum, claim| sum + claim.running);
        let total = pass.free_room() + running;
        let allowances = divide(&total, &claims.values().copied().collect::<Vec<_>>());
        let claimant = |((name, claim), allowance): ((QueueName, Claim), Allowance)| {
            let taken = claim.running.dominant_share(&total);
            (name, Claimant { claim, allowance, taken })
        };
        Division { total, claimants: claims.into_iter().zip(allowances).map(claimant).collect() }
    }

    fn report_shares_if_due(
        &mut self,
        claimants: &BTreeMap<QueueName, Claimant>,
        overdue: &[QueueName],
    ) {
        if self.now.since(self.claimants.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.claimants.reported_at = self.now;
        let percent = |part: f64| (part * 100.0).round() as u32;
        for (name, claimant) in claimants {
            self.actions.push(Action::Log(LogEntry::RoomDivided {
                queue: name.clone(),
                weight: claimant.claim.terms.weight,
                running: claimant.claim.running,
                waiting: claimant.claim.waiting,
                demand_percent: percent(claimant.allowance.demand),
                taken_percent: percent(claimant.taken),
                allowance_percent: percent(claimant.allowance.share),
                bound: claimant.allowance.bound,
                overdue: overdue.contains(name),
            }));
        }
    }
}

/// Returns the room that the running tasks of a job take.
fn running_room(job: &Job) -> Room {
    room_of(job, |step| step.tasks.iter().filter(|task| !task.placed.is_empty()).count() as u32)
}

/// Returns the room that the due tasks of a job that wait would take.
fn waiting_room(job: &Job) -> Room {
    if !job.may_have_waiting_tasks {
        return Room::default();
    }
    room_of(job, Step::unplaced)
}

/// Returns the room that some tasks of each due step take.
fn room_of(job: &Job, tasks: impl Fn(&Step) -> u32) -> Room {
    let mut room = Room::default();
    for occurrence in job.occurrences.values() {
        for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
            if !step.is_done() && occurrence.is_due(spec) {
                room += Room::of_tasks(spec, tasks(step));
            }
        }
    }
    room
}

/// Returns how much of a job's work is done, in quarters: none of a long-running job.
fn quarters_done(job: &Job) -> u32 {
    let steps = job.occurrences.values().flat_map(|each| job.spec.steps.iter().zip(&each.steps));
    let (mut done, mut total) = (0, 0);
    for (spec, step) in steps {
        let work = u128::from(spec.estimate_ms.max(1)) * u128::from(spec.size.cpu_millis.0.max(1));
        done += work * u128::from(step.done);
        total += work * u128::from(spec.count);
    }
    (done * 4).checked_div(total).unwrap_or(0) as u32
}

/// Returns whether a task of a long-running job has waited for [`MAX_INTERRUPTION`] since it
/// failed. A task that was interrupted otherwise counts as such at once, since nothing tells when.
fn has_waited(job: &Job, now: Time) -> bool {
    let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
    let mut waiting = steps.flat_map(|step| &step.tasks).filter(|task| task.waits(now));
    waiting.any(|task| {
        task.not_before.is_none_or(|failed_at| now.since(failed_at) >= MAX_INTERRUPTION)
    })
}
