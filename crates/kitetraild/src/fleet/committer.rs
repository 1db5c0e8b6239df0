//! Writes the owner's batches to the store, one at a time, each on the condition that the previous
//! one is still the last write.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{
    jobs::{Record, RecordSubject},
    succession::EarlierOwners,
};
use kitetrail_platform::{
    PlatformError,
    fleet::{RowStore, RowTransaction, TransactionAnswer},
};
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
    time,
};

use super::{
    Platform,
    owner::OwnerMessage,
    rows::{self, HeadRow},
    shared::Shared,
};

/// The longest interval between the owner's writes. Other boxes consider an owner lost that has not
/// written for more than twice as long.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(300);
/// The delay after a call that got no answer, since the store may have recovered, and after a permanent refusal, since
/// callers wait.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The delay after the store refused a write that it may accept later, such as when it is overloaded.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(150);

/// A write is sent again if its answer has not arrived within this multiple of the typical latency.
const RESEND_LATENCY_FACTOR: u32 = 4;
/// The shortest wait before a write is sent again: the store takes 5 ms, and some writes are queued.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(60);

/// The number of attempts of a write that are sent at this short interval. Later ones wait until the
/// connections of earlier ones are suspect.
const MAX_FAST_ATTEMPTS: u32 = 5;

/// The smoothing divisor of the typical write latency: each write contributes one part in eight, so
/// that the estimate adapts to a slow store within about ten writes.
const LATENCY_SMOOTHING: u32 = 8;

/// The HTTP statuses that refuse a write permanently: malformed, and too large.
const PERMANENT_REFUSAL_STATUSES: [u16; 2] = [400, 413];
/// The number of consecutive permanent refusals after which the records of a write are written apart, to find those
/// that are refused. More than one refusal is required, since a failing platform may return such a status by mistake.
const MAX_PERMANENT_REFUSALS: u32 = 3;
/// The same for a part of these records that can be divided further. Whether a single subject is refused is as certain as
/// for the whole.
const MAX_PERMANENT_REFUSALS_OF_PART: u32 = 1;

type Attempts = JoinSet<Result<TransactionAnswer, PlatformError>>;

/// The reason why this owner can never commit a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFailure {
    /// Another owner has written.
    AnotherOwner,
    /// The records can't be encoded, or the store refuses them permanently. An owner whose writes without any
    /// records are refused can't go on.
    Refused,
}

impl WriteFailure {
    fn reason(self) -> &'static str {
        match self {
            Self::AnotherOwner => "another owner wrote",
            Self::Refused => "the store permanently rejects a write",
        }
    }
}

/// Records to commit to the store.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) records: Vec<Record>,
}

/// The writer of the owner's batches.
pub(super) struct Committer<P: Platform> {
    shared: Rc<Shared<P>>,
    epoch: u64,
    earlier_owners: Rc<Cell<EarlierOwners>>,
    /// The version of the head row after this owner's last write.
    head_version: u64,
    /// The number of the last write.
    write: u64,
    owner: mpsc::Sender<OwnerMessage>,
    /// The moving average of the store's write latency.
    typical_latency: Duration,
}

impl<P: Platform> Committer<P> {
    pub(super) fn new(
        shared: Rc<Shared<P>>,
        epoch: u64,
        earlier_owners: Rc<Cell<EarlierOwners>>,
        head_version: u64,
        owner: mpsc::Sender<OwnerMessage>,
    ) -> Self {
        Self {
            shared,
            epoch,
            earlier_owners,
            head_version,
            write: 0,
            owner,
            typical_latency: Duration::ZERO,
        }
    }

    /// Writes batches until the channel closes or another owner has written.
    pub(super) async fn run(mut self, mut batches: mpsc::Receiver<Batch>) {
        loop {
            let (number, records) = match time::timeout(HEARTBEAT, batches.recv()).await {
                Ok(Some(Batch { number, records })) => (Some(number), records),
                Ok(None) => return,
                Err(_) => (None, Vec::new()),
            };
            let refused = match self.write_except_refused(&records).await {
                Ok(refused) => refused,
                Err(failure) => {
                    self.shared.confirmed_owner_at.set(None);
                    let _ = self.owner.send(OwnerMessage::Deposed(failure.reason())).await;
                    return;
                }
            };
            if let Some(number) = number {
                let _ = self.owner.send(OwnerMessage::Committed(number, refused)).await;
            }
        }
    }

