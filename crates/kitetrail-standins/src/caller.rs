//! Callers: an open-loop load generator that checks every answer.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    header::{HeaderMap, RETRY_AFTER},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use kitetrail_platform::headers;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::{task::LocalSet, time::Instant};

use crate::{
    args::CallerArgs,
    journal::{CallerEntry, Journal},
    server::StandinError,
    worker::expected_body,
};

/// The time after which an idle connection is closed.
///
/// It is shorter than the idle timeout of boxes (5 s), so that no box closes a connection that is about
/// to be used.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time that a caller waits for an answer after the deadline before it counts as missing.
const RESPONSE_GRACE: Duration = Duration::from_millis(2_000);
/// The body of each request that must not be repeated.
const BODY: &[u8] = b"a bid, or the hold of a seat";

/// The results of a load.
#[derive(Debug, Serialize)]
struct Summary {
    sent: u64,
    done: u64,
    not_run: u64,
    unknown: u64,
    missing: u64,
    wrong: u64,
    late: u64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    refused_p50_us: u64,
    goodput_per_s: f64,
}

struct LoadGenerator {
    args: CallerArgs,
    client: Client<HttpConnector, Full<Bytes>>,
    results: RefCell<Results>,
}

struct Results {
    /// The number of correct answers in time that arrived before the last request was sent.
    good_in_window: u64,
    journal: Option<Journal>,
    done_latencies: Histogram<u64>,
    refused_latencies: Histogram<u64>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    done: u64,
    not_run: u64,
    unknown: u64,
    missing: u64,
    wrong: u64,
    late: u64,
}

/// Runs the load and prints a summary. Returns an error if any answer was wrong.
pub async fn run(args: CallerArgs) -> Result<(), StandinError> {
    let local = LocalSet::new();
    local.run_until(run_load(args)).await
}

async fn run_load(args: CallerArgs) -> Result<(), StandinError> {
    let journal = args.journal.as_deref().map(Journal::open).transpose()?;
    let generator = Rc::new(LoadGenerator::new(args, journal)?);
    let mut rng = ChaCha8Rng::seed_from_u64(generator.args.seed);
    let start = Instant::now();
    let mut offset_s = 0.0;
    let mut calls = Vec::new();
    for number in 0..generator.args.count {
        let uniform: f64 = rng.random();
        offset_s -= (1.0 - uniform).ln() / generator.args.rate;
        let intended = start + Duration::from_secs_f64(offset_s);
        tokio::time::sleep_until(intended).await;
        let once = rng.random_range(0..100) < generator.args.once_percent;
        let resend = rng.random_range(0..100) < generator.args.resend_percent;
        let target = rng.random_range(0..generator.args.targets.len());
        let call = Rc::clone(&generator).call(number, once, resend, target, intended);
        calls.push(tokio::task::spawn_local(call));
    }
    let sending_time = start.elapsed();
    generator.results.borrow_mut().end_sending_window();
    for call in calls {
        let _ = call.await;
    }
    generator.report(sending_time)
}

