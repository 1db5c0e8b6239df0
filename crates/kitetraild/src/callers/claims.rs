//! Claims on calls that must run at most once, batched into transactions.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    BoxId, OpId, Version,
    calls::{self, CallChange, CallKey, ClaimResult},
    table::{CommitOutcome, Transaction},
};
use kitetrail_platform::{HttpTable, TableService};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

/// The minimum time between two transactions.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of changes in a transaction.
const MAX_CHANGES_PER_TRANSACTION: usize = 200;
/// The number of attempts to find out the result of a transaction without an answer, before its
/// claims are answered as unavailable.
const RESOLVE_TRIES: u32 = 3;
/// The delay between two of these attempts.
const RESOLVE_DELAY: Duration = Duration::from_millis(50);
/// The interval at which claims with an unknown result are looked up.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of claims with an unknown result that are tracked.
const MAX_UNRESOLVED_CLAIMS: usize = 10_000;

/// The channel for the answer to a claim.
type ClaimReply = oneshot::Sender<(ClaimResult, Version)>;

/// A change that is queued for the next transaction.
struct PendingChange {
    key: CallKey,
    version: Version,
    change: CallChange,
    reply: Option<ClaimReply>,
}

/// The claims of this box and their pending changes.
pub struct Claims {
    table: HttpTable,
    holder: BoxId,
    incarnation: u64,
    sequence: Cell<u64>,
    pending: RefCell<Vec<PendingChange>>,
    wakeup: Notify,
    /// Claims that were answered as unavailable but may have been committed.
    unresolved: RefCell<HashMap<CallKey, OpId>>,
    /// Calls whose answers are stored, oldest first, until their retention ends.
    retained: RefCell<VecDeque<RetainedAnswer>>,
    retention: Duration,
}

/// A call whose answer is stored.
struct RetainedAnswer {
    retained_at: Instant,
    key: CallKey,
    version: Version,
}

/// A granted claim. It is released when dropped, unless the call may have run.
pub struct Claim {
    claims: Rc<Claims>,
    key: CallKey,
    version: Version,
    may_have_run: bool,
}

impl Claim {
    /// Marks the call as sent, so that the claim persists whatever the result of the exchange, even
    /// if the caller disconnects.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Marks the call as certainly not run, so that the claim is released.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Stores the call's answer for repeats: its status, and its body if it is complete, short
    /// and valid UTF-8.
    pub fn store_answer(mut self, status: u16, body: Option<&[u8]>) {
        self.may_have_run = true;
        let short = body.filter(|body| body.len() <= calls::MAX_STORED_ANSWER_BYTES);
        let body = short.and_then(|body| std::str::from_utf8(body).ok()).map(str::to_owned);
        let change = CallChange::Finish { status, body };
        self.claims.enqueue(self.key.clone(), self.version, change, None);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.claims.enqueue(self.key.clone(), self.version, CallChange::Release, None);
        }
    }
}

impl Claims {
    /// Creates an empty set of claims for a box.
    pub fn new(table: HttpTable, holder: BoxId, incarnation: u64, retention: Duration) -> Rc<Self> {
        Rc::new(Self {
            table,
            holder,
            incarnation,
            sequence: Cell::new(0),
            pending: RefCell::default(),
            wakeup: Notify::new(),
            unresolved: RefCell::default(),
            retained: RefCell::default(),
            retention,
        })
    }

    /// Claims a call. An error holds the answer for the caller.
    pub async fn claim(self: &Rc<Self>, key: CallKey) -> Result<Claim, ClaimResult> {
        let (reply, receiver) = oneshot::channel();
        self.enqueue(key.clone(), Version(0), CallChange::Claim, Some(reply));
        match receiver.await {
            Ok((ClaimResult::Granted, version)) => {
                Ok(Claim { claims: Rc::clone(self), key, version, may_have_run: false })
            }
            Ok((answer, _)) => Err(answer),
            Err(_) => Err(ClaimResult::TableUnavailable),
        }
    }

