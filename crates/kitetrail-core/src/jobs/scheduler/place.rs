//! Places waiting tasks on workers, in the order of their queues.

use std::{iter, sync::Arc};

use super::{
    super::{
        crashes::PersistedStart,
        event::Action,
        instance::{InstanceNo, WorkerInstance},
        job::Job,
        log_entry::LogEntry,
        names::{JobId, StepName, TaskName},
        order::{Order, StartOrder},
        run::{Phase, PlacedRun},
        spec::{StepSpec, WorkKind},
        steps::Placement,
    },
    Scheduler,
    fit::Fit,
    free_capacity::FreeCapacity,
    lateness::{Lateness, PlacementRank},
    pass::PlacementPass,
    ranking::Ranking,
};
use crate::Time;

impl Scheduler {
    /// Places all waiting tasks, in the order of their queues, as far as there is room.
    pub(super) fn place_all(&mut self) {
        let mut pass = self.begin_pass();
        self.update_gaps(&pass);
        let waiting = self.waiting_jobs(&pass);
        for &id in &waiting {
            self.place_job(id, &mut pass);
        }
        if pass.found_no_room {
            self.preempt_if_due(&waiting);
        }
        self.claimants.record_pass(pass.found_no_room);
        self.update_short_task_need(pass.short_waiting);
    }

