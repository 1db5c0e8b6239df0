//! Sees one call to its final answer: body, claim, exchanges.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Response, StatusCode, body::Incoming, header::HeaderName, http::request::Parts};
use kitetrail_core::{
    Time,
    calls::ClaimAnswer,
    routing::{Arrival, EndpointId, Exchange, Outcome, RequestNumber, Verdict},
};
use kitetrail_platform::headers;

use super::{Answered, Entry, RANK, Sending, Told};
use crate::callers::{
    answer,
    body::{AnswerBody, AnswerStream, RequestBody},
    call::Call,
    claims::Claim,
    exchange::{Exchanged, MAX_WHOLE_BYTES, Outgoing, exchange},
    in_flight::InFlight,
};

impl Entry {
    pub(super) async fn serve_call(
        self: Rc<Self>,
        number: RequestNumber,
        call: &Call,
        id: String,
        head: Parts,
        incoming: Incoming,
        arrived: Time,
    ) -> Answered {
        let deadline = arrived + call.timeout;
        let mut sending = Sending { head, id, whole: None, stream: None, deadline };
        if let Err(told) = self.take_body(call, incoming, &mut sending).await {
            return told;
        }
        let mut claim = match &call.key {
            None => None,
            Some(key) => {
                let claim = self.claims.claim(key.clone());
                let left = deadline.since(self.now());
                match tokio::time::timeout(left, claim).await {
                    Ok(Ok(claim)) => Some(claim),
                    Ok(Err(answer)) => return claim_refused(answer),
                    Err(_) => return claim_refused(ClaimAnswer::NoTable),
                }
            }
        };
        let arrival = Arrival {
            number,
            service: call.service.clone(),
            repeatable: call.repeatable,
            rank: RANK,
            deadline,
        };
        let verdict = self.router().borrow_mut().offer(arrival, self.now());
        let in_flight = InFlight::new(Rc::clone(&self), number);
        self.follow(verdict, in_flight, &mut sending, &mut claim).await
    }

    /// Reads a short body whole, so that it can be sent again; a long one is passed on.
    async fn take_body(
        &self,
        call: &Call,
        incoming: Incoming,
        sending: &mut Sending,
    ) -> Result<(), Answered> {
        if call.body_len.is_none_or(|length| length > MAX_WHOLE_BYTES) && !is_empty(&incoming) {
            sending.stream = Some(incoming);
            return Ok(());
        }
        let left = sending.deadline.since(self.now());
        let body = Limited::new(incoming, MAX_WHOLE_BYTES as usize).collect();
        match tokio::time::timeout(left, body).await {
            Ok(Ok(body)) => {
                sending.whole = Some(body.to_bytes());
                Ok(())
            }
            Ok(Err(_)) | Err(_) => {
                let reason = "the body did not come".to_owned();
                let body = format!("not-run: {reason}\n");
                let response = answer::own(StatusCode::REQUEST_TIMEOUT, Outcome::NotRun, body);
                let told = Told { outcome: Outcome::NotRun, reason, endpoint: None };
                Err(Answered { response, told })
            }
        }
    }

