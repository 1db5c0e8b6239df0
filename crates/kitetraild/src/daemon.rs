//! Starts the parts of the daemon and shuts them down in order.

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
    task::{JoinError, LocalSet},
};

use crate::{
    callers::{CallerServer, CallerServerParts, ChosenBalancer},
    clock::{Clock, new_incarnation},
    control::{Control, ControlMessage, ControlParts},
    metrics::Metrics,
    operators, peers,
    settings::Settings,
};

/// The number of messages that can be queued for the control loop.
const CONTROL_QUEUE_CAPACITY: usize = 4_096;
/// How long a stopping box still accepts requests after it reports that it is not ready, so that
/// the load balancer in front can react.
const UNREADY_DELAY: Duration = Duration::from_millis(500);

/// An error that stops the daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A system call failed.
    #[error("{operation}: {cause}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The metrics exporter can't be created.
    #[error("the metrics can't be set up: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// A component panicked that others depend on.
    #[error("a component has panicked, the process must be restarted: {0}")]
    ComponentPanicked(JoinError),
}

/// Runs the daemon until it receives a stop signal.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| io_error("the runtime can't be started", cause))?;
    runtime.block_on(LocalSet::new().run_until(run_parts(Rc::new(settings))))
}

async fn run_parts(settings: Rc<Settings>) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let incarnation = new_incarnation();
    let metrics = Metrics::new()?;
    let balancer = ChosenBalancer::new(settings.requests.balancer);
    let router = Router::new(settings.router_settings(), balancer, incarnation);
    let router = Rc::new(RefCell::new(router));
    let ready = Rc::new(Cell::new(false));
    let (sender, messages) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let listener = bind_caller_listener(&settings).await?;
    let mut stop_signals = watch_stop_signals()?;

    start_peer_server(&settings, &sender);
    operators::start(Rc::clone(&settings), sender.clone(), metrics.clone());
    let caller_server = CallerServer::new(CallerServerParts {
        settings: Rc::clone(&settings),
        clock,
        incarnation,
        router: Rc::clone(&router),
        metrics: metrics.clone(),
        ready: Rc::clone(&ready),
    });
    let accept_loop = tokio::task::spawn_local(Rc::clone(&caller_server).accept(listener));
    let control_parts = ControlParts {
        settings: Rc::clone(&settings),
        clock,
        incarnation,
        router,
        metrics,
        ready,
        sender: sender.clone(),
    };
    let control_loop = tokio::task::spawn_local(Control::new(control_parts).run(messages));
    log::info!("daemon: {} accepts requests on {}", settings.box_id, settings.listen.callers);

    stop_signals.recv().await;
    log::info!("daemon: stopping");
    let _ = sender.send(ControlMessage::Drain).await;
    tokio::time::sleep(UNREADY_DELAY).await;
    accept_loop.abort();
    let drained = async {
        caller_server.drain().await;
        let _ = control_loop.await;
    };
    tokio::select! {
        () = drained => log::info!("daemon: stopped after all requests ended"),
        () = tokio::time::sleep(settings.requests.drain_timeout_ms.get()) => {
            log::warn!("daemon: stopped with {} requests in progress", caller_server.requests_in_progress());
        }
        () = stop_signals.recv() => {
            log::warn!("daemon: stopped immediately, {} requests aborted", caller_server.requests_in_progress());
        }
    }
    Ok(())
}

async fn bind_caller_listener(settings: &Settings) -> Result<TcpListener, DaemonError> {
    let address = settings.listen.callers;
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| io_error(&format!("can't listen for callers on {address}"), cause))
}

fn start_peer_server(settings: &Settings, sender: &mpsc::Sender<ControlMessage>) {
    let (address, sender) = (settings.listen.peers, sender.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = peers::serve(address, sender).await {
            log::error!("peer: can't serve on {address}: {error}");
        }
    });
}

/// The signals that start a graceful shutdown.
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

fn watch_stop_signals() -> Result<StopSignals, DaemonError> {
    let watch = |kind| signal(kind).map_err(|cause| io_error("signals can't be watched", cause));
    let terminate = watch(SignalKind::terminate())?;
    let interrupt = watch(SignalKind::interrupt())?;
    Ok(StopSignals { terminate, interrupt })
}

fn io_error(operation: &str, cause: std::io::Error) -> DaemonError {
    DaemonError::Io { operation: operation.to_owned(), cause }
}