    /// Writes records, except those that the store permanently refuses. Returns the subjects of these.
    ///
    /// The records about one subject stay together.
    async fn write_except_refused(
        &mut self,
        records: &[Record],
    ) -> Result<Vec<RecordSubject>, WriteFailure> {
        match self.write(records, MAX_PERMANENT_REFUSALS).await {
            Err(WriteFailure::Refused) if !records.is_empty() => {}
            written => return written.map(|()| Vec::new()),
        }
        // Shows whether the records are the cause.
        self.write(&[], MAX_PERMANENT_REFUSALS).await?;
        let mut by_subject = BTreeMap::<_, Vec<_>>::new();
        for record in records {
            by_subject.entry(record.subject()).or_default().push(record.clone());
        }
        let mut refused = Vec::new();
        let mut parts = vec![by_subject.into_iter().collect::<Vec<_>>()];
        while let Some(mut part) = parts.pop() {
            let records = part.iter().flat_map(|(_, records)| records).cloned().collect::<Vec<_>>();
            let max_refusals = match part.len() {
                0 | 1 => MAX_PERMANENT_REFUSALS,
                _ => MAX_PERMANENT_REFUSALS_OF_PART,
            };
            match self.write(&records, max_refusals).await {
                Err(WriteFailure::Refused) if part.len() > 1 => {
                    parts.push(part.split_off(part.len() / 2));
                    parts.push(part);
                }
                Err(WriteFailure::Refused) => {
                    self.shared.metrics.record_commit("record-refused");
                    refused.extend(part.into_iter().map(|(subject, _)| subject));
                }
                written => written?,
            }
        }
        Ok(refused)
    }

    /// Writes records, retrying until the store answers definitely.
    async fn write(&mut self, records: &[Record], max_refusals: u32) -> Result<(), WriteFailure> {
        let began_at = self.shared.clock.now();
        self.shared.write_pending_since.set(Some(began_at));
        let written = self.write_until_answered(records, max_refusals).await;
        self.shared.write_pending_since.set(None);
        if written.is_ok() {
            self.shared.confirmed_owner_at.set(Some(began_at));
        }
        written
    }

