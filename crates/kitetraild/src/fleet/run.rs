//! Puts the parts of a box together and stops them in order.

use std::{
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    task::{self, LocalSet},
    time,
};

use super::{
    FleetSettings, Platform, Services, config_watch, front,
    operators::{self, ReadyFlag},
    ownership, peers,
    shared::Shared,
    takeover,
};
use crate::{
    clock::{Clock, incarnation},
    daemon::DaemonError,
    logging::LeftOut,
    metrics::Metrics,
};

/// How long a box that is told to stop still takes new connections: the platform notices within
/// two of its questions, a second apart, that it should give it none.
const TAKE_CONNECTIONS: Duration = Duration::from_millis(2_600);
/// How often a box that is told to stop looks whether it is done.
const LOOK: Duration = Duration::from_millis(50);
/// How often the log says how many lines it left out, if any.
const TELL_LEFT_OUT_EVERY: Duration = Duration::from_millis(1_000);
/// The two clocks of a machine that runs are read one after the other, some microseconds apart; a pause that others notice is
/// longer than this.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);
/// How often the answers to the platform's question and to other boxes are brought up to date.
const READY_EVERY: Duration = Duration::from_millis(100);

/// Runs a box until it is told to stop.
///
/// `left_out` tells how many lines its log left out.
pub fn run<P: Platform>(
    settings: FleetSettings,
    services: Services<P>,
    left_out: LeftOut,
) -> Result<(), DaemonError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| io_error("the runtime can't be started", cause))?;
    runtime.block_on(LocalSet::new().run_until(run_parts(settings, services, left_out)))
}

async fn run_parts<P: Platform>(
    settings: FleetSettings,
    services: Services<P>,
    left_out: LeftOut,
) -> Result<(), DaemonError> {
    let metrics = Metrics::new()?;
    metrics.show_silences(services.silences.clone());
    let mut terminate = watch(SignalKind::terminate())?;
    let mut hang_up = watch(SignalKind::hangup())?;
    let callers = settings.listen.callers;
    let listener = TcpListener::bind(callers).await;
    let listener = listener
        .map_err(|cause| io_error(&format!("can't listen for callers on {callers}"), cause))?;
    let ready = Arc::new(AtomicBool::new(false));
    operators::start(&settings, Arc::clone(&ready), metrics.clone());
    let shared = Shared::new(settings, services, Clock::start(), incarnation(), metrics);
    log::info!(
        name = shared.settings.box_name.as_str(), incarnation = shared.incarnation;
        "daemon: starts, takes requests on {callers}"
    );
    spawn_parts(&shared, listener, ready);
    task::spawn_local(tell_left_out(Rc::clone(&shared), left_out));
    loop {
        tokio::select! {
            _ = hang_up.recv() => {
                // Where the platform is, and what it promises, holds for the life of a process.
                log::info!("daemon: told that its settings changed; those of its start hold");
            }
            _ = terminate.recv() => break,
        }
    }
    stop(&shared).await;
    Ok(())
}

fn spawn_parts<P: Platform>(shared: &Rc<Shared<P>>, listener: TcpListener, ready: ReadyFlag) {
    task::spawn_local(peers::serve(Rc::clone(shared)));
    task::spawn_local(config_watch::run(Rc::clone(shared)));
    task::spawn_local(ownership::run(Rc::clone(shared)));
    task::spawn_local(front::accept(Rc::clone(shared), listener));
    task::spawn_local(keep_ready(Rc::clone(shared), ready));
}

/// Counts the lines that the log left out, and says so in it.
async fn tell_left_out<P: Platform>(shared: Rc<Shared<P>>, left_out: LeftOut) {
    let mut told = 0;
    loop {
        time::sleep(TELL_LEFT_OUT_EVERY).await;
        let lines = left_out.lines();
        if lines > told {
            shared.metrics.note_log_lines_left_out(lines - told);
            log::warn!(lines = lines - told, in_all = lines; "log: lines were left out");
            told = lines;
        }
    }
}

async fn keep_ready<P: Platform>(shared: Rc<Shared<P>>, ready: ReadyFlag) {
    let mut suspended = Duration::ZERO;
    loop {
        suspended = tell_suspension(&shared, suspended);
        if ready.swap(shared.is_ready(), Ordering::Relaxed) != shared.is_ready() {
            log::info!(ready = shared.is_ready(); "daemon: takes new connections, or not");
        }
        shared.publish_status();
        time::sleep(READY_EVERY).await;
    }
}

/// Says that the machine was suspended, if it was since a look that found it suspended for so long in all.
fn tell_suspension<P: Platform>(shared: &Rc<Shared<P>>, before: Duration) -> Duration {
    let suspended = shared.clock.suspended();
    let lately = suspended.saturating_sub(before);
    if lately < LEAST_SUSPENSION {
        return before;
    }
    shared.metrics.note_suspension();
    log::warn!(
        suspended_ms = lately.as_millis() as u64, owns = shared.local_owner.borrow().is_some();
        "daemon: its machine was suspended"
    );
    suspended
}

/// Gives the fleet up, finishes what is in progress, and returns.
async fn stop<P: Platform>(shared: &Rc<Shared<P>>) {
    let started = Instant::now();
    log::info!(in_progress = shared.in_progress.get(); "daemon: stopping");
    let latest = shared.settings.stop_within;
    shared.ends_at.set(Some(started + latest));
    shared.draining.set(true);
    takeover::give_up(shared).await;
    loop {
        time::sleep(LOOK).await;
        let (waited, busy) = (started.elapsed(), shared.in_progress.get() > 0);
        let owns = shared.local_owner.borrow().is_some();
        if waited >= latest || (waited >= TAKE_CONNECTIONS && !busy && !owns) {
            break;
        }
    }
    log::info!(in_progress = shared.in_progress.get(); "daemon: stopped");
}

fn watch(kind: SignalKind) -> Result<Signal, DaemonError> {
    signal(kind).map_err(|cause| io_error("signals can't be watched", cause))
}

fn io_error(what: &str, cause: io::Error) -> DaemonError {
    DaemonError::Io { what: what.to_owned(), cause }
}
