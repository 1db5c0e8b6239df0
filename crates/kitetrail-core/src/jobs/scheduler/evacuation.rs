//! Availability zones that are being evacuated: nothing starts there, and what runs there for long goes
//! elsewhere where there is room. See `docs/design/evacuation.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    super::{
        event::Action,
        life::{Life, LifeNo, Listing},
        names::{JobId, StepName, TaskName},
        note::Note,
        order::Order,
        run::RunThere,
        spec::StepSpec,
    },
    Scheduler,
    room::{added, full_loads},
    stragglers::left_ms,
};
use crate::Time;

/// How often one run is moved out of a zone that is evacuated, over all workers: a zone with 600
/// tasks that last is empty within a minute.
const MOVE_EVERY: Duration = Duration::from_millis(100);
/// On how many workers something to move is looked for each time: each run that may move is held against
/// every worker.
const LIVES_AT_ONCE: usize = 4;
/// A run that keeps its progress and is done sooner than this is left to finish, in milliseconds: to
/// stop it and to start it again takes about a second.
const FINISHES_WITHIN_MS: f64 = 5_000.0;

/// The zones that are being evacuated, and what was done about them.
#[derive(Debug, Default)]
pub(super) struct ZoneEvacuation {
    zones: BTreeSet<String>,
    /// When a run was moved last.
    moved_at: Time,
    /// Where the search for the next run goes on.
    moved_from: Option<LifeNo>,
    /// The steps that were looked at: whether any worker outside could run their tasks.
    looked_at: BTreeMap<JobId, BTreeSet<u32>>,
}

