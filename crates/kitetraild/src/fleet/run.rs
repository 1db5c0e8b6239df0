//! Starts the components of a box and shuts them down in order.

use std::{
    future, io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use kitetrail_core::jobs::LoadPart;
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    task::{self, JoinSet, LocalSet},
    time,
};

use super::{
    FleetSettings, Platform, Services, config_watch, front, operator_rows,
    operators::{self, ReadyFlag},
    ownership, peers,
    shared::Shared,
    speed_probe, takeover,
};
use crate::{
    clock::{Clock, new_incarnation},
    daemon::DaemonError,
    logging::DroppedLines,
    metrics::{AdmissionLevels, Metrics},
};

/// How long a stopping box still accepts new connections. The platform detects the stop within two
/// readiness probes, one second apart.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);
/// The interval at which a stopping box checks whether it can end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of reports of dropped log lines.
const DROPPED_LINES_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The shortest difference between the two clocks that counts as a suspension. They are read some microseconds apart, and
/// a suspension that others notice is longer than this.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// The interval at which the readiness answer to the platform and the status for other boxes are refreshed.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a box until it receives a signal to stop.
///
/// `left_out` counts the log lines that were dropped.
pub fn run<P: Platform>(
    settings: FleetSettings,
    services: Services<P>,
    left_out: DroppedLines,
) -> Result<(), DaemonError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| io_error("the runtime can't be started", cause))?;
    runtime.block_on(LocalSet::new().run_until(run_components(settings, services, left_out)))
}

async fn run_components<P: Platform>(
    settings: FleetSettings,
    services: Services<P>,
    left_out: DroppedLines,
) -> Result<(), DaemonError> {
    let metrics = Metrics::new()?;
    metrics.export_silent_connections(services.silences.clone());
    let mut terminate = watch_signal(SignalKind::terminate())?;
    let mut hangup = watch_signal(SignalKind::hangup())?;
    let callers = settings.listen.callers;
    let listener = TcpListener::bind(callers).await;
    let listener = listener
        .map_err(|cause| io_error(&format!("can't listen for callers on {callers}"), cause))?;
    let ready = Arc::new(AtomicBool::new(false));
    let shared =
        Shared::new(settings, services, Clock::start(), new_incarnation(), metrics.clone());
    let serves_rows = shared.settings.parts.has(LoadPart::OperatorRows);
    let requests = serves_rows.then(|| operator_rows::serve(&shared));
    operators::start(&shared.settings, Arc::clone(&ready), metrics, requests);
    log::info!(
        name = shared.settings.box_name.as_str(), incarnation = shared.incarnation,
        load_parts = shared.settings.parts.to_string();
        "daemon: started, accepting requests on {callers}"
    );
    let mut components = spawn_components(&shared, listener, ready);
    task::spawn_local(report_dropped_lines(Rc::clone(&shared), left_out));
    loop {
        tokio::select! {
            _ = hangup.recv() => {
                // The platform's address and its promises can't change while a process runs.
                log::info!("daemon: SIGHUP ignored, settings are read only at startup");
            }
            _ = terminate.recv() => break,
            error = component_panicked(&mut components) => return Err(error),
        }
    }
    stop(&shared).await;
    Ok(())
}

/// Starts the components, which run until the process ends.
fn spawn_components<P: Platform>(
    shared: &Rc<Shared<P>>,
    listener: TcpListener,
    ready: ReadyFlag,
) -> JoinSet<()> {
    let mut components = JoinSet::new();
    components.spawn_local(peers::serve(Rc::clone(shared)));
    components.spawn_local(config_watch::run(Rc::clone(shared)));
    components.spawn_local(ownership::run(Rc::clone(shared)));
    components.spawn_local(front::accept(Rc::clone(shared), listener));
    components.spawn_local(front::close_stalled(Rc::clone(shared)));
    if shared.settings.parts.has(LoadPart::OwnerRelief) {
        components.spawn_local(speed_probe::run(Rc::clone(shared)));
    }
    components.spawn_local(publish_readiness(Rc::clone(shared), ready));
    components
}

/// Waits until a component has panicked. The others can't do without it: a box whose owner is gone, for example, would
/// still be pinged as the owner.
async fn component_panicked(components: &mut JoinSet<()>) -> DaemonError {
    loop {
        match components.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                log::error!("daemon: ending, a component has panicked: {error}");
                return DaemonError::ComponentPanicked(error);
            }
            Some(_) => log::debug!("daemon: a component has ended"),
            None => future::pending().await,
        }
    }
}

/// Counts the dropped log lines and reports them in the log.
async fn report_dropped_lines<P: Platform>(shared: Rc<Shared<P>>, left_out: DroppedLines) {
    let mut reported = 0;
    loop {
        time::sleep(DROPPED_LINES_REPORT_INTERVAL).await;
        let lines = left_out.lines();
        if lines > reported {
            shared.metrics.record_dropped_log_lines(lines - reported);
            log::warn!(lines = lines - reported, in_all = lines; "log: lines were dropped");
            reported = lines;
        }
    }
}

async fn publish_readiness<P: Platform>(shared: Rc<Shared<P>>, ready: ReadyFlag) {
    let mut suspended = Duration::ZERO;
    loop {
        suspended = report_suspension(&shared, suspended);
        if ready.swap(shared.is_ready(), Ordering::Relaxed) != shared.is_ready() {
            log::info!(ready = shared.is_ready(); "daemon: readiness changed");
        }
        shared.publish_status();
        shared.metrics.record_admission(AdmissionLevels {
            connections: shared.connections.open(),
            closed_connections: shared.connections.evictions(),
            request_memory: shared.bodies.budget().reserved(),
            evicted_bodies: shared.bodies.evictions(),
        });
        time::sleep(STATUS_INTERVAL).await;
    }
}

/// Reports a suspension of the machine since the last check, which measured `before` in total. Returns
/// the total that the next check compares with.
fn report_suspension<P: Platform>(shared: &Rc<Shared<P>>, before: Duration) -> Duration {
    let suspended = shared.clock.suspended();
    let since_last_check = suspended.saturating_sub(before);
    if since_last_check < MIN_SUSPENSION {
        return before;
    }
    shared.metrics.record_suspension();
    log::warn!(
        suspended_ms = since_last_check.as_millis() as u64,
        owns = shared.owner_inbox.borrow().is_some();
        "daemon: its machine was suspended"
    );
    suspended
}

/// Releases the fleet, finishes the requests in progress, and returns.
async fn stop<P: Platform>(shared: &Rc<Shared<P>>) {
    let started = Instant::now();
    log::info!(in_progress = shared.requests_in_progress.get(); "daemon: stopping");
    let time_limit = shared.settings.stop_timeout;
    shared.record_stop_requested(started + time_limit);
    takeover::release_if_owner(shared).await;
    loop {
        time::sleep(STOP_POLL_INTERVAL).await;
        let (waited, busy) = (started.elapsed(), shared.requests_in_progress.get() > 0);
        let owns = shared.owner_inbox.borrow().is_some();
        if waited >= time_limit || (waited >= ACCEPT_AFTER_STOP && !busy && !owns) {
            break;
        }
    }
    log::info!(in_progress = shared.requests_in_progress.get(); "daemon: stopped");
}

fn watch_signal(kind: SignalKind) -> Result<Signal, DaemonError> {
    signal(kind).map_err(|cause| io_error("signals can't be watched", cause))
}

fn io_error(operation: &str, cause: io::Error) -> DaemonError {
    DaemonError::Io { operation: operation.to_owned(), cause }
}

#[cfg(test)]
mod tests;
