//! Which worker runs which task.

use super::{
    super::{
        event::{Action, Note, Order, StartOrder},
        job::{Job, Placement},
        life::{Life, LifeNo, Phase, Progress, RunThere},
        names::{JobId, TaskName},
        spec::StepSpec,
    },
    Scheduler,
    pace::SWING,
    room::{Room, added, capacity_millis, full_loads},
    tails::{Estimate, ImageNo, TailModel},
};

use crate::Time;

/// What fills is started where at least this share of its processor time is left, in percent.
const LEAST_LEFT_PERCENT: u32 = 80;
/// Weight of a worker's fullness, 0 to 1, when workers are compared. The unit of the other weights.
const FULLNESS: f64 = 1.0;
/// Weight of something that would disturb, or be disturbed, by what the task does.
const DISTURBANCE: f64 = 3.0;
/// Weight of a worker where other images could fill as well, beside one that is slowed: what has
/// many places to go leaves those alone that others need.
const SCARCITY: f64 = 0.25;
/// A job that takes more than so many times what its queue promises is worth little to its caller.
const LATEST: u32 = 3;
/// What fills is started where it is let work at this share of its speed at least: it holds memory.
const LEAST_PACE: f64 = 0.5;
/// The same for a task that loses its progress when it is stopped: it can't be moved.
const LEAST_PACE_UNMOVED: f64 = 0.8;
/// Weight of serving tasks of other images. Like beside like leaves, for each image that fills,
/// workers where nothing minds it.
const OTHER_IMAGE: f64 = 0.6;
/// Weight of being away from the data: the task takes up to twice as long.
const FAR: f64 = 4.0;
/// Weight of the worker on which the task failed last.
const FAILED_THERE: f64 = 8.0;

impl Scheduler {
    /// Places all tasks that wait, in the order of their queues, as far as there is room.
    pub(super) fn place_all(&mut self) {
        let now = self.now;
        let key = |&(priority, due_at, id): &(u32, Time, JobId)| {
            let lateness = self.jobs.get(&id).map(|job| Lateness::of(job, now));
            lateness.map(|lateness| (priority, lateness, due_at, id))
        };
        let mut open = self.open.iter().filter_map(key).collect::<Vec<_>>();
        open.sort_unstable();
        let mut full = Full::default();
        for (.., id) in open {
            self.place_job(id, &mut full);
        }
    }

