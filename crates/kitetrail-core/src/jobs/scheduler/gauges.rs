//! Learns from the gauges of a worker's runs how much images interfere with each other.

use std::time::Duration;

use super::{
    super::instance::WorkerInstance,
    free_capacity::{capacity_millis, loads_by},
    load_forecast::ServiceLoads,
    tails::{Load, TailModel, TailReport},
};
use crate::Time;

/// The time window that a gauge covers, as specified by the platform.
const GAUGE_WINDOW: Duration = Duration::from_millis(500);

/// Updates the interference model and the forecasts from a worker's latest report.
pub(super) fn learn_interference(
    tails: &mut TailModel,
    mut service_loads: Option<&mut ServiceLoads>,
    instance: &mut WorkerInstance,
    now: Time,
) {
    let loads = loads_in_window(instance, now);
    instance.free_capacity = None;
    for (task, run) in instance.runs_mut() {
        let (Some(tail_ms), Some(target_ms)) = (run.gauge, run.tail_target_ms) else { continue };
        if tail_ms == 0 {
            continue;
        }
        let above_target = u64::from(tail_ms) > target_ms;
        run.above_target_since =
            if above_target { run.above_target_since.or(Some(now)) } else { None };
        let since_last_report_s = run.learned_at.map_or(0.0, |time| now.since(time).as_secs_f64());
        run.learned_at = Some(now);
        let tail = TailReport {
            tail_ms: f64::from(tail_ms),
            target_ms: target_ms as f64,
            since_last_report_s,
            reported_at: now,
        };
        let own_stress = tails.learn(run.image, &mut run.own_stress, &loads, tail);
        if let (Some(service_loads), Some(own_stress)) = (&mut service_loads, own_stress) {
            run.load_forecast = service_loads.observe(task.step_name(), run.image, own_stress, now);
        }
    }
}

/// Returns the CPU load of best-effort tasks during the gauge window, by image.
fn loads_in_window(instance: &mut WorkerInstance, now: Time) -> Vec<Load> {
    instance.just_ended.retain(|ended| now.since(ended.at) < GAUGE_WINDOW);
    let mut loads = loads_by(instance, |run| f64::from(run.gauge.unwrap_or(0)));
    let capacity = capacity_millis(instance);
    for ended in &instance.just_ended {
        let share = 1.0 - now.since(ended.at).as_secs_f64() / GAUGE_WINDOW.as_secs_f64();
        let load = f64::from(ended.cpu_millis) * share / capacity;
        match loads.iter_mut().find(|(known_image, _)| *known_image == ended.image) {
            Some((_, sum)) => *sum += load,
            None => loads.push((ended.image, load)),
        }
    }
    loads
}
