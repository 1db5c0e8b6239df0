//! The worker as a process: sockets, clock and journal.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use kitetrail_core::{InvalidSize, Resources, worker::SyncRequest};
use tokio::task::LocalSet;

use super::{Effects, WorkerModel, WorkerSettings, endpoint};
use crate::{
    args::WorkerArgs,
    journal::{Journal, WorkerEntry, WorkerEvent, shared_clock_ms},
    server::{Answer, StandinError, json_response, read_json, serve, text_response},
};

/// The interval at which the tasks advance.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between usage samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 2_000;

/// The state shared by the control interface and the endpoint.
#[derive(Debug)]
pub(super) struct Shared {
    pub model: WorkerModel,
    journal: Journal,
    started: Instant,
    started_shared_ms: u64,
}

impl Shared {
    /// Returns the time on the clock of the worker, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Advances the tasks to the current time and writes the events to the journal.
    pub fn advance(&mut self) {
        let now_ms = self.clock_ms();
        self.model.advance(now_ms);
        self.write_events();
    }

    /// Records in the journal that a request started to run.
    pub fn record_execution(&mut self, request: &str) {
        let event = WorkerEvent::Execute { request: request.to_owned() };
        self.journal.add(&WorkerEntry { at_ms: shared_clock_ms(), event });
    }

    fn write_events(&mut self) {
        for (at_ms, event) in self.model.take_events() {
            let at_ms = self.started_shared_ms + at_ms;
            self.journal.add(&WorkerEntry { at_ms, event });
        }
    }
}

/// Runs the worker until the process ends.
pub async fn run(args: WorkerArgs) -> Result<(), StandinError> {
    let settings = build_settings(&args)?;
    let boot = shared_clock_ms();
    let shared = Rc::new(RefCell::new(Shared {
        model: WorkerModel::new(settings, boot, 0),
        journal: Journal::open(&args.journal)?,
        started: Instant::now(),
        started_shared_ms: shared_clock_ms(),
    }));
    let local = LocalSet::new();
    let ticker_state = Rc::clone(&shared);
    local.spawn_local(async move {
        loop {
            ticker_state.borrow_mut().advance();
            tokio::time::sleep(ADVANCE_INTERVAL).await;
        }
    });
    let control = Rc::clone(&shared);
    let control = serve(args.control, move |request| handle_request(Rc::clone(&control), request));
    let endpoint = endpoint::run(&args, shared);
    let servers = async { tokio::try_join!(control, endpoint).map(|_| ()) };
    local.run_until(servers).await
}

fn build_settings(args: &WorkerArgs) -> Result<WorkerSettings, StandinError> {
    let invalid = |error: InvalidSize| StandinError::Invalid(error.to_string());
    let capacity = Resources {
        cpu_millis: args.cpu.parse().map_err(invalid)?,
        memory_mb: args.memory.parse().map_err(invalid)?,
        accelerators: args.accelerators.parse().map_err(invalid)?,
    };
    let effects = match &args.effects {
        None => Effects::default(),
        Some(path) => {
            let invalid = |cause: String| StandinError::Invalid(format!("{path:?}: {cause}"));
            let text = std::fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
            toml::from_str(&text).map_err(|e| invalid(e.to_string()))?
        }
    };
    Ok(WorkerSettings {
        capacity,
        report_lag_ms: args.report_lag_ms,
        sample_every_ms: SAMPLE_INTERVAL_MS,
        checkpoint_ms: 200,
        fail_tasks: args.fail_tasks,
        effects,
    })
}

async fn handle_request(shared: Rc<RefCell<Shared>>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/sync") => match read_json::<SyncRequest>(request).await {
            Ok(request) => {
                let mut shared = shared.borrow_mut();
                let now_ms = shared.clock_ms();
                let reply = shared.model.sync(request, now_ms);
                shared.write_events();
                json_response(&reply)
            }
            Err(answer) => answer,
        },
        _ => text_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}
