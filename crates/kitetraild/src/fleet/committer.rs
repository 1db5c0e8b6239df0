//! Writes the owner's batches to the store, one at a time, each on the condition that the one
//! before is the last write there.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use kitetrail_core::{jobs::Record, succession::EarlierOwners};
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

/// How often the owner writes at least. Other boxes take an owner for lost that has not written
/// for more than twice as long.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long to wait after a call that brought no answer. Short: the store may be back.
const RETRY: Duration = Duration::from_millis(60);
/// How long to wait after the store said that it has too much to do.
const BUSY_RETRY: Duration = Duration::from_millis(150);

/// A write whose answer has not come after so many times the usual time seems lost.
const LOST_AFTER_USUAL: u32 = 4;
/// But not before: the store takes 5 ms, and some writes wait in line.
const LOST_AFTER_LEAST: Duration = Duration::from_millis(60);

/// How many tries of one write follow each other so soon. Later ones come when earlier ones have made
/// their connections suspect.
const SOON_TRIES: u32 = 5;

/// How much one write weighs in the usual time of writes, as one part in so many: a slow store is
/// believed in after ten writes.
const USUAL_PARTS: u32 = 8;

/// The HTTP statuses with which the store says that it will never take a write: malformed, and too large.
const REFUSED_FOR_GOOD: [u16; 2] = [400, 413];
/// An owner gives the fleet up once the store has refused a write for good so often in a row. The next one knows
/// what is kept alone; with this write in hand it would keep nothing any more. More than once, since a platform in
/// trouble may say so by mistake.
const REFUSALS_AT_MOST: u32 = 3;

type Tries = JoinSet<Result<TransactionAnswer, PlatformError>>;

/// Why records are not kept, and never will be by this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotWritten {
    /// Another owner has written.
    AnotherOwner,
    /// They can't be encoded, or the store refuses them for good.
    Refused,
}

impl NotWritten {
    fn text(self) -> &'static str {
        match self {
            Self::AnotherOwner => "another owner wrote",
            Self::Refused => "a write is refused for good",
        }
    }
}

/// Records to keep for good.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) records: Vec<Record>,
}

/// The owner's writer.
pub(super) struct Committer<P: Platform> {
    shared: Rc<Shared<P>>,
    epoch: u64,
    earlier_owners: Rc<Cell<EarlierOwners>>,
    /// The version of the head row as this owner wrote it last.
    head_version: u64,
    /// The number of the last write.
    write: u64,
    owner: mpsc::Sender<OwnerMessage>,
    /// How long the store takes over a write, of late.
    usual: Duration,
}

impl<P: Platform> Committer<P> {
    pub(super) fn new(
        shared: Rc<Shared<P>>,
        epoch: u64,
        earlier_owners: Rc<Cell<EarlierOwners>>,
        head_version: u64,
        owner: mpsc::Sender<OwnerMessage>,
    ) -> Self {
        Self { shared, epoch, earlier_owners, head_version, write: 0, owner, usual: Duration::ZERO }
    }

    /// Writes until no more batches come or another owner has written.
    pub(super) async fn run(mut self, mut batches: mpsc::Receiver<Batch>) {
        loop {
            let (number, records) = match time::timeout(HEARTBEAT, batches.recv()).await {
                Ok(Some(Batch { number, records })) => (Some(number), records),
                Ok(None) => return,
                Err(_) => (None, Vec::new()),
            };
            let began_at = self.shared.clock.now();
            self.shared.writes_since.set(Some(began_at));
            let written = self.write(&records).await;
            self.shared.writes_since.set(None);
            self.shared.owned_at.set(written.is_ok().then_some(began_at));
            if let Err(why) = written {
                let _ = self.owner.send(OwnerMessage::Deposed(why.text())).await;
                return;
            }
            if let Some(number) = number {
                let _ = self.owner.send(OwnerMessage::Committed(number)).await;
            }
        }
    }

    /// Writes records.
    async fn write(&mut self, records: &[Record]) -> Result<(), NotWritten> {
        self.write += 1;
        let head = HeadRow {
            epoch: self.epoch,
            write: self.write,
            earlier_renew_for_ms: Some(self.earlier_renew_for_ms()),
        };
        let transaction = match self.transaction(head, records) {
            Ok(transaction) => transaction,
            Err(error) => {
                log::error!("owner: records can't be encoded: {error}");
                return Err(NotWritten::Refused);
            }
        };
        let mut refused = 0;
        loop {
            let answer = self.transact(&transaction).await;
            self.shared.note_store(&answer);
            match answer {
                Ok(answer) if self.note_answer(&answer, head) => return Ok(()),
                Ok(_) => return Err(NotWritten::AnotherOwner),
                Err(error) => {
                    refused = if is_for_good(&error) { refused + 1 } else { 0 };
                    self.note_failure(&error).await;
                }
            }
            if refused >= REFUSALS_AT_MOST {
                return Err(NotWritten::Refused);
            }
            if self.owner.is_closed() {
                return Ok(());
            }
        }
    }

