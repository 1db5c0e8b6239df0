//! A request between its arrival and its final answer.

use std::rc::Rc;

use kitetrail_core::routing::{EndpointId, Exchange, RequestNumber, Verdict};
use tokio::sync::oneshot;

use super::{entry::Entry, pool::Connection};

/// A request between its arrival and its final answer.
///
/// Dropped early, because its caller has gone, it takes itself out of the router.
pub struct InFlight {
    entry: Rc<Entry>,
    number: RequestNumber,
    endpoint: Option<EndpointId>,
    waiter: Option<oneshot::Receiver<Verdict>>,
    over: bool,
}

impl InFlight {
    /// A request that the router has just been offered.
    pub fn new(entry: Rc<Entry>, number: RequestNumber) -> Self {
        entry.begin();
        Self { entry, number, endpoint: None, waiter: None, over: false }
    }

    /// Notes that the request is on its way to an endpoint.
    pub fn sending_to(&mut self, endpoint: EndpointId) {
        self.endpoint = Some(endpoint);
    }

    /// Waits until the router has an endpoint or gives the request up.
    pub async fn wait(&mut self) -> Option<Verdict> {
        let waiter = self.waiter.insert(self.entry.wait_for(self.number));
        let verdict = waiter.await.ok();
        self.waiter = None;
        verdict
    }

    /// Tells the router how an exchange went.
    pub fn finish_exchange(&mut self, exchange: Exchange) -> Verdict {
        let Some(endpoint) = self.endpoint.take() else { return Verdict::Deliver };
        let now = self.entry.now();
        let verdict = self.entry.router().borrow_mut().finish(self.number, endpoint, exchange, now);
        self.entry.dispatch_ready();
        verdict
    }

    /// Tells the router that the time ran out while the request was on its way.
    pub fn time_out(mut self) -> Option<kitetrail_core::routing::GivenUp> {
        self.over = true;
        let endpoint = self.endpoint.take()?;
        let now = self.entry.now();
        Some(self.entry.router().borrow_mut().time_out(self.number, endpoint, now))
    }

    /// Ends with a whole answer. The connection may be used again.
    pub fn complete(mut self, connection: Connection, failed: bool) {
        let share = self.entry.router().borrow().connection_share();
        self.entry.pool().put_back(connection, share);
        let exchange = if failed { Exchange::Failed } else { Exchange::Answered };
        self.finish_exchange(exchange);
        self.over = true;
    }

    /// Ends with an answer that broke off after its head was passed on.
    pub fn broke_off(mut self) {
        self.finish_exchange(Exchange::Lost);
    }

    /// Ends with the final answer of a request that was given up.
    pub fn give_up(mut self) {
        self.over = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.end();
        if self.over {
            self.entry.dispatch_ready();
            return;
        }
        self.entry.stop_waiting(self.number);
        let granted = self.waiter.take().and_then(|mut waiter| waiter.try_recv().ok());
        if let Some(Verdict::Send(endpoint)) = granted {
            self.endpoint = Some(endpoint);
        }
        let now = self.entry.now();
        let endpoint = self.endpoint.take();
        self.entry.router().borrow_mut().abandon(self.number, endpoint, now);
        self.entry.dispatch_ready();
    }
}