    /// Does what the router says until there is a final answer.
    async fn follow(
        &self,
        mut verdict: Verdict,
        mut in_flight: InFlight,
        sending: &mut Sending,
        claim: &mut Option<Claim>,
    ) -> Answered {
        let mut endpoint = None;
        loop {
            verdict = match verdict {
                Verdict::Send(id) => {
                    endpoint = Some(self.router().borrow().endpoint(id).address);
                    match self.send(id, in_flight, sending, claim).await {
                        Sent::Final(answered) => return answered,
                        Sent::Again(verdict, same) => {
                            in_flight = same;
                            verdict
                        }
                    }
                }
                Verdict::Wait => match in_flight.wait().await {
                    Some(verdict) => verdict,
                    None => Verdict::Deliver,
                },
                Verdict::GiveUp(given_up) => {
                    in_flight.give_up();
                    if given_up.outcome == Outcome::NotRun
                        && let Some(claim) = claim
                    {
                        claim.note_not_run();
                    }
                    let told = Told {
                        outcome: given_up.outcome,
                        reason: given_up.reason.to_string(),
                        endpoint,
                    };
                    return Answered { response: answer::given_up(given_up), told };
                }
                Verdict::Deliver => {
                    let reason = "nothing to deliver".to_owned();
                    let body = "unknown: the answer was lost\n";
                    let response = answer::own(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
                    let told = Told { outcome: Outcome::Unknown, reason, endpoint };
                    return Answered { response, told };
                }
            };
        }
    }

    /// Sends a request to an endpoint and passes on or judges what comes back.
    async fn send(
        &self,
        id: EndpointId,
        mut in_flight: InFlight,
        sending: &mut Sending,
        claim: &mut Option<Claim>,
    ) -> Sent {
        in_flight.sending_to(id);
        let address = self.router().borrow().endpoint(id).address;
        let share = self.router().borrow().connection_share();
        let left = sending.deadline.since(self.now());
        let streamed = sending.whole.is_none();
        let Some(body) = self.body_of(sending) else {
            // A body that was passed on is gone; it can't be sent a second time. Dropped,
            // the request takes itself out of the router.
            return lost_stream(address);
        };
        if let Some(claim) = claim {
            claim.keep();
        }
        let sent = Cell::new(false);
        let Sending { head, id, .. } = &*sending;
        let outgoing = Outgoing { address, head, id, left, body, share };
        let exchanged = exchange(&self.pool, outgoing, &sent);
        let exchanged = tokio::time::timeout(left, exchanged).await;
        let sent = sent.get();
        match exchanged {
            Ok(Exchanged::Whole(parts, body, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.finish(parts.status.as_u16(), Some(&body));
                }
                in_flight.complete(connection, parts.status.is_server_error());
                Sent::done(Response::from_parts(parts, AnswerBody::Whole(Full::new(body))), address)
            }
            Ok(Exchanged::Head(parts, incoming, connection)) => {
                if let Some(claim) = claim.take() {
                    claim.finish(parts.status.as_u16(), None);
                }
                let failed = parts.status.is_server_error();
                let stream = AnswerStream::new(incoming, connection, in_flight, failed);
                let body = AnswerBody::Stream(Box::new(stream));
                Sent::done(Response::from_parts(parts, body), address)
            }
            Ok(Exchanged::Refused) => Sent::again(in_flight, Exchange::Refused),
            Ok(Exchanged::NotSent) if streamed && sent => Sent::again(in_flight, Exchange::Lost),
            Ok(Exchanged::NotSent) => Sent::again(in_flight, Exchange::NotSent),
            Ok(Exchanged::Lost(cause)) => {
                log::debug!("route: {} to {address} broke off: {cause}", sending.id);
                Sent::again(in_flight, Exchange::Lost)
            }
            Err(_) if sent => Sent::timed_out(in_flight, address),
            Err(_) => Sent::again(in_flight, Exchange::NotSent),
        }
    }

    fn body_of(&self, sending: &mut Sending) -> Option<RequestBody> {
        match &sending.whole {
            Some(whole) => Some(RequestBody::Whole(Full::new(whole.clone()))),
            None => {
                let limit = self.parts.settings.requests.max_body_bytes as usize;
                let stream = sending.stream.take()?;
                Some(RequestBody::Stream(Limited::new(stream, limit)))
            }
        }
    }
}

/// What came of sending a request once.
enum Sent {
    Final(Answered),
    Again(Verdict, InFlight),
}

impl Sent {
    fn done(mut response: Response<AnswerBody>, address: SocketAddr) -> Self {
        let outcome = Outcome::Done;
        answer::set(&mut response, HeaderName::from_static(headers::OUTCOME), "done");
        let reason = format!("answered {}", response.status().as_u16());
        let told = Told { outcome, reason, endpoint: Some(address) };
        Self::Final(Answered { response, told })
    }

    fn again(mut in_flight: InFlight, exchange: Exchange) -> Self {
        let verdict = in_flight.finish_exchange(exchange);
        Self::Again(verdict, in_flight)
    }

    fn timed_out(in_flight: InFlight, address: SocketAddr) -> Self {
        let reason = "deadline passed at the endpoint".to_owned();
        let told = Told { outcome: Outcome::Unknown, reason, endpoint: Some(address) };
        match in_flight.time_out() {
            Some(given_up) => Self::Final(Answered { response: answer::given_up(given_up), told }),
            None => {
                let body = "unknown: deadline passed\n";
                let status = StatusCode::GATEWAY_TIMEOUT;
                let response = answer::own(status, Outcome::Unknown, body);
                Self::Final(Answered { response, told })
            }
        }
    }
}

/// The answer when a body that was passed on would have to be sent again.
fn lost_stream(address: SocketAddr) -> Sent {
    let reason = "a long body can't be sent again".to_owned();
    let body = format!("unknown: {reason}\n");
    let response = answer::own(StatusCode::BAD_GATEWAY, Outcome::Unknown, body);
    let told = Told { outcome: Outcome::Unknown, reason, endpoint: Some(address) };
    Sent::Final(Answered { response, told })
}

fn claim_refused(answer: ClaimAnswer) -> Answered {
    let told = |outcome, reason: &str| Told { outcome, reason: reason.to_owned(), endpoint: None };
    match answer {
        ClaimAnswer::Ran { status, body } => {
            let outcome = if body.is_some() { Outcome::Done } else { Outcome::Unknown };
            Answered { response: answer::replay(status, body), told: told(outcome, "ran before") }
        }
        ClaimAnswer::Held => {
            Answered { response: answer::held(), told: told(Outcome::Unknown, "key held") }
        }
        ClaimAnswer::NoTable | ClaimAnswer::Granted => {
            Answered { response: answer::no_table(), told: told(Outcome::NotRun, "table silent") }
        }
    }
}

fn is_empty(incoming: &Incoming) -> bool {
    use hyper::body::Body;
    incoming.is_end_stream()
}
