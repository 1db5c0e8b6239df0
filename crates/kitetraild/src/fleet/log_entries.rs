//! Writes the scheduler's decisions to the log.

use kitetrail_core::jobs::{
    EndCause, LogEntry, RetryDelay, TaskName, TurnaroundSummary, WorkerName,
};

/// Writes a decision to the log.
pub(super) fn log_entry(entry: &LogEntry) {
    match entry {
        LogEntry::Submitted { job, queue, tasks, known } => log::info!(
            job = job.to_string(), queue = queue.as_str(), tasks = *tasks, known = *known;
            "job: submitted"
        ),
        LogEntry::JobMemoryUsedUp { job, queue, job_size, used, capacity } => log::warn!(
            job = job.to_string(), queue = queue.as_str(), job_bytes = job_size.0, used_bytes = used.0,
            capacity_bytes = capacity.0;
            "job: refused, the memory for accepted jobs is used up"
        ),
        LogEntry::JobEnded {
            job,
            state,
            cause: cause @ EndCause::FailedRuns { task, failed_runs, max_attempts },
            after_ms,
            objective_ms,
        } => log::info!(
            job = job.to_string(), state:? = *state, cause = cause.as_str(), task = task_path(task),
            failed_runs = *failed_runs, max_attempts = *max_attempts, after_ms = *after_ms,
            objective_ms = *objective_ms;
            "job: ended"
        ),
        LogEntry::JobEnded { job, state, cause, after_ms, objective_ms } => log::info!(
            job = job.to_string(), state:? = *state, cause = cause.as_str(), after_ms = *after_ms,
            objective_ms = *objective_ms;
            "job: ended"
        ),
        LogEntry::Placed { task, run, worker, free, last_answer_age_ms } => log::info!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            free = free.to_string(), heard_ago_ms:? = *last_answer_age_ms;
            "run: placed"
        ),
        LogEntry::RunEnded { task, run, worker, how, turnaround: Some(turnaround) } => log::info!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            how:? = *how, held_ms = turnaround.held_ms, queued_ms = turnaround.queued_ms,
            worked_ms = turnaround.worked_ms, unobserved_ms = turnaround.unobserved_ms;
            "run: ended"
        ),
        LogEntry::RunEnded { task, run, worker, how, turnaround: None } => log::info!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            how:? = *how;
            "run: ended"
        ),
        LogEntry::DuplicateEndIgnored { task, run, worker, number, seen } => log::warn!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            number = *number, seen = *seen;
            "run: end ignored, its number was already reported"
        ),
        LogEntry::WorkerRestarted { worker, before, now, ends_seen, runs } => log::warn!(
            worker = worker.as_str(), before:? = *before, now:? = *now,
            ends_seen = *ends_seen, runs = *runs;
            "worker: started again under its id"
        ),
        LogEntry::RunLost { task, run, worker, why, ran_ms, beside } => log::warn!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            why = *why, ran_ms:? = *ran_ms, beside = *beside;
            "run: lost"
        ),
        LogEntry::CrashCounted { task, worker, evidence, why, ran, crashes } => log::warn!(
            job = task.job.to_string(), task = task_path(task), worker = worker.as_str(),
            evidence = evidence.as_str(), why = *why,
            ran_least_ms:? = ran.map(|ran| ran.least_ms),
            ran_most_ms:? = ran.map(|ran| ran.most_ms), crashes = *crashes;
            "task: its worker crashed"
        ),
        LogEntry::LossRecorded { task, worker, evidence, ran, losses, waits_ms } => log::info!(
            job = task.job.to_string(), task = task_path(task), worker = worker.as_str(),
            evidence = evidence.as_str(), ran_least_ms:? = ran.map(|ran| ran.least_ms),
            ran_most_ms:? = ran.map(|ran| ran.most_ms), losses = *losses, waits_ms:? = *waits_ms;
            "task: its worker may have crashed"
        ),
        LogEntry::LossesDismissed { worker, tasks } => log::info!(
            worker = worker.as_str(), tasks = *tasks;
            "worker: has not crashed, it answers again"
        ),
        LogEntry::SuspicionCleared { task } => log::info!(
            job = task.job.to_string(), task = task_path(task);
            "task: no longer suspected of crashes"
        ),
        LogEntry::CrashingTaskFailed { task, workers } => log::error!(
            job = task.job.to_string(), task = task_path(task), crashed = join_ids(workers);
            "job: failed, a task crashes its workers"
        ),
        LogEntry::RunMoved { task, run, worker, why } => log::info!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            why = *why;
            "run: moved"
        ),
        LogEntry::OrderFailed { task, run, worker, answer } => log::warn!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            answer:? = *answer;
            "order: not done"
        ),
        LogEntry::Worker { worker, state, last_answer_age_ms } => log::info!(
            worker = worker.as_str(), belief = *state, heard_ago_ms:? = *last_answer_age_ms;
            "worker: state changed"
        ),
        LogEntry::WaitsForZone { job, step } => log::warn!(
            job = job.to_string(), step = *step;
            "job: waiting, only evacuated zones could run it"
        ),
        LogEntry::Overload { accepts_jobs, lag_ms } => log::warn!(
            takes_jobs = *accepts_jobs, lag_ms = *lag_ms;
            "owner: overload state changed"
        ),
        LogEntry::Backlog {
            kind,
            waiting_in_time,
            waiting_late,
            oldest_ms,
            waiting_millis,
            largest_waiting_millis,
            started_in_time,
            started_late,
            lag_ms,
        } => log::info!(
            kind = kind.to_string(), waiting_in_time = *waiting_in_time, waiting_late = *waiting_late,
            oldest_ms = *oldest_ms, waiting_millis = *waiting_millis,
            largest_waiting_millis = *largest_waiting_millis, started_in_time = *started_in_time,
            started_late = *started_late, lag_ms = *lag_ms;
            "owner: backlog"
        ),
        LogEntry::Occupancy(occupancy) => log::info!(
            workers = occupancy.workers, total_millis = occupancy.total_millis,
            short_millis = occupancy.short_millis,
            lasting_millis = occupancy.long_running_millis,
            free_millis = occupancy.free_millis,
            large_task_millis = occupancy.large_task_millis, large_gaps = occupancy.large_gaps,
            job_bytes = occupancy.job_memory.0;
            "owner: occupancy"
        ),
        LogEntry::Turnaround(TurnaroundSummary {
            kind,
            runs,
            held,
            queued,
            worked,
            unobserved,
            transit,
        }) => log::info!(
            kind = kind.to_string(), runs = *runs,
            held_p50_ms = held.p50_ms, held_p99_ms = held.p99_ms,
            queued_p50_ms = queued.p50_ms, queued_p99_ms = queued.p99_ms,
            worked_p50_ms = worked.p50_ms, worked_p99_ms = worked.p99_ms,
            unobserved_p50_ms = unobserved.p50_ms, unobserved_p99_ms = unobserved.p99_ms,
            transit_p50_ms = transit.p50_ms, transit_p99_ms = transit.p99_ms;
            "owner: turnaround"
        ),
        LogEntry::Unpersisted { records, ends, batch_sent_ago_ms } => log::info!(
            records = *records, ends = *ends, batch_sent_ago_ms:? = *batch_sent_ago_ms;
            "owner: records not persisted yet"
        ),
        LogEntry::HandIn { job, time_left_ms, expected_ms, decision, waited } => log::info!(
            job = job.to_string(), time_left_ms = *time_left_ms, expected_ms = *expected_ms,
            decision = decision.as_str(), waited = *waited,
            retry_after_s:? = decision.retry_after().map(RetryDelay::as_secs);
            "job: hand-in decided"
        ),
        LogEntry::RecordRefused { subject } => log::error!(
            subject = subject.to_string();
            "owner: continues without a record that the store permanently rejects"
        ),
        LogEntry::Paced { worker, percent, tail_of_target_percent } => log::info!(
            worker = worker.as_str(), percent = *percent,
            tail_of_target_percent = *tail_of_target_percent;
            "worker: best-effort tasks throttled"
        ),
        LogEntry::RoomDivided {
            queue,
            weight,
            running,
            waiting,
            demand_percent,
            taken_percent,
            allowance_percent,
            bound,
            overdue,
        } => log::info!(
            queue = queue.as_str(), weight = *weight, running = running.to_string(),
            waiting = waiting.to_string(), demand_percent = *demand_percent,
            taken_percent = *taken_percent, allowance_percent = *allowance_percent,
            bound = bound.as_str(), overdue = *overdue;
            "owner: room divided"
        ),
        LogEntry::Preempted { task, run, worker, for_job, lost_core_ms } => log::info!(
            job = task.job.to_string(), task = task_path(task), run = *run, worker = worker.as_str(),
            for_job = for_job.to_string(), lost_core_ms = *lost_core_ms;
            "run: stopped for a more urgent job"
        ),
        LogEntry::WorkerHealth {
            worker,
            state,
            slowdown_percent,
            slow_runs,
            sound_runs,
            failed_runs,
            after_ms,
            suspects,
        } => log::info!(
            worker = worker.as_str(), state = *state, slowdown_percent = *slowdown_percent,
            slow_runs = *slow_runs, sound_runs = *sound_runs, failed_runs = *failed_runs,
            after_ms = *after_ms, suspects = *suspects;
            "worker: health changed"
        ),
        LogEntry::LoadForecast {
            image,
            period_ms,
            services,
            forecasts,
            all_services,
            all_forecasts,
            level_percent,
            error_permille,
        } => log::info!(
            image = image.as_str(), period_ms = *period_ms, services = *services,
            forecasts = *forecasts, all_services = *all_services,
            all_forecasts = *all_forecasts, level_percent = *level_percent,
            error_permille = *error_permille;
            "owner: loads of services forecast"
        ),
    }
}

fn join_ids(workers: &[WorkerName]) -> String {
    workers.iter().map(WorkerName::as_str).collect::<Vec<_>>().join(" ")
}

/// Formats the name of a task without its job.
fn task_path(task: &TaskName) -> String {
    format!("{}.{}.{}", task.occurrence, task.step, task.index)
}