    /// Commits queued changes until the process ends.
    pub async fn run(self: Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(&self).run_cleanup());
        loop {
            while self.pending.borrow().is_empty() {
                self.wakeup.notified().await;
            }
            let started_at = Instant::now();
            let batch = self.next_batch();
            self.commit(batch).await;
            tokio::time::sleep_until(started_at + COMMIT_INTERVAL).await;
        }
    }

    fn enqueue(
        &self,
        key: CallKey,
        version: Version,
        change: CallChange,
        reply: Option<ClaimReply>,
    ) {
        self.pending.borrow_mut().push(PendingChange { key, version, change, reply });
        self.wakeup.notify_one();
    }

    /// Removes the next batch from the queue, with at most one change to each key.
    fn next_batch(&self) -> Vec<PendingChange> {
        let mut batch: Vec<PendingChange> = Vec::new();
        let mut deferred = Vec::new();
        for pending in self.pending.borrow_mut().drain(..) {
            let key_in_batch = batch.iter().any(|other| other.key == pending.key);
            match key_in_batch || batch.len() >= MAX_CHANGES_PER_TRANSACTION {
                true => deferred.push(pending),
                false => batch.push(pending),
            }
        }
        *self.pending.borrow_mut() = deferred;
        batch
    }

    async fn commit(&self, mut batch: Vec<PendingChange>) {
        while !batch.is_empty() {
            self.sequence.set(self.sequence.get() + 1);
            let op = OpId::new(&self.holder, self.incarnation, self.sequence.get());
            let op = OpId::from_change(&format!("call-{op}"));
            let changes: Vec<_> = batch
                .iter()
                .map(|pending| (pending.key.clone(), pending.version, pending.change.clone()))
                .collect();
            let transaction =
                calls::build_transaction(op.clone(), &self.holder, self.incarnation, &changes);
            match self.commit_and_resolve(&transaction, &batch).await {
                CommitOutcome::Committed(version) => return self.complete_batch(batch, version),
                CommitOutcome::Conflict => batch = self.answer_conflicts(batch, &op).await,
                CommitOutcome::Unknown => return self.mark_unresolved(batch, &op),
            }
        }
    }

    /// Commits a transaction, and reads its result back if the table's answer is lost.
    async fn commit_and_resolve(
        &self,
        transaction: &Transaction,
        batch: &[PendingChange],
    ) -> CommitOutcome {
        let mut answer = self.table.commit(transaction).await;
        let written_change = batch.iter().find(|pending| pending.change != CallChange::Release);
        for _ in 0..RESOLVE_TRIES {
            if answer != CommitOutcome::Unknown {
                break;
            }
            tokio::time::sleep(RESOLVE_DELAY).await;
            let Some(written_change) = written_change else { return CommitOutcome::Unknown };
            match self.table.read(&written_change.key.row_key()).await {
                Ok(Some(row)) if row.op == transaction.op => {
                    return CommitOutcome::Committed(row.version);
                }
                Ok(_) => answer = self.table.commit(transaction).await,
                Err(_) => {}
            }
        }
        answer
    }

    fn complete_batch(&self, batch: Vec<PendingChange>, version: Version) {
        for pending in batch {
            if let CallChange::Finish { .. } = pending.change {
                let retained =
                    RetainedAnswer { retained_at: Instant::now(), key: pending.key, version };
                self.retained.borrow_mut().push_back(retained);
                continue;
            }
            let Some(reply) = pending.reply else { continue };
            if reply.send((ClaimResult::Granted, version)).is_err() {
                self.enqueue(pending.key, version, CallChange::Release, None);
            }
        }
    }

    /// Answers claims that conflict with other holders and returns the changes that can be retried.
    async fn answer_conflicts(&self, batch: Vec<PendingChange>, op: &OpId) -> Vec<PendingChange> {
        let mut retryable = Vec::new();
        for pending in batch {
            let row = self.table.read(&pending.key.row_key()).await;
            let Some(reply) = pending.reply else {
                let version_matches =
                    row.is_ok_and(|row| row.is_some_and(|row| row.version == pending.version));
                if version_matches {
                    retryable.push(PendingChange { reply: None, ..pending });
                }
                continue;
            };
            match row {
                Ok(None) => retryable.push(PendingChange { reply: Some(reply), ..pending }),
                Ok(Some(row)) => {
                    let claim_answer = calls::claim_result(Some(&row), op);
                    let _ = reply
                        .send((claim_answer.unwrap_or(ClaimResult::TableUnavailable), row.version));
                }
                Err(_) => {
                    let _ = reply.send((ClaimResult::TableUnavailable, Version(0)));
                }
            }
        }
        retryable
    }

    /// Answers claims with an unknown result as unavailable, and records them for the cleanup.
    fn mark_unresolved(&self, batch: Vec<PendingChange>, op: &OpId) {
        for pending in batch {
            match pending.reply {
                Some(reply) => {
                    let _ = reply.send((ClaimResult::TableUnavailable, Version(0)));
                    let mut unresolved = self.unresolved.borrow_mut();
                    if unresolved.len() < MAX_UNRESOLVED_CLAIMS {
                        unresolved.insert(pending.key, op.clone());
                    }
                }
                None => self.pending.borrow_mut().push(pending),
            }
        }
    }

    /// Releases answers whose retention has ended.
    fn release_expired(&self) {
        let mut retained = self.retained.borrow_mut();
        let is_expired =
            |retained: &RetainedAnswer| retained.retained_at.elapsed() >= self.retention;
        while retained.front().is_some_and(is_expired) {
            let Some(RetainedAnswer { key, version, .. }) = retained.pop_front() else { return };
            self.enqueue(key, version, CallChange::Release, None);
        }
    }

    /// Periodically releases claims that were committed after they were answered as unavailable,
    /// and expired answers.
    async fn run_cleanup(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CLEANUP_INTERVAL).await;
            self.release_expired();
            let unresolved: Vec<(CallKey, OpId)> =
                self.unresolved.borrow().iter().map(|(k, op)| (k.clone(), op.clone())).collect();
            for (key, op) in unresolved {
                let Ok(row) = self.table.read(&key.row_key()).await else { break };
                if calls::claim_result(row.as_ref(), &op) == Some(ClaimResult::Granted) {
                    let version = row.map(|row| row.version).unwrap_or_default();
                    self.enqueue(key.clone(), version, CallChange::Release, None);
                }
                self.unresolved.borrow_mut().remove(&key);
            }
        }
    }
}
