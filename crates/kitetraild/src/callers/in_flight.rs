//! The lifecycle of a request from its arrival to its final answer.

use std::rc::Rc;

use kitetrail_core::routing::{EndpointId, Exchange, RequestId, RoutingDecision};
use tokio::sync::oneshot;

use super::{entry::CallerServer, pool::Connection};

/// A request that has no final answer yet.
///
/// If it is dropped early, because its caller disconnected, it removes itself from the router.
pub struct InFlightRequest {
    server: Rc<CallerServer>,
    number: RequestId,
    endpoint: Option<EndpointId>,
    decision_receiver: Option<oneshot::Receiver<RoutingDecision>>,
    finished: bool,
}

impl InFlightRequest {
    /// Creates the state of a request that was just offered to the router.
    pub fn new(server: Rc<CallerServer>, number: RequestId) -> Self {
        server.request_started();
        Self { server, number, endpoint: None, decision_receiver: None, finished: false }
    }

    /// Sets the endpoint to which the request is sent.
    pub fn set_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoint = Some(endpoint);
    }

    /// Waits until the router assigns an endpoint or ends the request.
    pub async fn wait(&mut self) -> Option<RoutingDecision> {
        let decision_receiver =
            self.decision_receiver.insert(self.server.register_waiter(self.number));
        let decision = decision_receiver.await.ok();
        self.decision_receiver = None;
        decision
    }

    /// Reports the result of an exchange to the router and returns its decision.
    pub fn finish_exchange(&mut self, exchange: Exchange) -> RoutingDecision {
        let Some(endpoint) = self.endpoint.take() else { return RoutingDecision::Forward };
        let now = self.server.now();
        let decision =
            self.server.router().borrow_mut().on_exchange_end(self.number, endpoint, exchange, now);
        self.server.dispatch_ready();
        decision
    }

    /// Reports to the router that the deadline passed while the request was at an endpoint.
    pub fn time_out(mut self) -> Option<kitetrail_core::routing::Rejection> {
        self.finished = true;
        let endpoint = self.endpoint.take()?;
        let now = self.server.now();
        Some(self.server.router().borrow_mut().reject_in_flight(self.number, endpoint, now))
    }

    /// Ends the request with a complete response and returns the connection to the pool.
    pub fn complete(mut self, connection: Connection, failed: bool) {
        let max_idle = self.server.router().borrow().max_idle_connections();
        self.server.pool().return_connection(connection, max_idle);
        let exchange = if failed { Exchange::Failed } else { Exchange::Answered };
        self.finish_exchange(exchange);
        self.finished = true;
    }

    /// Ends the request after its response was interrupted, when the head had already been
    /// forwarded.
    pub fn fail(mut self) {
        self.finish_exchange(Exchange::Lost);
    }

    /// Marks the request as finished, after the router ended it.
    pub fn mark_finished(mut self) {
        self.finished = true;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.server.request_ended();
        if self.finished {
            self.server.dispatch_ready();
            return;
        }
        self.server.remove_waiter(self.number);
        let late_verdict =
            self.decision_receiver.take().and_then(|mut receiver| receiver.try_recv().ok());
        if let Some(RoutingDecision::Send(endpoint)) = late_verdict {
            self.endpoint = Some(endpoint);
        }
        let now = self.server.now();
        let endpoint = self.endpoint.take();
        self.server.router().borrow_mut().drop_disconnected(self.number, endpoint, now);
        self.server.dispatch_ready();
    }
}
