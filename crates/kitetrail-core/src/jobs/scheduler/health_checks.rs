//! Judges workers by the progress and the ends of their runs.

use std::time::Duration;

use super::{
    super::{
        event::Action,
        instance::{InstanceNo, WorkerInstance},
        load_parts::LoadPart,
        log_entry::LogEntry,
        names::TaskName,
        report::RunResult,
        run::{FULL_PACE_PERCENT, PlacedRun},
        spec::StepSpec,
    },
    Scheduler,
    lateness::Lateness,
    run_lengths::{ExpectedLength, RunKind},
    run_pace::{ExpectedRun, RunVerdict, verdict_of},
    worker_health::{HealthState, PresentRuns, Suitability},
};

/// A tail latency with no best-effort task beside it shows a slow worker from this multiple of its
/// target.
const SLOW_TAIL_OF_TARGET: f64 = 1.2;
/// Up to this multiple it shows a sound one. Neighbours alone may raise it in between.
const SOUND_TAIL_OF_TARGET: f64 = 0.7;
/// The owner's lag up to which the time of a start is exact enough: intervals are 300 ms and longer.
const MAX_START_LAG: Duration = Duration::from_millis(50);
/// The number of workers against which failed runs of one job count. A wide job meets one or two
/// failing workers where a twentieth of them fail.
const MAX_BLAMED_WORKERS: usize = 2;
/// The share of its processor time that a best-effort run must get for its progress to count.
const MIN_CPU_SHARE: f64 = 0.9;

impl Scheduler {
    /// Returns whether workers are judged.
    pub(super) fn judges_workers(&self) -> bool {
        self.settings.parts.has(LoadPart::WorkerHealth)
    }

    /// Returns whether run lengths are learned: also the speed of workers depends on them.
    fn learns_lengths(&self) -> bool {
        self.settings.parts.has(LoadPart::RunLengths) || self.judges_workers()
    }

    /// Returns the learned length of a task, if enough of its kind completed.
    pub(super) fn learned_length(&self, name: TaskName) -> Option<ExpectedLength> {
        if !self.learns_lengths() {
            return None;
        }
        self.run_lengths.expected(&self.run_kind(name)?, self.step_spec(name)?.estimate_ms)
    }

    /// Returns how long a run is expected to take at full speed, from other runs of its step and from
    /// what was learned about its kind. Tasks of one step differ less than those of different jobs.
    pub(super) fn expected_run(&self, name: TaskName, run: &PlacedRun) -> Option<ExpectedRun> {
        let of_kind_ms = self.learned_length(name)?.expected_ms.max(1.0);
        let step = self.jobs.get(&name.job)?.step(name.step_name())?;
        let in_step_ms = step.length.expected_ms(of_kind_ms, run.pace.first_total_ms()).max(1.0);
        Some(ExpectedRun { in_step_ms, of_kind_ms })
    }

    fn record_step_length(&mut self, name: TaskName, total_ms: f64) {
        let step = self.jobs.get_mut(&name.job).and_then(|job| job.step_mut(name.step_name()));
        if let Some(step) = step {
            step.length.record(total_ms);
        }
    }

    fn run_kind(&self, name: TaskName) -> Option<RunKind> {
        let job = self.jobs.get(&name.job)?;
        let image = *job.images.get(name.step as usize)?;
        Some(RunKind { queue: job.queue.name.clone(), step: name.step, image })
    }

    /// Returns what a task means for a worker on probation. A task whose job can still be in time
    /// waits for another worker; others take what there is, since jobs in time go before them.
    pub(super) fn suitability(
        &self,
        name: TaskName,
        spec: &StepSpec,
        lateness: Lateness,
    ) -> Suitability {
        match spec {
            _ if !self.judges_workers() => Suitability::NeedsRoom,
            StepSpec {
                gang: false,
                best_effort: false,
                long_running: false,
                near_rack: None,
                ..
            } if self.learned_length(name).is_some() => match lateness {
                Lateness::InTime if spec.label.is_none() => Suitability::Probe,
                _ => Suitability::ProbeOrRoom,
            },
            StepSpec { long_running: true, .. } | StepSpec { label: Some(_), .. } => {
                Suitability::NeedsRoom
            }
            _ if lateness != Lateness::InTime => Suitability::NeedsRoom,
            _ => Suitability::CanWait,
        }
    }

