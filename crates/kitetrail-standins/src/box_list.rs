//! The list of boxes, which shows changes with a delay.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use kitetrail_core::fleet::{Fleet, Liveness};
use serde::Deserialize;

use crate::{
    args::BoxListArgs,
    server::{Answer, StandinError, json_response, read_json, serve, text_response},
};

/// A change that is not visible yet.
#[derive(Debug)]
struct PendingChange {
    due: Instant,
    id: String,
    state: Liveness,
}

#[derive(Debug)]
struct State {
    fleet: Fleet,
    changes: VecDeque<PendingChange>,
    lag: Duration,
    /// The version of the list, which increases with each visible change.
    version: u64,
}

#[derive(Deserialize)]
struct NewState {
    state: Liveness,
}

/// Runs the list of boxes until the process ends.
pub async fn run(args: BoxListArgs) -> Result<(), StandinError> {
    let invalid = |cause: String| StandinError::Invalid(format!("{:?}: {cause}", args.fleet));
    let text = std::fs::read_to_string(&args.fleet).map_err(|e| invalid(e.to_string()))?;
    let fleet: Fleet = toml::from_str(&text).map_err(|e| invalid(e.to_string()))?;
    let lag = Duration::from_millis(args.lag_ms);
    let state = Rc::new(RefCell::new(State { fleet, changes: VecDeque::new(), lag, version: 1 }));
    serve(args.listen, move |request| handle_request(Rc::clone(&state), request)).await
}

async fn handle_request(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.strip_prefix("/v1/boxes")) {
        (&Method::GET, Some("")) => {
            let mut state = state.borrow_mut();
            state.apply_due_changes();
            let etag = format!("\"{}\"", state.version);
            let known = request.headers().get(IF_NONE_MATCH);
            if known.is_some_and(|known| known.as_bytes() == etag.as_bytes()) {
                return text_response(StatusCode::NOT_MODIFIED, "");
            }
            let mut response = json_response(&state.fleet)?;
            response.headers_mut().insert(ETAG, HeaderValue::from_str(&etag).ok()?);
            Some(response)
        }
        (&Method::POST, Some(name)) => {
            let id = name.trim_start_matches('/').to_owned();
            match read_json::<NewState>(request).await {
                Ok(NewState { state: new }) => {
                    state.borrow_mut().schedule_change(id, new);
                    text_response(StatusCode::OK, "")
                }
                Err(answer) => answer,
            }
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}

impl State {
    fn schedule_change(&mut self, id: String, state: Liveness) {
        self.changes.push_back(PendingChange { due: Instant::now() + self.lag, id, state });
    }

    fn apply_due_changes(&mut self) {
        while self.changes.front().is_some_and(|change| change.due <= Instant::now()) {
            let Some(PendingChange { id, state, .. }) = self.changes.pop_front() else { return };
            self.version += 1;
            let workers = self.fleet.workers.iter_mut();
            for worker in workers.filter(|worker| worker.id.as_str() == id) {
                worker.state = state;
            }
            for entry in self.fleet.boxes.iter_mut().filter(|entry| entry.id.as_str() == id) {
                entry.state = state;
            }
        }
    }
}
