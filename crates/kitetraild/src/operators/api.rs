//! The resources of the HTTP API for operators.

use std::{rc::Rc, sync::Arc};

use kitetrail_core::{
    SpecName,
    task::{Spec, SpecKind},
};
use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener,
    http::StatusCode,
    writing::{Json, Text},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::access::{Identity, RequiredAccess, authorize};
use crate::{
    control::{Author, ControlMessage, NewConfiguration, OperatorError, OperatorRequest},
    metrics::Metrics,
    settings::{Settings, Token},
};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Serves operators until the process ends.
pub fn start(settings: Rc<Settings>, control: mpsc::Sender<ControlMessage>, metrics: Metrics) {
    let address = settings.listen.operators;
    let tokens: Arc<[Token]> = settings.operators.tokens.clone().into();
    tokio::task::spawn_local(async move {
        let listener = match TcpListener::new(address).try_bind().await {
            Ok(listener) => listener,
            Err(error) => return log::error!("operator: can't serve on {address}: {error}"),
        };
        Server::new(listener).serve(router(control, metrics, tokens)).await;
    });
}

fn router(control: mpsc::Sender<ControlMessage>, metrics: Metrics, tokens: Arc<[Token]>) -> Router {
    let handler = |resource| ResourceHandler {
        resource,
        control: control.clone(),
        metrics: metrics.clone(),
        tokens: Arc::clone(&tokens),
    };
    Router::new()
        .push(Router::with_path("healthz").get(handler(Resource::Health)))
        .push(Router::with_path("readyz").get(handler(Resource::Ready)))
        .push(Router::with_path("metrics").get(handler(Resource::Metrics)))
        .push(Router::with_path("v1/status").get(handler(Resource::Status)))
        .push(Router::with_path("v1/boxes").get(handler(Resource::Boxes)))
        .push(
            Router::with_path("v1/config")
                .get(handler(Resource::Config))
                .post(handler(Resource::Apply)),
        )
        .push(Router::with_path("v1/config/status").get(handler(Resource::ConfigStatus)))
        .push(Router::with_path("v1/config/history").get(handler(Resource::History)))
        .push(Router::with_path("v1/audit").get(handler(Resource::Audit)))
        .push(
            Router::with_path("v1/specs")
                .get(handler(Resource::List))
                .post(handler(Resource::Create)),
        )
        .push(
            Router::with_path("v1/specs/{name}")
                .get(handler(Resource::Show))
                .delete(handler(Resource::Cancel)),
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
    Audit,
    List,
    Create,
    Show,
    Cancel,
}

/// A handler that passes requests for one resource to the control loop.
struct ResourceHandler {
    resource: Resource,
    control: mpsc::Sender<ControlMessage>,
    metrics: Metrics,
    tokens: Arc<[Token]>,
}

impl Resource {
    /// Returns the access that a request for this resource requires.
    fn required_access(self) -> RequiredAccess {
        match self {
            Resource::Apply => RequiredAccess::Configure,
            Resource::Create | Resource::Cancel => RequiredAccess::Change,
            _ => RequiredAccess::Read,
        }
    }
}

/// The body of a request that creates a spec.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateBody {
    change: String,
    spec: Spec,
}

#[async_trait]
impl Handler for ResourceHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.resource {
            Resource::Health => response.render(Text::Plain("up\n")),
            Resource::Metrics => response.render(Text::Plain(self.metrics.render())),
            Resource::Ready => self.render_ready(response).await,
            resource => match authorize(&self.tokens, request, resource.required_access()) {
                Ok(identity) => self.serve(identity, request, response).await,
                Err(error) => render_error(response, &error),
            },
        }
    }
}