    /// Returns the jobs that may have waiting tasks, in the order in which they are placed.
    fn waiting_jobs(&mut self, pass: &PlacementPass) -> Vec<JobId> {
        let is_overlooked = |job: &&Job| !job.may_have_waiting_tasks && job.has_due_unplaced();
        debug_assert!(
            self.jobs.values().find(is_overlooked).is_none(),
            "jobs with waiting tasks have `may_wait` set"
        );
        let key = |&(priority, due_at, id): &(u32, Time, JobId)| {
            let job = self.jobs.get(&id).filter(|job| job.may_have_waiting_tasks)?;
            Some((priority, PlacementRank::of(job, self.now), due_at, id))
        };
        let mut waiting = self.open_jobs.iter().filter_map(key).collect::<Vec<_>>();
        if self.is_divided() {
            return self.order_by_shares(waiting, pass);
        }
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., id)| id).collect()
    }

    /// Places the waiting tasks of one job.
    pub(super) fn place_job(&mut self, id: JobId, pass: &mut PlacementPass) {
        let (now, awaits_workers) = (self.now, self.awaits_workers());
        let is_paused = self.jobs.get(&id).is_some_and(|job| self.is_paused(job));
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_persisted) else { return };
        let lateness = Lateness::of(job, now);
        if pass.starts_left == 0 || is_paused {
            return;
        }
        for step in job.due_steps(now, awaits_workers) {
            self.log_if_zone_required(step);
            let spec = self.jobs.get(&id).and_then(|job| job.step_spec(step.step));
            let Some(spec) = spec.filter(|spec| !pass.has_no_room_for(spec, lateness)).cloned()
            else {
                continue;
            };
            match spec.gang {
                true => self.place_gang(step, &spec, pass),
                false if self.place_step(step, &spec, pass) => {}
                false => pass.record_no_room(spec, lateness),
            }
        }
    }

    /// Places the waiting tasks of a step. Returns `false` if there is no room for some of them.
    fn place_step(&mut self, step: StepName, spec: &StepSpec, pass: &mut PlacementPass) -> bool {
        let waiting = self.waiting_tasks(step, spec);
        let Some(&first) = waiting.first() else { return true };
        // Before the ranking, which weighs every worker.
        if self.is_held_back(first, spec) {
            return true;
        }
        let mut ranking = self.rank(first, spec, pass);
        for (position, &name) in waiting.iter().enumerate() {
            if pass.starts_left == 0 || self.is_held_back(name, spec) {
                return true;
            }
            let Some(instance_no) =
                ranking.take_best(|instance_no| self.score(name, spec, instance_no))
            else {
                return false;
            };
            self.start(name, instance_no, spec, None);
            pass.starts_left -= 1;
            let next = waiting.get(position + 1);
            if let Some(score) = next.and_then(|&next| self.score(next, spec, instance_no)) {
                ranking.put_back(instance_no, score);
            }
        }
        true
    }

    /// Returns the tasks of a step that wait for a worker.
    fn waiting_tasks(&self, step: StepName, spec: &StepSpec) -> Vec<TaskName> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let (now, awaits_workers) = (self.now, self.awaits_workers());
        let may_start = |name: &TaskName| {
            job.task(*name).is_some_and(|task| task.may_start(now, awaits_workers))
        };
        (0..spec.count).map(|index| step.task(index)).filter(may_start).collect()
    }

    /// Ranks the workers with room for a task, best first.
    fn rank(&mut self, name: TaskName, spec: &StepSpec, pass: &PlacementPass) -> Ranking {
        self.refresh_rooms();
        // The worker that one task avoids need not be avoided by its siblings.
        let fit = self.fit(name, spec, &[]).map(|fit| Fit {
            avoided_instance: None,
            runs_alone: false,
            ..fit
        });
        let Some(fit) = fit else { return Ranking::new(iter::empty()) };
        let score = |instance_no| {
            Some((
                self.score_with(&fit, instance_no, self.instances.get(instance_no)?)?,
                instance_no,
            ))
        };
        Ranking::new(pass.with_room_for(spec).filter_map(score))
    }

    /// Returns how well a worker suits a task, where lower is better, or `None` if it can't run it.
    fn score(&mut self, name: TaskName, spec: &StepSpec, instance_no: InstanceNo) -> Option<f64> {
        let instance = self.instances.get_mut(instance_no)?;
        if instance.free_capacity.is_none() {
            instance.free_capacity = Some(FreeCapacity::of(instance));
        }
        self.score_up_to_date(name, spec, instance_no)
    }

    /// The same, for a worker whose remaining capacity is up to date.
    fn score_up_to_date(
        &self,
        name: TaskName,
        spec: &StepSpec,
        instance_no: InstanceNo,
    ) -> Option<f64> {
        self.score_with(&self.fit(name, spec, &[])?, instance_no, self.instances.get(instance_no)?)
    }

    /// Returns the placement inputs of a task, beside gang members whose workers are chosen
    /// already.
    fn fit<'a>(
        &'a self,
        name: TaskName,
        spec: &'a StepSpec,
        members: &'a [InstanceNo],
    ) -> Option<Fit<'a>> {
        let job = self.jobs.get(&name.job)?;
        let first = members.first().and_then(|&instance_no| self.instances.get(instance_no));
        let lateness = Lateness::of(job, self.now);
        Some(Fit {
            name,
            spec,
            service: &job.queue.service,
            image: *job.images.get(name.step as usize)?,
            members,
            rack: first.map(|instance| instance.entry.rack.as_str()),
            avoided_instance: job.task(name).and_then(|task| task.avoided_instance),
            now: self.now,
            runs_alone: job.task(name).is_some_and(|task| task.crashes.runs_alone()),
            lateness,
            tails: &self.tails,
            gaps: &self.gaps,
            packs_short_tasks: self.packs_short_tasks(),
            suitability: self.suitability(name, spec, lateness),
        })
    }

    /// Returns all workers that suit a task, each with its score.
    fn scored_workers(&self, fit: &Fit<'_>) -> impl Iterator<Item = (f64, InstanceNo)> {
        let score = |instance_no, instance| {
            self.score_with(fit, instance_no, instance).map(|score| (score, instance_no))
        };
        self.instances
            .iter()
            .filter_map(move |(instance_no, instance)| score(instance_no, instance))
    }

    /// Returns how well a worker suits a task, or `None` if it can't run it or takes no work.
    fn score_with(
        &self,
        fit: &Fit<'_>,
        instance_no: InstanceNo,
        instance: &WorkerInstance,
    ) -> Option<f64> {
        let free_capacity = instance
            .free_capacity
            .as_ref()
            .filter(|free_capacity| free_capacity.free.fits(fit.spec))?;
        let is_held = !fit.spec.long_running
            && self.preemptions.is_held_from(instance_no, fit.name.job, self.now);
        let is_eligible =
            instance.accepts_work(self.now) && instance.entry.service == fit.service && !is_held;
        let health_cost =
            instance.health.cost(fit.suitability, self.now).filter(|_| is_eligible)?;
        Some(fit.score(instance_no, instance, free_capacity)? + health_cost)
    }

    /// Places all members of a gang or none.
    fn place_gang(&mut self, step: StepName, spec: &StepSpec, pass: &mut PlacementPass) {
        let members = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let Some(tasks) = members.map(|members| &members.tasks) else { return };
        let awaits_workers = self.awaits_workers();
        if !tasks.iter().all(|task| task.may_start(self.now, awaits_workers)) {
            return;
        }
        let run = tasks.iter().map(|task| task.last_run).max().unwrap_or(0) + 1;
        let persists_starts = tasks.iter().any(|task| task.crashes.needs_stored_starts());
        let checkpoint = tasks.iter().find_map(|task| task.checkpoint.clone());
        let mut chosen = Vec::new();
        for index in 0..spec.count {
            match self.choose_worker(step.task(index), spec, &chosen) {
                Some(instance_no) => chosen.push(instance_no),
                None => return,
            }
        }
        pass.starts_left = pass.starts_left.saturating_sub(spec.count);
        for (index, instance_no) in (0..).zip(chosen) {
            let name = step.task(index);
            if let Some(task) = self.task_mut(name) {
                task.checkpoint.clone_from(&checkpoint);
                // Members wait for each other, so their starts are sent together.
                task.persists_starts = persists_starts;
            }
            self.start(name, instance_no, spec, Some(run));
        }
    }

    /// Recomputes the remaining capacity of the workers on which something changed.
    pub(super) fn refresh_rooms(&mut self) {
        for instance in
            self.instances.values_mut().filter(|instance| instance.free_capacity.is_none())
        {
            instance.free_capacity = Some(FreeCapacity::of(instance));
        }
    }

    /// Returns the best worker for a task, beside gang members whose workers are chosen already.
    pub(super) fn choose_worker(
        &mut self,
        name: TaskName,
        spec: &StepSpec,
        members: &[InstanceNo],
    ) -> Option<InstanceNo> {
        self.refresh_rooms();
        let fit = self.fit(name, spec, members)?;
        self.scored_workers(&fit)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, instance_no)| instance_no)
    }

    /// Assigns a task to a worker, as the given run or as the task's next one.
    pub(super) fn start(
        &mut self,
        name: TaskName,
        instance_no: InstanceNo,
        spec: &StepSpec,
        run: Option<u32>,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let payload = Arc::clone(&job.payload);
        let Some(&image) = job.images.get(name.step as usize) else { return };
        let Some(task) = job.task_mut(name) else { return };
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        self.preemptions.record_start(instance_no, name.job);
        let run = run.unwrap_or(task.last_run + 1);
        task.last_run = run;
        let suspected = task.crashes.is_suspected();
        let runs_alone = task.crashes.runs_alone();
        task.record_start(self.unreported_workers.may_hide_losses());
        let persist_first = task.persists_starts;
        task.crashes.begun = persist_first.then(|| PersistedStart::new(run, instance.entry.key()));
        task.placed.push(Placement { instance: instance_no, run });
        let checkpoint = task.checkpoint.clone().filter(|_| spec.keeps_progress);
        self.start_counts.record(spec.kind(), job.can_be_in_time(self.now));
        self.actions.push(Action::Log(LogEntry::Placed {
            task: name,
            run,
            worker: instance.id().clone(),
            free: instance
                .free_capacity
                .as_ref()
                .map(|free_capacity| free_capacity.free.free)
                .unwrap_or_default(),
            last_answer_age_ms: instance.last_answer_age_ms(self.now),
        }));
        if !spec.best_effort && !spec.long_running {
            self.short_tasks.record_size(spec.size.cpu_millis.0);
            self.gaps.record_size(spec.size.cpu_millis.0);
        }
        let phase = if persist_first { Phase::Unpersisted } else { Phase::Ordered };
        let new_run = PlacedRun::new(run, spec, image, self.now);
        instance.health.record_start(self.now);
        instance.insert_run(name, PlacedRun { phase, suspected, alone: runs_alone, ..new_run });
        let kind = spec.kind();
        let order = StartOrder { task: name, run, kind, payload, checkpoint, ticket: None };
        match persist_first {
            true => self.defer_start_until_persisted(instance_no, order),
            false if spec.kind() == WorkKind::Short => {
                self.queue_short_start(instance_no, Order::Start(order));
            }
            false => self.queue_order(instance_no, Order::Start(order)),
        }
    }
}
