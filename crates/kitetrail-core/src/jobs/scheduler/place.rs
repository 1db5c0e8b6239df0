//! Places tasks that wait on workers, in the order of their queues.

use std::{iter, sync::Arc};

use super::{
    super::{
        crashes::BegunRun,
        event::Action,
        job::Job,
        life::{Life, LifeNo},
        names::{JobId, StepName, TaskName},
        note::Note,
        order::{Order, StartOrder},
        run::{Phase, RunThere},
        spec::StepSpec,
        steps::Placement,
    },
    Scheduler,
    fit::Fit,
    lateness::{Lateness, PlacementRank},
    pass::PlacementPass,
    ranking::Ranking,
    room::Room,
};
use crate::Time;

impl Scheduler {
    /// Places all tasks that wait, in the order of their queues, as far as there is room.
    pub(super) fn place_all(&mut self) {
        let mut pass = self.begin_pass();
        for id in self.jobs_that_wait() {
            self.place_job(id, &mut pass);
        }
        self.note_short_need(pass.short_waiting);
    }

    /// The jobs with tasks that may wait, in the order in which they are served.
    fn jobs_that_wait(&self) -> Vec<JobId> {
        let overlooked = |job: &&Job| !job.may_wait && job.has_due_unplaced();
        debug_assert!(
            self.jobs.values().find(overlooked).is_none(),
            "every job with a task that waits for a worker is looked at"
        );
        let key = |&(priority, due_at, id): &(u32, Time, JobId)| {
            let job = self.jobs.get(&id).filter(|job| job.may_wait)?;
            Some((priority, PlacementRank::of(job, self.now), due_at, id))
        };
        let mut waiting = self.open.iter().filter_map(key).collect::<Vec<_>>();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., id)| id).collect()
    }

    /// Places what of one job waits.
    pub(super) fn place_job(&mut self, id: JobId, pass: &mut PlacementPass) {
        let (now, has_unheard) = (self.now, !self.unheard.is_empty());
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.kept) else { return };
        let lateness = Lateness::of(job, now);
        if (job.inherited && has_unheard) || pass.starts_left == 0 {
            return;
        }
        for step in job.due_steps(now) {
            self.note_if_zone_needed(step);
            let spec = self.jobs.get(&id).and_then(|job| job.step_spec(step.step));
            let Some(spec) = spec.filter(|spec| !pass.has_no_room_for(spec, lateness)).cloned()
            else {
                continue;
            };
            match spec.gang {
                true => self.place_gang(step, &spec, pass),
                false if self.place_step(step, &spec, pass) => {}
                false => pass.note_no_room(spec, lateness),
            }
        }
    }

    /// Places the tasks of a step. `false`: there is no room for some of them.
    fn place_step(&mut self, step: StepName, spec: &StepSpec, pass: &mut PlacementPass) -> bool {
        let waiting = self.waiting_tasks(step, spec);
        let Some(&first) = waiting.first() else { return true };
        let mut ranking = self.rank(first, spec, pass);
        for (at, &name) in waiting.iter().enumerate() {
            if pass.starts_left == 0 || self.is_held_back(name, spec) {
                return true;
            }
            let Some(life) = ranking.take_best(|no| self.score(name, spec, no)) else {
                return false;
            };
            self.start(name, life, spec, None);
            pass.starts_left -= 1;
            let next = waiting.get(at + 1);
            if let Some(score) = next.and_then(|&next| self.score(next, spec, life)) {
                ranking.put_back(life, score);
            }
        }
        true
    }

    /// The tasks of a step that wait for a worker.
    fn waiting_tasks(&self, step: StepName, spec: &StepSpec) -> Vec<TaskName> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let names = (0..spec.count).map(|index| step.task(index));
        names.filter(|&name| job.task(name).is_some_and(|task| task.waits(self.now))).collect()
    }

    /// All workers that a task suits, best first.
    fn rank(&mut self, name: TaskName, spec: &StepSpec, pass: &PlacementPass) -> Ranking {
        self.refresh_rooms();
        // What one task should avoid, its siblings need not.
        let fit =
            self.fit(name, spec, &[]).map(|fit| Fit { avoid: None, runs_alone: false, ..fit });
        let Some(fit) = fit else { return Ranking::new(iter::empty()) };
        let score = |no| Some((self.score_with(&fit, no, self.lives.get(no)?)?, no));
        Ranking::new(pass.with_room_for(spec).filter_map(score))
    }

    /// How well a worker suits a task, less is better; `None` if it does not.
    fn score(&mut self, name: TaskName, spec: &StepSpec, no: LifeNo) -> Option<f64> {
        let life = self.lives.get_mut(no)?;
        if life.room.is_none() {
            life.room = Some(Room::of(life));
        }
        self.score_known(name, spec, no)
    }

    /// The same, for a worker of which it is worked out what it has left.
    fn score_known(&self, name: TaskName, spec: &StepSpec, no: LifeNo) -> Option<f64> {
        self.score_with(&self.fit(name, spec, &[])?, no, self.lives.get(no)?)
    }

    /// A task that looks for a worker, beside members that are about to be placed.
    fn fit<'a>(
        &'a self,
        name: TaskName,
        spec: &'a StepSpec,
        members: &'a [LifeNo],
    ) -> Option<Fit<'a>> {
        let job = self.jobs.get(&name.job)?;
        let first = members.first().and_then(|&no| self.lives.get(no));
        Some(Fit {
            name,
            spec,
            service: &job.queue.service,
            image: *job.images.get(name.step as usize)?,
            members,
            rack: first.map(|life| life.entry.rack.as_str()),
            avoid: job.task(name).and_then(|task| task.avoid),
            now: self.now,
            runs_alone: job.task(name).is_some_and(|task| task.crashes.runs_alone()),
            lateness: Lateness::of(job, self.now),
            tails: &self.tails,
            short_work: &self.short_work,
        })
    }

    /// All workers that a task suits, each with how well.
    fn scored(&self, fit: &Fit<'_>) -> impl Iterator<Item = (f64, LifeNo)> {
        let score = |no, life| self.score_with(fit, no, life).map(|score| (score, no));
        self.lives.iter().filter_map(move |(no, life)| score(no, life))
    }

    /// How well a worker suits a task; `None` if it does not, or takes no work.
    fn score_with(&self, fit: &Fit<'_>, no: LifeNo, life: &Life) -> Option<f64> {
        let room = life.room.as_ref().filter(|room| room.left.fits(fit.spec))?;
        let takes_it = life.takes_work(self.now) && life.entry.service == fit.service;
        if takes_it { fit.score(no, life, room) } else { None }
    }

    /// Places all members of a gang or none.
    fn place_gang(&mut self, step: StepName, spec: &StepSpec, pass: &mut PlacementPass) {
        let members = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let Some(tasks) = members.map(|members| &members.tasks) else { return };
        if !tasks.iter().all(|task| task.waits(self.now)) {
            return;
        }
        let run = tasks.iter().map(|task| task.last_run).max().unwrap_or(0) + 1;
        let watched = tasks.iter().any(|task| task.watched);
        let checkpoint = tasks.iter().find_map(|task| task.checkpoint.clone());
        let mut chosen = Vec::new();
        for index in 0..spec.count {
            match self.choose(step.task(index), spec, &chosen) {
                Some(life) => chosen.push(life),
                None => return,
            }
        }
        pass.starts_left = pass.starts_left.saturating_sub(spec.count);
        for (index, life) in (0..).zip(chosen) {
            let name = step.task(index);
            if let Some(task) = self.task_mut(name) {
                task.checkpoint.clone_from(&checkpoint);
                // They wait for each other, so they leave together.
                task.watched = watched;
            }
            self.start(name, life, spec, Some(run));
        }
    }

    /// Works out anew what workers have left where something changed.
    pub(super) fn refresh_rooms(&mut self) {
        for life in self.lives.values_mut().filter(|life| life.room.is_none()) {
            life.room = Some(Room::of(life));
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
        let fit = self.fit(name, spec, members)?;
        self.scored(&fit).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, no)| no)
    }

    /// Gives a task to a worker, as the given run or the task's next one.
    pub(super) fn start(&mut self, name: TaskName, no: LifeNo, spec: &StepSpec, run: Option<u32>) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let payload = Arc::clone(&job.payload);
        let Some(&image) = job.images.get(name.step as usize) else { return };
        let Some(task) = job.task_mut(name) else { return };
        let Some(life) = self.lives.get_mut(no) else { return };
        let run = run.unwrap_or(task.last_run + 1);
        task.last_run = run;
        let suspected = !task.crashes.workers.is_empty();
        let alone = task.crashes.runs_alone();
        task.note_start(self.inherited_crashed);
        let keep_first = task.watched;
        task.crashes.begun = keep_first.then(|| BegunRun::new(run, life.entry.key()));
        task.placed.push(Placement { life: no, run });
        let checkpoint = task.checkpoint.clone().filter(|_| spec.keeps_progress);
        self.started.note(spec.kind(), job.can_be_in_time(self.now));
        self.out.push(Action::Note(Note::Placed {
            task: name,
            run,
            worker: life.id().clone(),
            free: life.room.as_ref().map(|room| room.left.free).unwrap_or_default(),
            heard_ago_ms: life.heard_ago_ms(self.now),
        }));
        if !spec.fills && !spec.lasts {
            self.short_work.note_size(spec.size.cpu_millis.0);
        }
        let phase = if keep_first { Phase::Unkept } else { Phase::Ordered };
        let there = RunThere::new(run, spec, image, self.now);
        life.insert_run(name, RunThere { phase, suspected, alone, ..there });
        let order = StartOrder { task: name, run, payload, checkpoint, ticket: None };
        match keep_first {
            true => self.order_once_kept(no, order),
            false => self.order(no, Order::Start(order)),
        }
    }
}
