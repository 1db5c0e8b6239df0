//! Handles one call: reads its body, claims its key and exchanges it with endpoints.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::{Full, Limited};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName, RETRY_AFTER},
    http::request::Parts,
};
use kitetrail_core::{
    Time,
    calls::ClaimResult,
    routing::{EndpointId, Exchange, IncomingRequest, Outcome, RequestId, RoutingDecision},
};
use kitetrail_platform::headers;

use super::{CallerServer, DEFAULT_RANK, FinalResponse, PreparedRequest, RequestSummary};
use crate::{
    admission::{BodyError, ReceivedBody},
    callers::{
        answer,
        body::{RequestBody, ResponseBody, ResponseStream},
        call::Call,
        claims::Claim,
        exchange::{ExchangeResult, MAX_BUFFERED_BYTES, OutgoingRequest, exchange},
        in_flight::InFlightRequest,
    },
};

/// The `Retry-After` of requests whose bodies did not fit into memory, in seconds.
const BODY_RETRY_AFTER_S: &str = "1";

impl CallerServer {
    pub(super) async fn handle_call(
        self: Rc<Self>,
        number: RequestId,
        call: &Call,
        id: String,
        head: Parts,
        incoming: Incoming,
        arrived_at: Time,
    ) -> FinalResponse {
        let deadline = arrived_at + call.timeout;
        let mut prepared = PreparedRequest {
            head,
            id,
            buffered_body: None,
            reservation: None,
            streamed_body: None,
            deadline,
        };
        if let Err(response) = self.read_body(call, incoming, &mut prepared).await {
            return response;
        }
        let mut claim = match &call.key {
            None => None,
            Some(key) => {
                let claim = self.claims.claim(key.clone());
                let time_left = deadline.since(self.now());
                match tokio::time::timeout(time_left, claim).await {
                    Ok(Ok(claim)) => Some(claim),
                    Ok(Err(answer)) => return claim_refused(answer),
                    Err(_) => return claim_refused(ClaimResult::TableUnavailable),
                }
            }
        };
        let incoming_request = IncomingRequest {
            number,
            service: call.service.clone(),
            repeatable: call.repeatable,
            rank: DEFAULT_RANK,
            deadline,
        };
        let decision = self.router().borrow_mut().route(incoming_request, self.now());
        let in_flight = InFlightRequest::new(Rc::clone(&self), number);
        self.follow_decisions(decision, in_flight, &mut prepared, &mut claim).await
    }

    /// Reads a short body completely, so that it can be sent again. A long body is streamed.
    async fn read_body(
        &self,
        call: &Call,
        incoming: Incoming,
        prepared: &mut PreparedRequest,
    ) -> Result<(), FinalResponse> {
        if call.body_len.is_none_or(|length| length > MAX_BUFFERED_BYTES) && !is_empty(&incoming) {
            prepared.streamed_body = Some(incoming);
            return Ok(());
        }
        let time_left = prepared.deadline.since(self.now());
        match self.bodies.receive(incoming, MAX_BUFFERED_BYTES as usize, time_left).await {
            Ok(ReceivedBody { contents, reservation }) => {
                prepared.buffered_body = Some(Bytes::from(contents));
                prepared.reservation = Some(reservation);
                Ok(())
            }
            Err(BodyError::NoMemory) => Err(body_refused()),
            Err(BodyError::TooLong(_) | BodyError::TooSlow(_) | BodyError::Unreadable(_)) => {
                let reason = "the body did not come".to_owned();
                let body = format!("not-run: {reason}\n");
                let response =
                    answer::local_response(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, body);
                let summary = RequestSummary { outcome: Outcome::NotRun, reason, endpoint: None };
                Err(FinalResponse { response, summary })
            }
        }
    }

