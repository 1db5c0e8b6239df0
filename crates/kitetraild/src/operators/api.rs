//! The resources of the operators' API.

use std::{rc::Rc, sync::Arc};

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

use super::access::{Identity, Wish, identify};
use crate::{
    control::{Author, Message, NewConfiguration, OperatorError, OperatorRequest},
    metrics::Metrics,
    settings::{Settings, Token},
};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Answers operators until the process ends.
pub fn start(settings: Rc<Settings>, control: mpsc::Sender<Message>, metrics: Metrics) {
    let address = settings.listen.operators;
    let tokens: Arc<[Token]> = settings.operators.tokens.clone().into();
    tokio::task::spawn_local(async move {
        let listener = match TcpListener::new(address).try_bind().await {
            Ok(listener) => listener,
            Err(error) => return log::error!("operator: can't answer on {address}: {error}"),
        };
        Server::new(listener).serve(routes(control, metrics, tokens)).await;
    });
}

fn routes(control: mpsc::Sender<Message>, metrics: Metrics, tokens: Arc<[Token]>) -> Router {
    let api = |resource| Api {
        resource,
        control: control.clone(),
        metrics: metrics.clone(),
        tokens: Arc::clone(&tokens),
    };
    Router::new()
        .push(Router::with_path("healthz").get(api(Resource::Health)))
        .push(Router::with_path("readyz").get(api(Resource::Ready)))
        .push(Router::with_path("metrics").get(api(Resource::Metrics)))
        .push(Router::with_path("v1/status").get(api(Resource::Status)))
        .push(Router::with_path("v1/boxes").get(api(Resource::Boxes)))
        .push(Router::with_path("v1/config").get(api(Resource::Config)).post(api(Resource::Apply)))
        .push(Router::with_path("v1/config/status").get(api(Resource::ConfigStatus)))
        .push(Router::with_path("v1/config/history").get(api(Resource::History)))
        .push(Router::with_path("v1/audit").get(api(Resource::Audit)))
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
    Audit,
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
    tokens: Arc<[Token]>,
}

impl Resource {
    /// What an operator wants who asks for it.
    fn wish(self) -> Wish {
        match self {
            Resource::Apply => Wish::Configure,
            Resource::Create | Resource::Cancel => Wish::Change,
            _ => Wish::Read,
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
            resource => match identify(&self.tokens, request, resource.wish()) {
                Ok(identity) => self.serve(identity, request, response).await,
                Err(error) => render_error(response, &error),
            },
        }
    }
}

impl Api {
    async fn serve(&self, identity: Identity, request: &mut Request, response: &mut Response) {
        let result = match self.resource {
            Resource::Apply => self.configure(identity, request, response).await,
            Resource::Create => self.create(identity, request, response).await,
            Resource::Cancel => self.cancel(identity, request, response).await,
            Resource::Show => match name(request) {
                Ok(name) => {
                    self.ask(response, |reply| OperatorRequest::Show(name, reply)).await;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            Resource::List => match kind(request) {
                Ok(kind) => {
                    self.ask(response, |reply| OperatorRequest::List(kind, reply)).await;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            _ => {
                self.look(response).await;
                Ok(())
            }
        };
        if let Err(error) = result {
            render_error(response, &error);
        }
    }

    /// Answers what needs no more than the resource's name.
    async fn look(&self, response: &mut Response) {
        match self.resource {
            Resource::Status => self.ask(response, OperatorRequest::Status).await,
            Resource::Boxes => self.ask(response, OperatorRequest::Boxes).await,
            Resource::Config => self.ask(response, OperatorRequest::Configuration).await,
            Resource::ConfigStatus => {
                self.ask(response, OperatorRequest::ConfigurationStatus).await;
            }
            Resource::History => self.ask(response, OperatorRequest::History).await,
            Resource::Audit => self.ask(response, OperatorRequest::Audit).await,
            _ => {}
        }
    }

    async fn configure(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let mut new: NewConfiguration = body(request).await?;
        new.author = identity.name.unwrap_or(new.author);
        self.ask(response, |reply| OperatorRequest::Configure(new, reply)).await;
        Ok(())
    }

    async fn create(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let CreateBody { change, spec } = body(request).await?;
        let author = author(identity, change);
        self.ask(response, |reply| OperatorRequest::Create(author, spec, reply)).await;
        Ok(())
    }

    async fn cancel(
        &self,
        identity: Identity,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), OperatorError> {
        let (name, change) = (name(request)?, change(request)?);
        let author = author(identity, change);
        self.ask(response, |reply| OperatorRequest::Cancel(author, name, reply)).await;
        Ok(())
    }

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

fn author(identity: Identity, change: String) -> Author {
    let who = identity.name.unwrap_or_else(|| "anyone".to_owned());
    Author { who, team: identity.team, change }
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
        OperatorError::Forbidden { .. } => StatusCode::FORBIDDEN,
        OperatorError::NotFound { .. } => StatusCode::NOT_FOUND,
        OperatorError::Conflict { .. } => StatusCode::CONFLICT,
        OperatorError::Impossible { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        OperatorError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    });
    response.render(Json(error));
}
