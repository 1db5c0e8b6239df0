//! The daemon's metrics and the page that exports them.

use kitetrail_core::ByteSize;
use kitetrail_platform::SilenceCounts;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The daemon's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency_ms: Histogram<f64>,
    decisions: Counter<u64>,
    commits: Counter<u64>,
    policy_faults: Counter<u64>,
    peer_messages: Counter<u64>,
    log_lines_left_out: Counter<u64>,
    unusable_entries: Counter<u64>,
    task_crashes: Counter<u64>,
    crashing_jobs: Counter<u64>,
    worker_restarts: Counter<u64>,
    worker_health_changes: Counter<u64>,
    suspected_workers: Gauge<u64>,
    suspensions: Counter<u64>,
    hand_ins: Counter<u64>,
    hand_in_expected_ms: Histogram<f64>,
    owner_reliefs: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    evacuated_runs_left: Gauge<u64>,
    operator_rows: Gauge<u64>,
    preempted_runs: Counter<u64>,
    queue_room_percent: Gauge<u64>,
    followed_services: Gauge<u64>,
    forecast_services: Gauge<u64>,
    callers_connections: Gauge<u64>,
    closed_connections: Gauge<u64>,
    request_memory_bytes: Gauge<u64>,
    evicted_bodies: Gauge<u64>,
}

/// What callers take of a process at one time, and what was taken back from them so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLevels {
    /// The open connections.
    pub connections: usize,
    /// The connections closed because of their number or because responses were not read.
    pub closed_connections: u64,
    /// The memory reserved for requests.
    pub request_memory: ByteSize,
    /// The bodies evicted because the memory was used up.
    pub evicted_bodies: u64,
}