    /// Follows the router's decisions until the request has a final response.
    async fn follow_decisions(
        &self,
        mut decision: RoutingDecision,
        mut in_flight: InFlightRequest,
        prepared: &mut PreparedRequest,
        claim: &mut Option<Claim>,
    ) -> FinalResponse {
        let mut endpoint = None;
        loop {
            decision = match decision {
                RoutingDecision::Send(id) => {
                    endpoint = Some(self.router().borrow().endpoint(id).address);
                    match self.send_to_endpoint(id, in_flight, prepared, claim).await {
                        SendResult::Final(response) => return response,
                        SendResult::Continue(decision, returned) => {
                            in_flight = returned;
                            decision
                        }
                    }
                }
                RoutingDecision::Wait => match in_flight.wait().await {
                    Some(decision) => decision,
                    None => RoutingDecision::Forward,
                },
                RoutingDecision::Reject(rejection) => {
                    in_flight.mark_finished();
                    if rejection.outcome == Outcome::NotRun
                        && let Some(claim) = claim
                    {
                        claim.mark_not_run();
                    }
                    let summary = RequestSummary {
                        outcome: rejection.outcome,
                        reason: rejection.reason.to_string(),
                        endpoint,
                    };
                    return FinalResponse { response: answer::routing_failed(rejection), summary };
                }
                RoutingDecision::Forward => {
                    let reason = "nothing to deliver".to_owned();
                    let body = "unknown: the answer was lost\n";
                    let response =
                        answer::local_response(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
                    let summary = RequestSummary { outcome: Outcome::Unknown, reason, endpoint };
                    return FinalResponse { response, summary };
                }
            };
        }
    }

    /// Sends a request to an endpoint, and forwards the response or reports the failure to the
    /// router.
    async fn send_to_endpoint(
        &self,
        id: EndpointId,
        mut in_flight: InFlightRequest,
        prepared: &mut PreparedRequest,
        claim: &mut Option<Claim>,
    ) -> SendResult {
        in_flight.set_endpoint(id);
        let address = self.router().borrow().endpoint(id).address;
        let max_idle = self.router().borrow().max_idle_connections();
        let time_left = prepared.deadline.since(self.now());
        let is_streamed = prepared.buffered_body.is_none();
        let Some(body) = self.next_body(prepared) else {
            // A streamed body can't be sent a second time. The dropped request removes itself
            // from the router.
            return body_not_resendable(address);
        };
        if let Some(claim) = claim {
            claim.mark_sent();
        }
        let sent = Cell::new(false);
        let PreparedRequest { head, id, .. } = &*prepared;
        let outgoing = OutgoingRequest { address, head, id, time_left, body, max_idle };
        let result = exchange(&self.pool, outgoing, &sent);
        let result = tokio::time::timeout(time_left, result).await;
        let sent = sent.get();
        match result {
            Ok(ExchangeResult::Complete(parts, body, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.store_answer(parts.status.as_u16(), Some(&body));
                }
                in_flight.complete(connection, parts.status.is_server_error());
                SendResult::answered(
                    Response::from_parts(parts, ResponseBody::Buffered(Full::new(body))),
                    address,
                )
            }
            Ok(ExchangeResult::Streaming(parts, incoming, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.store_answer(parts.status.as_u16(), None);
                }
                let failed = parts.status.is_server_error();
                let stream = ResponseStream::new(incoming, connection, in_flight, failed);
                let body = ResponseBody::Streamed(Box::new(stream));
                SendResult::answered(Response::from_parts(parts, body), address)
            }
            Ok(ExchangeResult::Refused) => SendResult::continue_with(in_flight, Exchange::Refused),
            Ok(ExchangeResult::NotSent) if is_streamed && sent => {
                SendResult::continue_with(in_flight, Exchange::Lost)
            }
            Ok(ExchangeResult::NotSent) => SendResult::continue_with(in_flight, Exchange::NotSent),
            Ok(ExchangeResult::Lost(cause)) => {
                log::debug!("route: {} to {address} failed: {cause}", prepared.id);
                SendResult::continue_with(in_flight, Exchange::Lost)
            }
            Err(_) if sent => SendResult::timed_out(in_flight, address),
            Err(_) => SendResult::continue_with(in_flight, Exchange::NotSent),
        }
    }

    fn next_body(&self, prepared: &mut PreparedRequest) -> Option<RequestBody> {
        match &prepared.buffered_body {
            Some(buffered_body) => Some(RequestBody::Buffered(Full::new(buffered_body.clone()))),
            None => {
                let limit = self.parts.settings.requests.max_body_bytes as usize;
                let streamed_body = prepared.streamed_body.take()?;
                Some(RequestBody::Streamed(Limited::new(streamed_body, limit)))
            }
        }
    }
}

/// Returns the response to a request whose body does not fit into the memory for bodies.
fn body_refused() -> FinalResponse {
    let reason = "the memory for bodies is used up".to_owned();
    let body = format!("not-run: {reason}, try again later\n");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = answer::local_response(status, Outcome::NotRun, body);
    answer::set_header(&mut response, RETRY_AFTER, BODY_RETRY_AFTER_S);
    answer::set_header(&mut response, CONNECTION, "close");
    let summary = RequestSummary { outcome: Outcome::NotRun, reason, endpoint: None };
    FinalResponse { response, summary }
}

/// The result of sending a request once.
enum SendResult {
    Final(FinalResponse),
    Continue(RoutingDecision, InFlightRequest),
}

impl SendResult {
    fn answered(mut response: Response<ResponseBody>, address: SocketAddr) -> Self {
        let outcome = Outcome::Done;
        answer::set_header(&mut response, HeaderName::from_static(headers::OUTCOME), "done");
        let reason = format!("answered {}", response.status().as_u16());
        let summary = RequestSummary { outcome, reason, endpoint: Some(address) };
        Self::Final(FinalResponse { response, summary })
    }