impl Scheduler {
    /// Puts the zones that are being evacuated in force, all of them.
    pub(super) fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        if self.evacuation.zones == zones {
            return;
        }
        self.evacuation.zones = zones;
        self.evacuation.looked_at.clear();
        for no in self.lives.numbers() {
            self.note_zone(no);
        }
        self.replan = true;
    }

    /// Brings up to date whether a worker is in a zone that is being evacuated.
    pub(super) fn note_zone(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get_mut(no) else { return };
        let was_evacuated = life.zone_evacuated;
        life.zone_evacuated = self.evacuation.zones.contains(&life.entry.zone);
        if life.zone_evacuated && !was_evacuated {
            self.take_back_starts(no);
        }
    }

    /// How many runs are left on workers of zones that are being evacuated.
    pub fn runs_in_evacuated_zones(&self) -> u64 {
        if self.evacuation.zones.is_empty() {
            return 0;
        }
        let lives = self.lives.values().filter(|life| life.zone_evacuated);
        lives.map(|life| life.runs().len() as u64).sum()
    }

    /// Takes back the orders to start that have not left.
    fn take_back_starts(&mut self, no: LifeNo) {
        let Some(life) = self.lives.get(no) else { return };
        let start = |order: &Order| match order {
            Order::Start(start) => Some((start.task, start.run)),
            Order::Stop { .. } | Order::Pace { .. } => None,
        };
        for (task, run) in life.orders.iter().filter_map(start).collect::<Vec<_>>() {
            self.stop_run(no, task, run);
            if self.step_spec(task).is_some_and(|spec| spec.gang) {
                self.stop_members(task, run);
            }
        }
    }

    /// Stops the other members of a gang, which can't work without the one that was taken back.
    fn stop_members(&mut self, name: TaskName, run: u32) {
        let Some(step) = self.jobs.get(&name.job).and_then(|job| job.step(name.step_name())) else {
            return;
        };
        let members = (0..).zip(&step.tasks).flat_map(|(index, task)| {
            task.placed.iter().map(move |placed| (placed.life, name.step_name().task(index)))
        });
        for (no, member) in members.collect::<Vec<_>>() {
            self.stop_run(no, member, run);
        }
    }

    /// Moves one run out of a zone that is being evacuated, if it is time and there is room for it.
    pub(super) fn move_out_if_due(&mut self) {
        let due = self.now.since(self.evacuation.moved_at) >= MOVE_EVERY;
        if self.evacuation.zones.is_empty() || !due || self.short_work.waits() {
            return;
        }
        self.evacuation.moved_at = self.now;
        for no in self.lives_to_empty().into_iter().take(LIVES_AT_ONCE) {
            self.evacuation.moved_from = Some(no);
            if let Some((task, run)) = self.run_to_move(no) {
                return self.move_run(no, task, run, "moved: its zone is being evacuated");
            }
        }
    }

    /// The workers with something to move, each after the one before, so that all get their turn.
    fn lives_to_empty(&self) -> Vec<LifeNo> {
        let last = self.evacuation.moved_from;
        let leaves = |life: &Life| life.zone_evacuated && !life.runs().is_empty();
        let lives = self.lives.iter().filter(|(_, life)| leaves(life) && life.silent == 0);
        let mut lives = lives.map(|(no, _)| no).collect::<Vec<_>>();
        lives.sort_by_key(|&no| (last.is_some_and(|last| no <= last), no));
        lives
    }

    /// A run of a worker that is to move and for which there is room elsewhere.
    fn run_to_move(&mut self, no: LifeNo) -> Option<(TaskName, u32)> {
        let now = self.now;
        let life = self.lives.get(no)?;
        let runs = life.runs().iter().filter(|(_, run)| moves(run, now));
        let runs = runs.map(|(&task, run)| (task, run.run)).collect::<Vec<_>>();
        runs.into_iter().find(|&(task, _)| {
            let spec = self.step_spec(task).filter(|spec| !spec.gang).cloned();
            spec.is_some_and(|spec| {
                self.may_be_away(task, &spec)
                    && !self.takes_room_of_short_work(&spec)
                    && self.finds_place_undisturbed(task, &spec)
            })
        })
    }

    /// Whether there is room elsewhere for a task and, if it serves, nothing that fills would disturb it
    /// there: where it is it will be alone soon.
    fn finds_place_undisturbed(&mut self, name: TaskName, spec: &StepSpec) -> bool {
        let Some(no) = self.choose(name, spec, &[]) else { return false };
        let image = self.jobs.get(&name.job).and_then(|job| job.images.get(name.step as usize));
        let Some((life, &image)) = self.lives.get(no).zip(image) else { return false };
        spec.tail_target_ms.is_none() || added(&self.tails, &full_loads(life), image) == 0.0
    }

    /// Whether a task may be away for the time of a move. Tasks of a step that lasts move one after the
    /// other, whatever more of them may be away.
    fn may_be_away(&self, name: TaskName, spec: &StepSpec) -> bool {
        match spec.lasts {
            true => spec.may_miss != Some(0) && self.all_at_work(name.step_name()),
            false => true,
        }
    }

    /// Whether all tasks of a step are at work, as far as is known.
    fn all_at_work(&self, step: StepName) -> bool {
        let Some(tasks) = self.jobs.get(&step.job).and_then(|job| job.step(step)) else {
            return false;
        };
        (0..).zip(&tasks.tasks).all(|(index, task)| {
            task.placed.iter().any(|placed| {
                let life = self.lives.get(placed.life).filter(|life| life.silent == 0);
                life.and_then(|life| life.runs().get(&step.task(index)))
                    .is_some_and(RunThere::is_at_work)
            })
        })
    }

    /// Says once of each step whose tasks wait that only zones that are being evacuated could run it.
    pub(super) fn note_if_zone_needed(&mut self, step: StepName) {
        if self.evacuation.zones.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(spec) = job.step_spec(step.step) else { return };
        if !self.evacuation.looked_at.entry(step.job).or_default().insert(step.step) {
            return;
        }
        let able = |life: &&Life| {
            life.listing == Listing::Listed && could_run(life, &job.queue.service, spec)
        };
        let mut able = self.lives.values().filter(able).peekable();
        if able.peek().is_some() && able.all(|life| life.zone_evacuated) {
            let (job, step) = (step.job, step.step);
            self.out.push(Action::Note(Note::WaitsForZone { job, step }));
        }
    }

    /// Forgets what was noted of a job that ended.
    pub(super) fn forget_zone_needed(&mut self, job: JobId) {
        self.evacuation.looked_at.remove(&job);
    }
}

/// Whether a run is to leave a zone that is being evacuated: it lasts, or takes long and keeps its
/// progress.
fn moves(run: &RunThere, now: Time) -> bool {
    let goes_on = !run.stopping && run.is_running();
    let is_long = left_ms(run, now).is_some_and(|left_ms| left_ms > FINISHES_WITHIN_MS);
    goes_on && (run.lasts || (run.keeps_progress && is_long))
}

/// Whether a worker could run a task if it ran nothing else.
fn could_run(life: &Life, service: &str, spec: &StepSpec) -> bool {
    let labelled = spec.label.as_ref().is_none_or(|label| life.entry.labels.contains(label));
    life.entry.service == service && labelled && spec.size.fits_in(&life.entry.capacity)
}