    /// Learns from a run that ended: its length, and what it says about its worker.
    pub(super) fn learn_from_end(
        &mut self,
        instance_no: InstanceNo,
        name: TaskName,
        run: &PlacedRun,
        how: RunResult,
        run_ms: Option<u64>,
    ) {
        if !self.learns_lengths() {
            return;
        }
        let expected =
            self.expected_run(name, run).filter(|_| self.is_comparable(instance_no, name));
        let ratios = run_ms.zip(expected).map(|(run_ms, expected)| {
            (run_ms as f64 / expected.in_step_ms, run_ms as f64 / expected.of_kind_ms)
        });
        let ratio = ratios.map(|(ratio, _)| ratio);
        if let Some(run_ms) = run_ms.filter(|_| run.pace.first_total_ms().is_none()) {
            self.record_step_length(name, run_ms as f64);
        }
        let verdict = match how {
            RunResult::Done => ratio.and_then(verdict_of),
            RunResult::Failed
                if self.fleet_health.record_failure(name.job, instance_no, self.now) =>
            {
                Some(RunVerdict::Failed)
            }
            RunResult::Stopped if run.is_serving() => None,
            RunResult::Stopped => run.pace.verdict(),
            _ => None,
        };
        if self.judges_workers()
            && let Some(verdict) = verdict
        {
            if let Some((_, kind_ratio)) = ratios {
                self.fleet_health.record_slowdown(kind_ratio, self.now);
            }
            if let Some(instance) = self.instances.get_mut(instance_no) {
                let slowdown = ratio.unwrap_or(run.pace.ratio());
                instance.health.record_end(verdict, slowdown, self.now);
            }
            self.update_health(instance_no);
        }
        let is_sound = |instance: &WorkerInstance| instance.health.is_sound();
        let may_learn = self.instances.get(instance_no).is_some_and(is_sound)
            && self.is_comparable(instance_no, name);
        if may_learn
            && let Some(run_ms) = run_ms
            && let Some(kind) = self.run_kind(name)
            && let Some(estimate_ms) = self.step_spec(name).map(|step| step.estimate_ms)
        {
            self.run_lengths.record(kind, estimate_ms, run_ms);
        }
    }

    /// Returns whether a failed run counts against its worker. Until a task of its step is completed,
    /// the job may be the cause: then it counts once for each of a few workers.
    pub(super) fn blames_worker_for_failure(
        &self,
        instance_no: InstanceNo,
        name: TaskName,
    ) -> bool {
        let step = self.jobs.get(&name.job).and_then(|job| job.step(name.step_name()));
        let works_elsewhere = step.is_some_and(|step| step.done > 0);
        let health = &self.fleet_health;
        !self.judges_workers()
            || works_elsewhere
            || health.failing_workers(name.job, instance_no) <= MAX_BLAMED_WORKERS
                && health.failures_on(name.job, instance_no) <= 1
    }

    /// Returns whether a task takes about as long on a worker as others of its kind on theirs: it
    /// neither waits for a gang nor reads its data from another rack.
    fn is_comparable(&self, instance_no: InstanceNo, name: TaskName) -> bool {
        let instance = self.instances.get(instance_no);
        let spec = self.step_spec(name);
        instance.zip(spec).is_some_and(|(instance, spec)| {
            let is_near =
                spec.near_rack.as_ref().is_none_or(|near| instance.entry.labels.contains(near));
            is_near && !spec.gang
        })
    }

    /// Begins to compare the progress of a run that was started now.
    pub(super) fn begin_pace(&mut self, instance_no: InstanceNo, name: TaskName, run: u32) {
        let now = self.now;
        let resumes = self.task_mut(name).is_some_and(|task| task.checkpoint.is_some());
        if !self.judges_workers() || resumes || self.tick_lag > MAX_START_LAG {
            return;
        }
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let Some(clock_ms) = instance.clock_ms(now) else { return };
        if let Some(run) = instance.run_mut(name, run) {
            run.pace.begin(0, clock_ms);
        }
    }

    /// Judges the runs on a worker after a report, by the worker's clock, and then the worker.
    pub(super) fn assess_worker(&mut self, instance_no: InstanceNo, clock_ms: u64) {
        if !self.judges_workers() {
            return;
        }
        let Some(instance) = self.instances.get(instance_no) else { return };
        let length = |(&name, run): (&TaskName, &PlacedRun)| {
            let expected = self.expected_run(name, run)?;
            self.is_comparable(instance_no, name).then_some((name, expected))
        };
        let lengths = instance.runs().iter().filter_map(length).collect::<Vec<_>>();
        let is_shared = instance.has_best_effort();
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let (mut slowdowns, mut totals, mut tails) = (Vec::new(), Vec::new(), Vec::new());
        for (name, run) in instance.runs_mut() {
            let expected = lengths.iter().find(|(other, _)| *other == name);
            match expected {
                _ if run.is_serving() => {
                    judge_tail(run, is_shared);
                    tails.extend(run.pace.verdict());
                }
                Some(&(_, expected)) if works_at_full_speed(run) => {
                    if run.pace.observe(run.percent, clock_ms, expected) {
                        slowdowns.push(run.pace.kind_ratio());
                        totals.extend(run.pace.first_total_ms().map(|total_ms| (name, total_ms)));
                    }
                }
                _ => run.pace.interrupt(),
            }
        }
        for slowdown in slowdowns {
            self.fleet_health.record_slowdown(slowdown, self.now);
        }
        for (name, total_ms) in totals {
            self.record_step_length(name, total_ms);
        }
        for verdict in tails {
            self.fleet_health.record_tail(verdict, self.now);
        }
        self.update_health(instance_no);
    }