    /// Places what of one job waits.
    pub(super) fn place_job(&mut self, id: JobId, full: &mut Full) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.kept) else { return };
        if job.inherited && !self.unheard.is_empty() {
            return;
        }
        for (occurrence, step) in due_steps(job, self.now) {
            let Some(spec) = self.jobs.get(&id).and_then(|job| job.spec.steps.get(step as usize))
            else {
                continue;
            };
            if full.has_no_room_for(spec) {
                continue;
            }
            let spec = spec.clone();
            match spec.gang {
                true => self.place_gang(id, occurrence, step, &spec),
                false if self.place_step(id, occurrence, step, &spec) => {}
                false => full.note(spec),
            }
        }
    }

    /// Places the tasks of a step. `false`: there is no room for some of them.
    fn place_step(&mut self, id: JobId, occurrence: u32, step: u32, spec: &StepSpec) -> bool {
        for index in 0..spec.count {
            let name = TaskName { job: id, occurrence, step, index };
            let waits = |job: &Job| {
                job.task(occurrence, step, index).is_some_and(|task| task.waits(self.now))
            };
            if !self.jobs.get(&id).is_some_and(waits) {
                continue;
            }
            match self.choose(name, spec, &[]) {
                Some(life) => self.start(name, life, spec, None),
                None => return false,
            }
        }
        true
    }

    /// Places all members of a gang or none.
    fn place_gang(&mut self, id: JobId, occurrence: u32, step: u32, spec: &StepSpec) {
        let Some(job) = self.jobs.get(&id) else { return };
        let tasks = job.occurrences.get(&occurrence).and_then(|it| it.steps.get(step as usize));
        let Some(tasks) = tasks.map(|step| &step.tasks) else { return };
        if !tasks.iter().all(|task| task.waits(self.now)) {
            return;
        }
        let run = tasks.iter().map(|task| task.last_run).max().unwrap_or(0) + 1;
        let mut chosen = Vec::new();
        for index in 0..spec.count {
            let name = TaskName { job: id, occurrence, step, index };
            match self.choose(name, spec, &chosen) {
                Some(life) => chosen.push(life),
                None => return,
            }
        }
        let checkpoint = tasks_checkpoint(self.jobs.get(&id), occurrence, step);
        for (index, life) in (0..).zip(chosen) {
            let name = TaskName { job: id, occurrence, step, index };
            if let Some(task) =
                self.jobs.get_mut(&id).and_then(|job| job.task_mut(occurrence, step, index))
            {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.start(name, life, spec, Some(run));
        }
    }

    pub(super) fn step_of(&self, name: TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.spec.steps.get(name.step as usize)
    }

    /// Works out anew what workers have left where something changed.
    pub(super) fn refresh_rooms(&mut self) {
        for life in self.lives.values_mut().filter(|life| life.room.is_none()) {
            life.room = Some(Room::of(life, &self.tails));
        }
    }

    /// The best worker for a task, beside members that are about to be placed.
    pub(super) fn choose(
        &mut self,
        name: TaskName,
        spec: &StepSpec,
        members: &[LifeNo],
    ) -> Option<LifeNo> {
        self.refresh_rooms();
        let job = self.jobs.get(&name.job)?;
        let image = *job.images.get(name.step as usize)?;
        let avoid = job.task(name.occurrence, name.step, name.index).and_then(|task| task.avoid);
        let rack =
            members.first().and_then(|no| self.lives.get(no)).map(|life| life.entry.rack.as_str());
        let fit = Fit { name, spec, image, members, rack, avoid, tails: &self.tails };
        let candidates = self.lives.iter().filter(|(_, life)| {
            life.takes_work(self.now) && life.entry.service == job.queue.service
        });
        let scored = candidates.filter_map(|(&no, life)| {
            let room = life.room.as_ref()?;
            fit.score(no, life, room).map(|score| (score, no))
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, no)| no)
    }

    pub(super) fn start(&mut self, name: TaskName, no: LifeNo, spec: &StepSpec, run: Option<u32>) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let payload = job.payload.clone();
        let Some(&image) = job.images.get(name.step as usize) else { return };
        let Some(task) = job.task_mut(name.occurrence, name.step, name.index) else { return };
        let Some(life) = self.lives.get_mut(&no) else { return };
        let run = run.unwrap_or(task.last_run + 1);
        task.last_run = run;
        task.placed.push(Placement { life: no, run });
        let checkpoint = task.checkpoint.clone().filter(|_| spec.keeps_progress);
        let note = Note::Placed {
            task: name,
            run,
            worker: life.id().clone(),
            free: life.room.as_ref().map(|room| room.free).unwrap_or_default(),
            heard_ago_ms: life.heard_ago_ms(now),
        };
        let there = RunThere {
            run,
            phase: Phase::Ordered,
            size: spec.size,
            fills: spec.fills,
            serves: spec.tail_target_ms.is_some(),
            stopping: false,
            keeps_progress: spec.keeps_progress,
            lasts: spec.lasts,
            tail_target_ms: spec.tail_target_ms,
            image,
            percent: 0,
            progress: Progress::new(now),
            gauge: None,
            paced_percent: 100,
            own_stress: Estimate::own(),
            learned_at: None,
            over_since: None,
        };
        life.insert_run(name, there);
        self.out.push(Action::Note(note));
        let order = StartOrder { task: name, run, payload, checkpoint, ticket: None };
        self.order(no, Order::Start(order));
    }
}

/// How far a job is behind what its queue promises. What can still be in time goes first: it is
/// worth most, and under overload the late ones would make all others late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    InTime,
    Late,
    /// Later than [`LATEST`] times what was promised.
    Hopeless,
}

impl Lateness {
    fn of(job: &Job, now: Time) -> Self {
        let promised = job.due_at.since(job.accepted_at);
        let lasts = job.spec.steps.iter().any(|step| step.lasts);
        match now.since(job.accepted_at) {
            _ if lasts || job.spec.schedule.is_some() => Self::InTime,
            waited if waited <= promised => Self::InTime,
            waited if waited <= promised * LATEST => Self::Late,
            _ => Self::Hopeless,
        }
    }
}

/// What was found to have no room in one pass over the jobs, so that it is not looked for again.
#[derive(Debug, Default)]
pub(super) struct Full {
    steps: Vec<StepSpec>,
}

impl Full {
    /// Whether a step asks for no less than one that found no room, and is like it in all else.
    fn has_no_room_for(&self, spec: &StepSpec) -> bool {
        self.steps.iter().any(|full| {
            full.fills == spec.fills
                && full.image == spec.image
                && full.size.fits_in(&spec.size)
                && (full.max_per_worker.is_none() && full.label.is_none())
        })
    }

