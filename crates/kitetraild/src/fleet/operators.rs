//! Serves the readiness check and the metrics over HTTP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener, http::StatusCode, writing::Text,
};
use tokio::task;

use super::FleetSettings;
use crate::metrics::Metrics;

/// Whether the box accepts new connections, shared with the threads of the HTTP server.
pub(super) type ReadyFlag = Arc<AtomicBool>;

/// Serves both on their addresses until the process ends.
pub(super) fn start(settings: &FleetSettings, ready: ReadyFlag, metrics: Metrics) {
    let path = settings.ready_path.trim_start_matches('/');
    let readiness = Router::with_path(path).get(ReadinessHandler { ready });
    serve(settings.listen.ready, readiness);
    serve(settings.listen.metrics, Router::with_path("metrics").get(MetricsHandler { metrics }));
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