impl Metrics {
    /// Creates the metrics, with all counters at zero.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("kitetrail");
        Ok(Self {
            requests: meter
                .u64_counter("kitetrail.requests")
                .with_description("Requests by outcome and reason")
                .build(),
            latency_ms: meter
                .f64_histogram("kitetrail.request.latency_ms")
                .with_description("Time from a request's arrival to its answer")
                .build(),
            decisions: meter
                .u64_counter("kitetrail.decisions")
                .with_description("Placement decisions by kind")
                .build(),
            commits: meter
                .u64_counter("kitetrail.commits")
                .with_description("Transactions by answer")
                .build(),
            policy_faults: meter
                .u64_counter("kitetrail.policy.faults")
                .with_description("Questions a policy failed to answer")
                .build(),
            peer_messages: meter
                .u64_counter("kitetrail.peer.messages")
                .with_description("Messages sent to other daemons by kind")
                .build(),
            log_lines_left_out: meter
                .u64_counter("kitetrail.log.lines_left_out")
                .with_description("Lines that the log left out, to stay within its bounds")
                .build(),
            unusable_entries: meter
                .u64_counter("kitetrail.workers.unusable_entries")
                .with_description("Entries in the list of workers that turned unusable, by reason")
                .build(),
            task_crashes: meter
                .u64_counter("kitetrail.task.crashes")
                .with_description("Crashes of workers counted against a task, by evidence")
                .build(),
            crashing_jobs: meter
                .u64_counter("kitetrail.crashing_jobs")
                .with_description("Jobs that failed because a task crashes its workers")
                .build(),
            worker_restarts: meter
                .u64_counter("kitetrail.worker.restarts")
                .with_description("Workers that were found to have started again under their id")
                .build(),
            worker_health_changes: meter
                .u64_counter("kitetrail.worker.health_changes")
                .with_description("Changes of the assessment of a worker, by its new state")
                .build(),
            suspected_workers: meter
                .u64_gauge("kitetrail.suspected_workers")
                .with_description("Workers that are suspected or on probation, as the owner knows")
                .build(),
            suspensions: meter
                .u64_counter("kitetrail.suspensions")
                .with_description("Times that the box found its machine was suspended")
                .build(),
            hand_ins: meter
                .u64_counter("kitetrail.hand_ins")
                .with_description("Decisions whether a new job waits for the store")
                .build(),
            hand_in_expected_ms: meter
                .f64_histogram("kitetrail.hand_in.expected_ms")
                .with_description("Expected time until a new job is persisted, by decision")
                .build(),
            owner_reliefs: meter
                .u64_counter("kitetrail.owner.reliefs")
                .with_description("Decisions of a late owner about a handover, by decision")
                .build(),
            evacuated_zones: meter
                .u64_gauge("kitetrail.evacuated.zones")
                .with_description(
                    "Availability zones in which nothing is started, as operators ask",
                )
                .build(),
            evacuated_runs_left: meter
                .u64_gauge("kitetrail.evacuated.runs_left")
                .with_description("Runs that are left in these zones, as the owner knows")
                .build(),
            operator_rows: meter
                .u64_gauge("kitetrail.operator_rows")
                .with_description("Operators' rows in force, as the owner knows")
                .build(),
            followed_services: meter
                .u64_gauge("kitetrail.load_forecast.followed")
                .with_description("Services whose load the owner follows")
                .build(),
            forecast_services: meter
                .u64_gauge("kitetrail.load_forecast.forecast")
                .with_description("Services whose load the owner can forecast")
                .build(),
            callers_connections: meter
                .u64_gauge("kitetrail.callers.connections")
                .with_description("Open connections of callers")
                .build(),
            closed_connections: meter
                .u64_gauge("kitetrail.callers.connections_closed")
                .with_description("Connections of callers closed so far because of their number or unread responses")
                .build(),
            request_memory_bytes: meter
                .u64_gauge("kitetrail.callers.request_memory_bytes")
                .with_description("Memory reserved for requests that are received or answered")
                .build(),
            evicted_bodies: meter
                .u64_gauge("kitetrail.callers.evicted_bodies")
                .with_description("Bodies evicted so far because that memory was used up")
                .build(),
            registry,
            provider,
            preempted_runs: meter
                .u64_counter("kitetrail.preempted_runs")
                .with_description("Runs stopped so that a more urgent job finds room")
                .build(),
            queue_room_percent: meter
                .u64_gauge("kitetrail.queue.room_percent")
                .with_description(
                    "Part of the fleet that a queue wants, takes and may take while room is short",
                )
                .build(),
        })
    }

    /// Counts an answered request.
    pub fn record_request(&self, outcome: &str, reason: &str, latency_ms: f64) {
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.latency_ms.record(latency_ms, std::slice::from_ref(&outcome));
        self.requests.add(1, &[outcome, KeyValue::new("reason", reason.to_owned())]);
    }

    /// Counts a placement decision.
    pub fn record_decision(&self, kind: &'static str) {
        self.decisions.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a decision of a late owner about a handover.
    pub fn record_owner_relief(&self, decision: &'static str) {
        self.owner_reliefs.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts a transaction.
    pub fn record_commit(&self, answer: &'static str) {
        self.commits.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts an entry in the list of workers that does not describe a usable worker.
    pub fn record_unusable_entry(&self, reason: &'static str) {
        self.unusable_entries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a crash of a worker that is attributed to a task that ran on the worker.
    pub fn record_task_crash(&self, evidence: &'static str) {
        self.task_crashes.add(1, &[KeyValue::new("evidence", evidence)]);
    }

    /// Counts a job that failed because one of its tasks crashes its workers.
    pub fn record_crashing_job(&self) {
        self.crashing_jobs.add(1, &[]);
    }

    /// Counts a worker that restarted under the same id.
    pub fn record_worker_restart(&self) {
        self.worker_restarts.add(1, &[]);
    }

    /// Counts a decision whether a new job waits for the store.
    pub fn record_hand_in(&self, decision: &'static str, expected_ms: u64) {
        let labels = [KeyValue::new("decision", decision)];
        self.hand_ins.add(1, &labels);
        self.hand_in_expected_ms.record(expected_ms as f64, &labels);
    }

    /// Counts a change of the assessment of a worker, after which `suspects` workers are not sound.
    pub fn record_worker_health(&self, state: &'static str, suspects: u64) {
        self.worker_health_changes.add(1, &[KeyValue::new("state", state)]);
        self.suspected_workers.record(suspects, &[]);
    }

    /// Counts a suspension of the machine that runs this box.
    pub fn record_suspension(&self) {
        self.suspensions.add(1, &[]);
    }

    /// Records how many services' loads the owner follows and can forecast.
    pub fn record_load_forecasts(&self, followed: u32, forecast: u32) {
        self.followed_services.record(u64::from(followed), &[]);
        self.forecast_services.record(u64::from(forecast), &[]);
    }

    /// Counts a call of a policy function that failed.
    pub fn record_policy_fault(&self, function: &'static str) {
        self.policy_faults.add(1, &[KeyValue::new("function", function)]);
    }

    /// Counts a message sent to another daemon.
    pub fn record_peer_message(&self, kind: &'static str) {
        self.peer_messages.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts lines that the log dropped.
    pub fn record_dropped_log_lines(&self, lines: u64) {
        self.log_lines_left_out.add(lines, &[]);
    }

    /// Exports how often connections were found unresponsive.
    pub fn export_silent_connections(&self, silence_counts: SilenceCounts) {
        let meter = self.provider.meter("kitetrail");
        let _ = meter
            .u64_observable_counter("kitetrail.connections.silent")
            .with_description("Connections that went silent and were replaced, by service")
            .with_callback(move |counter| {
                for (service, count) in silence_counts.counts() {
                    counter.observe(count, &[KeyValue::new("service", service)]);
                }
            })
            .build();
    }

    /// Records what callers take of the process.
    pub fn record_admission(&self, levels: AdmissionLevels) {
        self.callers_connections.record(levels.connections as u64, &[]);
        self.closed_connections.record(levels.closed_connections, &[]);
        self.request_memory_bytes.record(levels.request_memory.0, &[]);
        self.evicted_bodies.record(levels.evicted_bodies, &[]);
    }

    /// Records the number of evacuated zones.
    pub fn record_evacuated_zones(&self, zones: u64) {
        self.evacuated_zones.record(zones, &[]);
    }

    /// Records the number of runs that are left in evacuated zones.
    pub fn record_evacuated_runs_left(&self, runs: u64) {
        self.evacuated_runs_left.record(runs, &[]);
    }

    /// Records the number of operators' rows in force.
    pub fn record_operator_rows(&self, rows: u64) {
        self.operator_rows.record(rows, &[]);
    }

    /// Counts a run that is stopped for a more urgent job.
    pub fn record_preempted_run(&self) {
        self.preempted_runs.add(1, &[]);
    }

    /// Records the part of the fleet that a queue wants, takes and may take, in percent.
    pub fn record_queue_room(&self, queue: &str, wanted: u32, taken: u32, allowed: u32) {
        for (part, percent) in [("wanted", wanted), ("taken", taken), ("allowed", allowed)] {
            let labels = [KeyValue::new("queue", queue.to_owned()), KeyValue::new("part", part)];
            self.queue_room_percent.record(percent.into(), &labels);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut page = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            Ok(()) => String::from_utf8_lossy(&page).into_owned(),
            Err(error) => format!("# the counters can't be written: {error}\n"),
        }
    }
}