    fn note(&mut self, spec: StepSpec) {
        if spec.label.is_none() && spec.max_per_worker.is_none() {
            self.steps.push(spec);
        }
    }
}

/// The steps whose turn has come and that have tasks waiting.
fn due_steps(job: &Job, now: Time) -> Vec<(u32, u32)> {
    let mut due = Vec::new();
    for (&number, occurrence) in &job.occurrences {
        for (at, spec) in (0_u32..).zip(&job.spec.steps) {
            let step = &occurrence.steps[at as usize];
            let waits = || step.tasks.iter().any(|task| task.waits(now));
            if !step.is_done() && waits() && occurrence.is_due(spec) {
                due.push((number, at));
            }
        }
    }
    due
}

fn tasks_checkpoint(job: Option<&Job>, occurrence: u32, step: u32) -> Option<String> {
    let step = job?.occurrences.get(&occurrence)?.steps.get(step as usize)?;
    step.tasks.iter().find_map(|task| task.checkpoint.clone())
}

/// A task that looks for a worker.
struct Fit<'a> {
    name: TaskName,
    spec: &'a StepSpec,
    image: ImageNo,
    /// Where other members of its gang are about to be placed.
    members: &'a [LifeNo],
    /// The rack that they are in.
    rack: Option<&'a str>,
    /// Where it failed, or was slow.
    avoid: Option<LifeNo>,
    tails: &'a TailModel,
}

impl Fit<'_> {
    /// How well a worker suits the task, less is better; `None` if it does not.
    fn score(&self, no: LifeNo, life: &Life, room: &Room) -> Option<f64> {
        let spec = self.spec;
        let labelled = spec.label.as_ref().is_none_or(|label| life.entry.labels.contains(label));
        if !labelled || !self.has_room(no, life, room) {
            return None;
        }
        let disturbance = self.disturbance(life, room)?;
        let fullness = 1.0 - if spec.fills { room.fill_share } else { room.free_share };
        let far = spec.near_rack.as_ref().is_some_and(|near| !life.entry.labels.contains(near));
        let apart = spec.same_rack && self.rack.is_some_and(|rack| rack != life.entry.rack);
        let far = if far || apart { FAR } else { 0.0 };
        let failed = if self.avoid == Some(no) { FAILED_THERE } else { 0.0 };
        Some(FULLNESS * fullness + DISTURBANCE * disturbance + far + failed)
    }

    /// How much of what the worker runs would disturb the task, or be disturbed by it; `None` if so
    /// much that the task should wait instead.
    fn disturbance(&self, life: &Life, room: &Room) -> Option<f64> {
        let spec = self.spec;
        let load = f64::from(spec.size.cpu_millis.0) / capacity_millis(life);
        match (spec.fills, spec.tail_target_ms.is_some()) {
            (true, _) => {
                let least = if spec.keeps_progress { LEAST_PACE } else { LEAST_PACE_UNMOVED };
                let pace = |swing| room.expected_pace(self.tails, self.image, load, swing);
                let slowed = 1.0 - pace(SWING);
                (pace(0.0) >= least).then_some(slowed + SCARCITY * room.tolerance)
            }
            (_, true) => {
                let stress = added(self.tails, &full_loads(life), self.image).min(1.0);
                Some(stress + if room.is_foreign(self.image) { OTHER_IMAGE } else { 0.0 })
            }
            _ => Some(0.0),
        }
    }

    fn has_room(&self, no: LifeNo, life: &Life, room: &Room) -> bool {
        let (name, spec) = (self.name, self.spec);
        if life.runs().contains_key(&name) {
            return false;
        }
        let same_step = |other: &TaskName| {
            (other.job, other.occurrence, other.step) == (name.job, name.occurrence, name.step)
        };
        let members_here = self.members.iter().filter(|&&member| member == no).count() as u32;
        let siblings =
            || life.runs().keys().filter(|other| same_step(other)).count() as u32 + members_here;
        if spec.max_per_worker.is_some_and(|most| siblings() >= most) {
            return false;
        }
        let mut free = room.free;
        for _ in 0..members_here {
            match free.checked_sub(&spec.size) {
                Some(left) => free = left,
                None => return false,
            }
        }
        let fills_in = || {
            let needs = spec.size.cpu_millis.0 * LEAST_LEFT_PERCENT / 100;
            spec.size.memory_mb <= free.memory_mb
                && spec.size.accelerators <= free.accelerators
                && room.cpu_left_to_fill >= needs
        };
        if spec.fills { fills_in() } else { spec.size.fits_in(&free) }
    }
}