    /// Updates the totals of the fleet, and the workers whose suspicion is to be confirmed.
    pub(super) fn confirm_suspects(&mut self) {
        if !self.judges_workers() {
            return;
        }
        let (mut workers, mut suspects, mut unconfirmed) = (0, 0, Vec::new());
        for (instance_no, instance) in self.instances.iter() {
            workers += 1;
            suspects += usize::from(!instance.health.is_sound());
            if instance.health.looks_slow() {
                unconfirmed.push(instance_no);
            }
        }
        self.fleet_health.set_totals(workers, suspects, self.tick_lag);
        for instance_no in unconfirmed {
            self.update_health(instance_no);
        }
    }

    /// Returns the numbers of workers that are suspected or on probation.
    pub fn suspected_workers(&self) -> usize {
        self.fleet_health.suspects()
    }

    /// Returns whether a worker works like its peers, as far as known.
    pub(super) fn is_sound(&self, instance_no: InstanceNo) -> bool {
        self.instances.get(instance_no).is_some_and(|instance| instance.health.is_sound())
    }

    /// Returns whether several runs on a worker are slow while those on other workers are not.
    pub(super) fn is_slow_worker(&self, instance_no: InstanceNo) -> bool {
        let looks_slow =
            self.instances.get(instance_no).is_some_and(|instance| instance.health.looks_slow());
        looks_slow && self.fleet_health.blames_worker(false)
    }

    fn update_health(&mut self, instance_no: InstanceNo) {
        let Some(instance) = self.instances.get_mut(instance_no) else { return };
        let present = present_runs(instance);
        let was_sound = instance.health.is_sound();
        let Some(change) = instance.health.update(present, &self.fleet_health, self.now) else {
            return;
        };
        let worker = instance.id().clone();
        self.fleet_health.record_change(was_sound, change.state == HealthState::Sound);
        self.placement_needed = true;
        self.actions.push(Action::Log(LogEntry::WorkerHealth {
            worker,
            state: change.state.name(),
            slowdown_percent: (change.slowdown * 100.0) as u64,
            slow_runs: change.slow_runs as u32,
            sound_runs: change.sound_runs as u32,
            failed_runs: change.failed_runs as u32,
            after_ms: change.after.as_millis() as u64,
            suspects: self.fleet_health.suspects() as u32,
        }));
    }

    /// Returns the best sound worker for a task that leaves another worker.
    pub(super) fn choose_sound_worker(
        &mut self,
        name: TaskName,
        spec: &StepSpec,
        from: InstanceNo,
    ) -> Option<InstanceNo> {
        let other_worker = self.choose_worker(name, spec, &[]);
        other_worker.filter(|&other_worker| other_worker != from && self.is_sound(other_worker))
    }
}

/// Judges a serving run by its tail latency, unless best-effort runs beside it raise it.
fn judge_tail(run: &mut PlacedRun, is_shared: bool) {
    let tail = run.gauge.zip(run.tail_target_ms).filter(|_| !is_shared && run.reports_ready());
    let of_target = tail.map(|(tail_ms, target_ms)| f64::from(tail_ms) / target_ms.max(1) as f64);
    match of_target {
        Some(of_target) if of_target >= SLOW_TAIL_OF_TARGET => {
            run.pace.judge(Some(RunVerdict::Slow));
        }
        Some(of_target) if of_target <= SOUND_TAIL_OF_TARGET => {
            run.pace.judge(Some(RunVerdict::Sound));
        }
        _ => run.pace.judge(None),
    }
}

/// Returns whether the progress of a run depends on its worker only: the run is not throttled, and
/// others leave it enough processor time.
fn works_at_full_speed(run: &PlacedRun) -> bool {
    let cpu_share =
        run.gauge.map_or(0.0, |gauge| f64::from(gauge) / f64::from(run.size.cpu_millis.0.max(1)));
    let is_hindered =
        run.is_best_effort && (run.paced_percent < FULL_PACE_PERCENT || cpu_share < MIN_CPU_SHARE);
    run.is_running() && !run.stopping && !run.is_long_running && !is_hindered
}

fn present_runs(instance: &WorkerInstance) -> PresentRuns {
    let mut present = PresentRuns { least_ratio: f64::INFINITY, ..PresentRuns::default() };
    for run in instance.runs().values().filter(|run| run.is_running()) {
        match run.pace.verdict() {
            Some(RunVerdict::Slow) => present.slow += 1,
            Some(RunVerdict::Sound) => present.sound += 1,
            Some(RunVerdict::Failed) | None => continue,
        }
        if !run.is_serving() {
            present.least_ratio = present.least_ratio.min(run.pace.ratio());
        }
    }
    if present.least_ratio.is_infinite() {
        present.least_ratio = 0.0;
    }
    present
}