    fn continue_with(mut in_flight: InFlightRequest, exchange: Exchange) -> Self {
        let decision = in_flight.finish_exchange(exchange);
        Self::Continue(decision, in_flight)
    }

    fn timed_out(in_flight: InFlightRequest, address: SocketAddr) -> Self {
        let reason = "deadline passed at the endpoint".to_owned();
        let summary = RequestSummary { outcome: Outcome::Unknown, reason, endpoint: Some(address) };
        match in_flight.time_out() {
            Some(rejection) => {
                Self::Final(FinalResponse { response: answer::routing_failed(rejection), summary })
            }
            None => {
                let body = "unknown: deadline passed\n";
                let status = StatusCode::GATEWAY_TIMEOUT;
                let response = answer::local_response(status, Outcome::Unknown, body);
                Self::Final(FinalResponse { response, summary })
            }
        }
    }
}

/// Returns the response for a streamed body that would have to be sent again.
fn body_not_resendable(address: SocketAddr) -> SendResult {
    let reason = "a long body can't be sent again".to_owned();
    let body = format!("unknown: {reason}\n");
    let response = answer::local_response(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
    let summary = RequestSummary { outcome: Outcome::Unknown, reason, endpoint: Some(address) };
    SendResult::Final(FinalResponse { response, summary })
}

fn claim_refused(answer: ClaimResult) -> FinalResponse {
    let summary = |outcome, reason: &str| RequestSummary {
        outcome,
        reason: reason.to_owned(),
        endpoint: None,
    };
    match answer {
        ClaimResult::AlreadyRan { status, body } => {
            let outcome = if body.is_some() { Outcome::Done } else { Outcome::Unknown };
            FinalResponse {
                response: answer::replay(status, body),
                summary: summary(outcome, "ran before"),
            }
        }
        ClaimResult::AlreadyClaimed => FinalResponse {
            response: answer::key_in_use(),
            summary: summary(Outcome::Unknown, "key held"),
        },
        ClaimResult::TableUnavailable | ClaimResult::Granted => FinalResponse {
            response: answer::table_unavailable(),
            summary: summary(Outcome::NotRun, "table silent"),
        },
    }
}

fn is_empty(incoming: &Incoming) -> bool {
    use hyper::body::Body;
    incoming.is_end_stream()
}