    /// How long owners before this one may go on to renew leases, in milliseconds, rounded up.
    fn earlier_renew_for_ms(&self) -> u64 {
        let may_renew_for = self.earlier_owners.get().may_renew_for(self.shared.clock.now());
        may_renew_for.as_micros().div_ceil(1_000) as u64
    }

    /// Whether a write is done, by what the store answered.
    fn note_answer(&mut self, answer: &TransactionAnswer, head: HeadRow) -> bool {
        let version = match answer {
            TransactionAnswer::Done { version } => Some(*version),
            TransactionAnswer::Conflict { rows } => {
                // An earlier try, whose answer was lost, may have done it.
                let ours = rows.iter().find(|row| rows::decode(row).ok() == Some(head));
                ours.map(|row| row.version)
            }
        };
        self.shared.metrics.note_commit(if version.is_some() { "done" } else { "conflict" });
        self.head_version = version.unwrap_or(self.head_version);
        version.is_some()
    }

    /// Sends a transaction, and again while its answer seems to be lost.
    ///
    /// That is safe: all tries carry the same condition, which holds for one of them at most, and
    /// the head tells whether an earlier one was done.
    async fn transact(
        &mut self,
        transaction: &RowTransaction,
    ) -> Result<TransactionAnswer, PlatformError> {
        let started = Instant::now();
        let suspect_after = self.shared.settings.limits.store_suspect_after;
        // After an outage writes seem to take long, and a silent connection must still be noticed.
        let wait = self.usual.saturating_mul(LOST_AFTER_USUAL).min(suspect_after);
        let wait = wait.max(LOST_AFTER_LEAST);
        let mut tries = JoinSet::new();
        self.send(&mut tries, transaction);
        let mut sent = 1;
        loop {
            let pause = if sent < SOON_TRIES { wait } else { suspect_after };
            match time::timeout(pause, tries.join_next()).await {
                Ok(Some(Ok(Ok(answer)))) => {
                    self.usual = (self.usual * (USUAL_PARTS - 1) + started.elapsed()) / USUAL_PARTS;
                    return Ok(answer);
                }
                Ok(Some(Ok(Err(error)))) if tries.is_empty() => return Err(error),
                Ok(Some(Err(error))) if tries.is_empty() => return Err(broken(&error)),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => {
                    log::debug!(
                        write = self.write;
                        "owner: a write's answer seems lost, sent again"
                    );
                    self.shared.metrics.note_commit("again");
                    self.send(&mut tries, transaction);
                    sent += 1;
                }
            }
        }
    }

    fn send(&self, tries: &mut Tries, transaction: &RowTransaction) {
        let (store, transaction) = (self.shared.services.store.clone(), transaction.clone());
        tries.spawn_local(async move { store.transact(&transaction).await });
    }

    async fn note_failure(&self, error: &PlatformError) {
        self.shared.metrics.note_commit("failed");
        match is_for_good(error) {
            true => log::error!(
                write = self.write;
                "owner: the store refuses a write for good: {error}"
            ),
            false => log::debug!(
                write = self.write;
                "owner: a write failed and is tried again: {error}"
            ),
        }
        let busy = matches!(error, PlatformError::Refused { .. });
        time::sleep(if busy { BUSY_RETRY } else { RETRY }).await;
    }

    fn transaction(
        &self,
        head: HeadRow,
        records: &[Record],
    ) -> Result<RowTransaction, serde_json::Error> {
        let mut transaction = RowTransaction::default();
        transaction.expected.push((rows::head_row(), self.head_version));
        transaction.puts.push((rows::head_row(), serde_json::to_vec(&head)?));
        for record in records {
            rows::add(&mut transaction, record)?;
        }
        Ok(transaction)
    }
}

/// Whether the store will never take a write, by what it answered.
fn is_for_good(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Refused { status, .. } if REFUSED_FOR_GOOD.contains(status))
}

fn broken(error: &JoinError) -> PlatformError {
    PlatformError::AnswerLost { service: "store", cause: error.to_string() }
}
