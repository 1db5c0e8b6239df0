//! The resources of the operators' API.

use std::net::SocketAddr;

use kitetrail_core::{
    SpecName,
    task::{Kind, Spec},
};
use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener,
    http::StatusCode,
    writing::{Json, Text},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::{Message, OperatorError, OperatorRequest},
    metrics::Metrics,
};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Answers operators until the process ends.
pub fn start(address: SocketAddr, control: mpsc::Sender<Message>, metrics: Metrics) {
    tokio::task::spawn_local(async move {
        let listener = match TcpListener::new(address).try_bind().await {
            Ok(listener) => listener,
            Err(error) => return log::error!("operator: can't answer on {address}: {error}"),
        };
        Server::new(listener).serve(routes(control, metrics)).await;
    });
}

fn routes(control: mpsc::Sender<Message>, metrics: Metrics) -> Router {
    let api = |resource| Api { resource, control: control.clone(), metrics: metrics.clone() };
    Router::new()
        .push(Router::with_path("healthz").get(api(Resource::Health)))
        .push(Router::with_path("readyz").get(api(Resource::Ready)))
        .push(Router::with_path("metrics").get(api(Resource::Metrics)))
        .push(Router::with_path("v1/status").get(api(Resource::Status)))
        .push(Router::with_path("v1/boxes").get(api(Resource::Boxes)))
        .push(Router::with_path("v1/config").get(api(Resource::Config)).post(api(Resource::Apply)))
        .push(Router::with_path("v1/config/status").get(api(Resource::ConfigStatus)))
        .push(Router::with_path("v1/config/history").get(api(Resource::History)))
        .push(Router::with_path("v1/specs").get(api(Resource::List)).post(api(Resource::Create)))
        .push(
            Router::with_path("v1/specs/{name}")
                .get(api(Resource::Show))
                .delete(api(Resource::Cancel)),
        )
}

#[derive(Debug, Clone, Copy)]
enum Resource {
    Health,
    Ready,
    Metrics,
    Status,
    Boxes,
    Config,
    Apply,
    ConfigStatus,
    History,
    List,
    Create,
    Show,
    Cancel,
}

/// Hands requests for one resource to the control loop.
struct Api {
    resource: Resource,
    control: mpsc::Sender<Message>,
    metrics: Metrics,
}

/// The body of a request that creates a spec.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    change: String,
    spec: Spec,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.resource {
            Resource::Health => response.render(Text::Plain("up\n")),
            Resource::Metrics => response.render(Text::Plain(self.metrics.page())),
            Resource::Ready => self.ready(response).await,
            Resource::Status => self.ask(response, OperatorRequest::Status).await,
            Resource::Boxes => self.ask(response, OperatorRequest::Boxes).await,
            Resource::Config => self.ask(response, OperatorRequest::Configuration).await,
            Resource::ConfigStatus => {
                self.ask(response, OperatorRequest::ConfigurationStatus).await;
            }
            Resource::History => self.ask(response, OperatorRequest::History).await,
            Resource::Apply => match body(request).await {
                Ok(new) => self.ask(response, |r| OperatorRequest::Configure(new, r)).await,
                Err(error) => render_error(response, &error),
            },
            Resource::List => match kind(request) {
                Ok(kind) => self.ask(response, |r| OperatorRequest::List(kind, r)).await,
                Err(error) => render_error(response, &error),
            },
            Resource::Create => match body::<CreateBody>(request).await {
                Ok(CreateBody { change, spec }) => {
                    self.ask(response, |r| OperatorRequest::Create(change, spec, r)).await;
                }
                Err(error) => render_error(response, &error),
            },
            Resource::Show => match name(request) {
                Ok(name) => self.ask(response, |r| OperatorRequest::Show(name, r)).await,
                Err(error) => render_error(response, &error),
            },
            Resource::Cancel => match (name(request), change(request)) {
                (Ok(name), Ok(change)) => {
                    self.ask(response, |r| OperatorRequest::Cancel(change, name, r)).await;
                }
                (Err(error), _) | (_, Err(error)) => render_error(response, &error),
            },
        }
    }
}

impl Api {
    async fn ready(&self, response: &mut Response) {
        let (reply, answer) = oneshot::channel();
        let _ = self.control.send(Message::Operator(OperatorRequest::Ready(reply))).await;
        if answer.await.unwrap_or(false) {
            response.render(Text::Plain("ready\n"));
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render(Text::Plain("not ready\n"));
        }
    }

    async fn ask<T: Serialize + Send>(
        &self,
        response: &mut Response,
        request: impl FnOnce(oneshot::Sender<Result<T, OperatorError>>) -> OperatorRequest,
    ) {
        let (reply, answer) = oneshot::channel();
        let _ = self.control.send(Message::Operator(request(reply))).await;
        match answer.await {
            Ok(Ok(value)) => response.render(Json(value)),
            Ok(Err(error)) => render_error(response, &error),
            Err(_) => {
                let message = "this daemon is stopping; ask another one".to_owned();
                render_error(response, &OperatorError::Unavailable { message });
            }
        }
    }
}

async fn body<T: for<'de> Deserialize<'de>>(request: &mut Request) -> Result<T, OperatorError> {
    let invalid = |cause: String| OperatorError::Invalid { message: cause };
    let payload = request.payload_with_max_size(MAX_BODY_BYTES).await;
    let payload = payload.map_err(|error| invalid(format!("the body can't be read: {error}")))?;
    serde_json::from_slice(payload).map_err(|error| invalid(format!("the body is wrong: {error}")))
}

fn kind(request: &Request) -> Result<Kind, OperatorError> {
    match request.query::<String>("kind").as_deref() {
        Some("service") => Ok(Kind::Service),
        Some("job") => Ok(Kind::Job),
        Some("watcher") => Ok(Kind::Watcher),
        _ => Err(OperatorError::Invalid {
            message: "add ?kind=service, ?kind=job or ?kind=watcher".to_owned(),
        }),
    }
}

fn name(request: &Request) -> Result<SpecName, OperatorError> {
    let name = request.param::<String>("name").unwrap_or_default();
    name.parse().map_err(|error: kitetrail_core::InvalidId| OperatorError::Invalid {
        message: error.to_string(),
    })
}

fn change(request: &Request) -> Result<String, OperatorError> {
    let message = "add ?change= with an id of your choice for this change".to_owned();
    request.query::<String>("change").ok_or(OperatorError::Invalid { message })
}

fn render_error(response: &mut Response, error: &OperatorError) {
    response.status_code(match error {
        OperatorError::Invalid { .. } => StatusCode::BAD_REQUEST,
        OperatorError::NotFound { .. } => StatusCode::NOT_FOUND,
        OperatorError::Conflict { .. } => StatusCode::CONFLICT,
        OperatorError::Impossible { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        OperatorError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    });
    response.render(Json(error));
}
