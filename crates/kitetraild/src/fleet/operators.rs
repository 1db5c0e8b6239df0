//! Serves the readiness check, the metrics and the operators' rows over HTTP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener,
    http::StatusCode,
    writing::{Json, Text},
};
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    task,
};

use super::{
    FleetSettings,
    operator_rows::{OperatorRequest, RequestError},
};
use crate::metrics::Metrics;

/// Whether the box accepts new connections, shared with the threads of the HTTP server.
pub(super) type ReadyFlag = Arc<AtomicBool>;

/// The maximum size of an operators' row, in bytes.
const MAX_ROW_BYTES: usize = 4_096;

/// Serves all of them on their addresses until the process ends. Without a queue of requests, the
/// operators' rows are not served.
pub(super) fn start(
    settings: &FleetSettings,
    ready: ReadyFlag,
    metrics: Metrics,
    requests: Option<mpsc::Sender<OperatorRequest>>,
) {
    let path = settings.ready_path.trim_start_matches('/');
    let readiness = Router::with_path(path).get(ReadinessHandler { ready });
    serve(settings.listen.ready, readiness);
    let mut routes =
        Router::new().push(Router::with_path("metrics").get(MetricsHandler { metrics }));
    if let Some(requests) = requests {
        let handler = |resource| RowsHandler { resource, requests: requests.clone() };
        let row = Router::with_path("v1/operator-rows/{kind}/{name}")
            .post(handler(RowsResource::Put))
            .delete(handler(RowsResource::Remove));
        let all = Router::with_path("v1/operator-rows").get(handler(RowsResource::List));
        routes = routes.push(all).push(row);
    }
    serve(settings.listen.metrics, routes);
}

fn serve(address: SocketAddr, routes: Router) {
    task::spawn_local(async move {
        match TcpListener::new(address).try_bind().await {
            Ok(listener) => Server::new(listener).serve(routes).await,
            Err(error) => log::error!("operators: can't listen on {address}: {error}"),
        }
    });
}

struct ReadinessHandler {
    ready: ReadyFlag,
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.status_code(match self.ready.load(Ordering::Relaxed) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
}

struct MetricsHandler {
    metrics: Metrics,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.render(Text::Plain(self.metrics.render()));
    }
}

/// What is done with operators' rows.
#[derive(Debug, Clone, Copy)]
enum RowsResource {
    List,
    Put,
    Remove,
}

/// Passes operators' requests to the thread of the shared state.
struct RowsHandler {
    resource: RowsResource,
    requests: mpsc::Sender<OperatorRequest>,
}

#[async_trait]
impl Handler for RowsHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.resource {
            RowsResource::List => self.pass_on(response, OperatorRequest::List).await,
            RowsResource::Remove => self.write(row_key(request), None, response).await,
            RowsResource::Put => match request.payload_with_max_size(MAX_ROW_BYTES).await {
                Ok(contents) => {
                    let contents = contents.to_vec();
                    self.write(row_key(request), Some(contents), response).await;
                }
                Err(error) => {
                    let message = format!("the row can't be read: {error}");
                    render_error(response, &RequestError::Invalid { message });
                }
            },
        }
    }
}

impl RowsHandler {
    async fn write(&self, key: String, contents: Option<Vec<u8>>, response: &mut Response) {
        let request = |reply| OperatorRequest::Write { key, contents, reply };
        self.pass_on(response, request).await;
    }

    async fn pass_on<T: Serialize + Send>(
        &self,
        response: &mut Response,
        request: impl FnOnce(oneshot::Sender<Result<T, RequestError>>) -> OperatorRequest,
    ) {
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.send(request(reply)).await;
        match answer.await {
            Ok(Ok(value)) => response.render(Json(value)),
            Ok(Err(error)) => render_error(response, &error),
            Err(_) => {
                let message = "this box is stopping; ask another one".to_owned();
                let error = match sent {
                    Ok(()) => RequestError::Unknown { message },
                    Err(_) => RequestError::Unavailable { message },
                };
                render_error(response, &error);
            }
        }
    }
}

fn row_key(request: &Request) -> String {
    let parameter = |name| request.param::<String>(name).unwrap_or_default();
    format!("{}/{}", parameter("kind"), parameter("name"))
}

fn render_error(response: &mut Response, error: &RequestError) {
    response.status_code(match error {
        RequestError::Invalid { .. } => StatusCode::BAD_REQUEST,
        RequestError::NotFound { .. } => StatusCode::NOT_FOUND,
        RequestError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        RequestError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    });
    response.render(Json(error));
}