impl LoadGenerator {
    fn new(args: CallerArgs, journal: Option<Journal>) -> Result<Self, StandinError> {
        let histogram =
            || Histogram::new(3).map_err(|error| StandinError::Invalid(error.to_string()));
        let results = Results {
            good_in_window: 0,
            journal,
            done_latencies: histogram()?,
            refused_latencies: histogram()?,
            counts: Counts::default(),
        };
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self { args, client, results: RefCell::new(results) })
    }

    async fn call(
        self: Rc<Self>,
        number: u64,
        once: bool,
        resend: bool,
        target: usize,
        intended: Instant,
    ) {
        let id = format!("{}-{number}", self.args.prefix);
        let mut entry = self.send(&id, once, target).await;
        if once && resend && entry.outcome != "done" {
            let other = (target + 1) % self.args.targets.len();
            let second = self.send(&id, once, other).await;
            if second.outcome == "done" {
                entry = second;
            }
        }
        entry.latency_us = intended.elapsed().as_micros() as u64;
        self.results.borrow_mut().record(entry, self.args.timeout_ms);
    }

    async fn send(&self, id: &str, once: bool, target: usize) -> CallerEntry {
        let limit = Duration::from_millis(self.args.timeout_ms) + RESPONSE_GRACE;
        let mut entry = CallerEntry {
            request: id.to_owned(),
            once,
            outcome: "none".to_owned(),
            status: 0,
            error: None,
            fault: None,
            retry_after_ms: None,
            latency_us: 0,
        };
        let answer = tokio::time::timeout(limit, self.exchange(id, once, target)).await;
        match answer {
            Ok(Ok((status, headers, body))) => {
                entry.status = status;
                entry.outcome = read_outcome(&headers, status);
                entry.retry_after_ms = read_retry_after_ms(&headers);
                if entry.outcome == "done" {
                    entry.fault = self.check_answer(id, once, &headers, &body);
                }
            }
            Ok(Err(error)) => entry.error = Some(error.to_string()),
            Err(_) => entry.error = Some(format!("no response within {limit:?}")),
        }
        entry
    }

    async fn exchange(
        &self,
        id: &str,
        once: bool,
        target: usize,
    ) -> Result<(u16, HeaderMap, Bytes), StandinError> {
        let to_error = |error: String| StandinError::Invalid(error);
        let uri =
            format!("http://{}/services/{}/call", self.args.targets[target], self.args.service);
        let mut request = Request::builder()
            .uri(uri)
            .header(headers::REQUEST_ID, id)
            .header(headers::TIMEOUT_MS, self.args.timeout_ms)
            .header("x-work-us", self.args.work_us)
            .header("x-answer-bytes", self.args.answer_bytes);
        if once {
            request = request.method(Method::POST).header(headers::IDEMPOTENCY_KEY, id);
        }
        let body = if once { Bytes::from_static(BODY) } else { Bytes::new() };
        let request = request.body(Full::new(body)).map_err(|e| to_error(e.to_string()))?;
        let response = self.client.request(request).await.map_err(|e| to_error(e.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| to_error(e.to_string()))?.to_bytes();
        Ok((parts.status.as_u16(), parts.headers, body))
    }

    fn check_answer(
        &self,
        id: &str,
        once: bool,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Option<String> {
        let received = if once { BODY.len() } else { 0 };
        let expected = expected_body(id, received, self.args.answer_bytes);
        let echoed = headers.get(headers::REQUEST_ID).and_then(|value| value.to_str().ok());
        match echoed {
            Some(echoed) if echoed != id => Some(format!("answer to {echoed}")),
            None => Some("answer without request id".to_owned()),
            Some(_) if body != expected => {
                Some(format!("wrong body: {} bytes, expected {}", body.len(), expected.len()))
            }
            Some(_) => None,
        }
    }

    fn report(&self, sending_time: Duration) -> Result<(), StandinError> {
        let results = self.results.borrow();
        let Counts { done, not_run, unknown, missing, wrong, late } = results.counts;
        let summary = Summary {
            sent: self.args.count,
            done,
            not_run,
            unknown,
            missing,
            wrong,
            late,
            p50_us: results.done_latencies.value_at_quantile(0.5),
            p99_us: results.done_latencies.value_at_quantile(0.99),
            p999_us: results.done_latencies.value_at_quantile(0.999),
            refused_p50_us: results.refused_latencies.value_at_quantile(0.5),
            goodput_per_s: results.good_in_window as f64 / sending_time.as_secs_f64(),
        };
        println!("{}", serde_json::to_string(&summary).unwrap_or_default());
        match wrong {
            0 => Ok(()),
            _ => Err(StandinError::PromiseBroken(format!("{wrong} answers were wrong"))),
        }
    }
}

impl Results {
    /// Ends the period for which goodput is computed. Called when the last request was sent.
    fn end_sending_window(&mut self) {
        self.good_in_window = self.counts.done - self.counts.late;
    }

    fn record(&mut self, entry: CallerEntry, timeout_ms: u64) {
        let counts = &mut self.counts;
        match entry.outcome.as_str() {
            "done" if entry.fault.is_some() => counts.wrong += 1,
            "done" => {
                counts.done += 1;
                counts.late += u64::from(entry.latency_us > timeout_ms * 1_000);
                let _ = self.done_latencies.record(entry.latency_us);
            }
            "not-run" => {
                counts.not_run += 1;
                let _ = self.refused_latencies.record(entry.latency_us);
            }
            "unknown" => counts.unknown += 1,
            _ => counts.missing += 1,
        }
        if let Some(journal) = &mut self.journal {
            journal.add(&entry);
        }
    }
}

/// Returns the outcome that a response states.
///
/// Responses that come directly from an endpoint state no outcome; status 200 means `done`.
fn read_outcome(headers: &HeaderMap, status: u16) -> String {
    let stated = headers.get(headers::OUTCOME).and_then(|value| value.to_str().ok());
    match stated {
        Some(stated) => stated.to_owned(),
        None if status == 200 => "done".to_owned(),
        None => "unknown".to_owned(),
    }
}

/// Returns the time after which a response allows another attempt, in milliseconds.
fn read_retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse::<u64>().ok()?;
    Some(seconds * 1_000)
}
