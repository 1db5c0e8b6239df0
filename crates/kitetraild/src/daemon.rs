//! Puts the parts together and stops them in order.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::routing::Router;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc,
    task::LocalSet,
};

use crate::{
    callers::{ChosenBalancer, Entry, EntryParts},
    clock::{Clock, incarnation},
    control::{Control, ControlParts, Message},
    metrics::Metrics,
    operators, peers,
    settings::Settings,
};

/// How many messages to the control loop may wait.
const CONTROL_QUEUE: usize = 4_096;
/// How long a box that is about to stop still takes requests, so that the balancer in
/// front can notice.
const UNREADY_FIRST: Duration = Duration::from_millis(500);

/// What stops a daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The system refused something.
    #[error("{what}: {cause}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The counters can't be set up.
    #[error("the counters can't be set up: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// Runs a daemon until it is told to stop.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| io("the runtime can't be started", cause))?;
    runtime.block_on(LocalSet::new().run_until(run_parts(Rc::new(settings))))
}

async fn run_parts(settings: Rc<Settings>) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let incarnation = incarnation();
    let metrics = Metrics::new()?;
    let balancer = ChosenBalancer::new(settings.requests.balancer);
    let router = Router::new(settings.router_settings(), balancer, incarnation);
    let router = Rc::new(RefCell::new(router));
    let ready = Rc::new(Cell::new(false));
    let (sender, messages) = mpsc::channel(CONTROL_QUEUE);
    let listener = listen(&settings).await?;
    let mut stop = signals()?;

    start_peers(&settings, &sender);
    operators::start(Rc::clone(&settings), sender.clone(), metrics.clone());
    let entry = Entry::new(EntryParts {
        settings: Rc::clone(&settings),
        clock,
        incarnation,
        router: Rc::clone(&router),
        metrics: metrics.clone(),
        ready: Rc::clone(&ready),
    });
    let accepting = tokio::task::spawn_local(Rc::clone(&entry).accept(listener));
    let parts = ControlParts {
        settings: Rc::clone(&settings),
        clock,
        incarnation,
        router,
        metrics,
        ready,
        sender: sender.clone(),
    };
    let control = tokio::task::spawn_local(Control::new(parts).run(messages));
    log::info!("daemon: {} takes requests on {}", settings.box_id, settings.listen.callers);

    stop.recv().await;
    log::info!("daemon: stopping");
    let _ = sender.send(Message::Drain).await;
    tokio::time::sleep(UNREADY_FIRST).await;
    accepting.abort();
    let finish = async {
        entry.drain().await;
        let _ = control.await;
    };
    tokio::select! {
        () = finish => log::info!("daemon: stopped, nothing was cut off"),
        () = tokio::time::sleep(settings.requests.drain_timeout_ms.get()) => {
            log::warn!("daemon: stopped with {} requests in progress", entry.in_progress());
        }
        () = stop.recv() => {
            log::warn!("daemon: stopped at once, {} requests cut off", entry.in_progress());
        }
    }
    Ok(())
}

async fn listen(settings: &Settings) -> Result<TcpListener, DaemonError> {
    let address = settings.listen.callers;
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| io(&format!("can't listen for callers on {address}"), cause))
}

fn start_peers(settings: &Settings, sender: &mpsc::Sender<Message>) {
    let (address, sender) = (settings.listen.peers, sender.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = peers::serve(address, sender).await {
            log::error!("peer: can't answer on {address}: {error}");
        }
    });
}

/// Either of the signals that ask for a planned stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn signals() -> Result<StopSignals, DaemonError> {
    let watch = |kind| signal(kind).map_err(|cause| io("signals can't be watched", cause));
    let terminate = watch(SignalKind::terminate())?;
    let interrupt = watch(SignalKind::interrupt())?;
    Ok(StopSignals { terminate, interrupt })
}

fn io(what: &str, cause: std::io::Error) -> DaemonError {
    DaemonError::Io { what: what.to_owned(), cause }
}