impl ResourceHandler {
    async fn serve(&self, identity: Identity, request: &mut Request, response: &mut Response) {
        let result = match self.resource {
            Resource::Apply => self.configure(identity, request, response).await,
            Resource::Create => self.create(identity, request, response).await,
            Resource::Cancel => self.cancel(identity, request, response).await,
            Resource::Show => match name_parameter(request) {
                Ok(name) => {
                    self.render_reply(response, |reply| OperatorRequest::Show(name, reply)).await;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            Resource::List => match kind_parameter(request) {
                Ok(kind) => {
                    self.render_reply(response, |reply| OperatorRequest::List(kind, reply)).await;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            _ => {
                self.read_resource(response).await;
                Ok(())
            }
        };
        if let Err(error) = result {
            render_error(response, &error);
        }
    }

    /// Answers a request that has no parameters and no body.
    async fn read_resource(&self, response: &mut Response) {
        match self.resource {
            Resource::Status => self.render_reply(response, OperatorRequest::Status).await,
            Resource::Boxes => self.render_reply(response, OperatorRequest::Boxes).await,
            Resource::Config => self.render_reply(response, OperatorRequest::Configuration).await,
            Resource::ConfigStatus => {
                self.render_reply(response, OperatorRequest::ConfigurationStatus).await;
            }
            Resource::History => self.render_reply(response, OperatorRequest::History).await,
            Resource::Audit => self.render_reply(response, OperatorRequest::Audit).await,
            _ => {}
        }
    }

    async fn configure(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let mut new: NewConfiguration = json_body(request).await?;
        new.author = identity.name.unwrap_or(new.author);
        self.render_reply(response, |reply| OperatorRequest::Configure(new, reply)).await;
        Ok(())
    }

    async fn create(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let CreateBody { change, spec } = json_body(request).await?;
        let author = author(identity, change);
        self.render_reply(response, |reply| OperatorRequest::Create(author, spec, reply)).await;
        Ok(())
    }

    async fn cancel(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let (name, change) = (name_parameter(request)?, change_parameter(request)?);
        let author = author(identity, change);
        self.render_reply(response, |reply| OperatorRequest::Cancel(author, name, reply)).await;
        Ok(())
    }

    async fn render_ready(&self, response: &mut Response) {
        let (reply, answer) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Operator(OperatorRequest::Ready(reply))).await;
        if answer.await.unwrap_or(false) {
            response.render(Text::Plain("ready\n"));
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render(Text::Plain("not ready\n"));
        }
    }

    async fn render_reply<T: Serialize + Send>(
        &self,
        response: &mut Response,
        request: impl FnOnce(oneshot::Sender<Result<T, OperatorError>>) -> OperatorRequest,
    ) {
        let (reply, answer) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Operator(request(reply))).await;
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

fn author(identity: Identity, change: String) -> Author {
    let who = identity.name.unwrap_or_else(|| "anyone".to_owned());
    Author { who, team: identity.team, change }
}

async fn json_body<T: for<'de> Deserialize<'de>>(
    request: &mut Request,
) -> Result<T, OperatorError> {
    let invalid = |cause: String| OperatorError::Invalid { message: cause };
    let payload = request.payload_with_max_size(MAX_BODY_BYTES).await;
    let payload = payload.map_err(|error| invalid(format!("the body can't be read: {error}")))?;
    serde_json::from_slice(payload).map_err(|error| invalid(format!("the body is wrong: {error}")))
}

fn kind_parameter(request: &Request) -> Result<SpecKind, OperatorError> {
    match request.query::<String>("kind").as_deref() {
        Some("service") => Ok(SpecKind::Service),
        Some("job") => Ok(SpecKind::Job),
        Some("watcher") => Ok(SpecKind::Watcher),
        _ => Err(OperatorError::Invalid {
            message: "add ?kind=service, ?kind=job or ?kind=watcher".to_owned(),
        }),
    }
}

fn name_parameter(request: &Request) -> Result<SpecName, OperatorError> {
    let name = request.param::<String>("name").unwrap_or_default();
    name.parse().map_err(|error: kitetrail_core::InvalidId| OperatorError::Invalid {
        message: error.to_string(),
    })
}

fn change_parameter(request: &Request) -> Result<String, OperatorError> {
    let message = "add ?change= with an id of your choice for this change".to_owned();
    request.query::<String>("change").ok_or(OperatorError::Invalid { message })
}

fn render_error(response: &mut Response, error: &OperatorError) {
    response.status_code(match error {
        OperatorError::Invalid { .. } => StatusCode::BAD_REQUEST,
        OperatorError::Forbidden { .. } => StatusCode::FORBIDDEN,
        OperatorError::NotFound { .. } => StatusCode::NOT_FOUND,
        OperatorError::Conflict { .. } => StatusCode::CONFLICT,
        OperatorError::Impossible { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        OperatorError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    });
    response.render(Json(error));
}