    async fn write_until_answered(
        &mut self,
        records: &[Record],
        max_refusals: u32,
    ) -> Result<(), WriteFailure> {
        self.write += 1;
        let head = HeadRow::new(self.epoch, self.write, self.earlier_renew_for_ms());
        let transaction = match self.transaction(head, records) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::error!("owner: failed to encode records: {error}");
                return Err(WriteFailure::Refused);
            }
        };
        let mut refused = 0;
        loop {
            let answer = self.transact(&transaction).await;
            self.shared.record_store_result(&answer);
            match answer {
                Ok(answer) if self.record_answer(&answer, head) => return Ok(()),
                Ok(_) => return Err(WriteFailure::AnotherOwner),
                Err(error) => {
                    refused = if is_permanent_refusal(&error) { refused + 1 } else { 0 };
                    self.log_failure_and_wait(&transaction, &error).await;
                }
            }
            if refused >= max_refusals {
                return Err(WriteFailure::Refused);
            }
            if self.owner.is_closed() {
                return Ok(());
            }
        }
    }

    /// Returns how long earlier owners may continue to renew leases, in milliseconds, rounded up.
    fn earlier_renew_for_ms(&self) -> u64 {
        let may_renew_for = self.earlier_owners.get().may_renew_for(self.shared.clock.now());
        may_renew_for.as_micros().div_ceil(1_000) as u64
    }

    /// Processes the store's answer and returns whether the write was committed.
    fn record_answer(&mut self, answer: &TransactionAnswer, head: HeadRow) -> bool {
        let version = match answer {
            TransactionAnswer::Done { version } => Some(*version),
            TransactionAnswer::Conflict { rows } => {
                // An earlier attempt whose answer was lost may have succeeded.
                let own_write = rows.iter().find(|row| rows::decode(row).ok() == Some(head));
                own_write.map(|row| row.version)
            }
        };
        self.shared.metrics.record_commit(if version.is_some() { "done" } else { "conflict" });
        self.head_version = version.unwrap_or(self.head_version);
        version.is_some()
    }

    /// Sends a transaction, and sends it again while its answer seems lost.
    ///
    /// That is safe: all attempts carry the same condition, which holds for at most one of them, and
    /// the head row shows whether an earlier one was committed.
    async fn transact(
        &mut self,
        transaction: &RowTransaction,
    ) -> Result<TransactionAnswer, PlatformError> {
        let started = Instant::now();
        let suspect_after = self.shared.settings.limits.store_suspect_after;
        // The average is high after an outage, but an unresponsive connection must still be detected.
        let fast_resend_after =
            self.typical_latency.saturating_mul(RESEND_LATENCY_FACTOR).min(suspect_after);
        let fast_resend_after = fast_resend_after.max(MIN_RESEND_DELAY);
        let mut attempts = JoinSet::new();
        self.spawn_attempt(&mut attempts, transaction);
        let mut sent_count = 1;
        loop {
            let resend_after =
                if sent_count < MAX_FAST_ATTEMPTS { fast_resend_after } else { suspect_after };
            match time::timeout(resend_after, attempts.join_next()).await {
                Ok(Some(Ok(Ok(answer)))) => {
                    self.typical_latency = (self.typical_latency * (LATENCY_SMOOTHING - 1)
                        + started.elapsed())
                        / LATENCY_SMOOTHING;
                    return Ok(answer);
                }
                Ok(Some(Ok(Err(error)))) if attempts.is_empty() => return Err(error),
                Ok(Some(Err(error))) if attempts.is_empty() => return Err(task_failure(&error)),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => {
                    log::debug!(
                        write = self.write;
                        "owner: the answer to a write seems lost, sending it again"
                    );
                    self.shared.metrics.record_commit("again");
                    self.spawn_attempt(&mut attempts, transaction);
                    sent_count += 1;
                }
            }
        }
    }

    fn spawn_attempt(&self, attempts: &mut Attempts, transaction: &RowTransaction) {
        let (store, transaction) = (self.shared.services.store.clone(), transaction.clone());
        attempts.spawn_local(async move { store.transact(&transaction).await });
    }

    async fn log_failure_and_wait(&self, transaction: &RowTransaction, error: &PlatformError) {
        self.shared.metrics.record_commit("failed");
        match is_permanent_refusal(error) {
            true => log::error!(
                write = self.write, rows = transaction.puts.len(), largest_row:? = largest_row(transaction);
                "owner: the store permanently rejects a write: {error}"
            ),
            false => log::debug!(
                write = self.write;
                "owner: a write failed and will be retried: {error}"
            ),
        }
        let may_be_busy =
            matches!(error, PlatformError::Refused { .. }) && !is_permanent_refusal(error);
        time::sleep(if may_be_busy { BUSY_RETRY_DELAY } else { RETRY_DELAY }).await;
    }

    fn transaction(
        &self,
        head: HeadRow,
        records: &[Record],
    ) -> Result<RowTransaction, serde_json::Error> {
        let mut transaction = RowTransaction::default();
        transaction.expected.push((rows::head_row_name(), self.head_version));
        transaction.puts.push((rows::head_row_name(), serde_json::to_vec(&head)?));
        for record in records {
            rows::add_record(&mut transaction, record)?;
        }
        Ok(transaction)
    }
}

/// Returns whether an error means that the store will never accept the write.
fn is_permanent_refusal(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Refused { status, .. } if PERMANENT_REFUSAL_STATUSES.contains(status))
}

/// Returns the table, the key and the size of the largest row that a transaction writes.
fn largest_row(transaction: &RowTransaction) -> Option<(&'static str, &str, usize)> {
    let rows =
        transaction.puts.iter().map(|(name, value)| (name.table, name.key.as_str(), value.len()));
    rows.max_by_key(|&(.., bytes)| bytes)
}

fn task_failure(error: &JoinError) -> PlatformError {
    PlatformError::AnswerLost { service: "store", cause: error.to_string() }
}
