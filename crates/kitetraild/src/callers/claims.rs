//! Claims on calls that must not run twice, many to a transaction.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use kitetrail_core::{
    BoxId, OpId, Version,
    calls::{self, CallChange, CallKey, ClaimAnswer},
    table::{CommitAnswer, Transaction},
};
use kitetrail_platform::{HttpTable, TableService};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

/// The least time between two transactions.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);
/// The most changes in a transaction.
const MAX_CHANGES: usize = 200;
/// How often a transaction without an answer is looked into before its claims are
/// answered without it.
const RESOLVE_TRIES: u32 = 3;
/// How long to wait between two of those tries.
const RESOLVE_PAUSE: Duration = Duration::from_millis(50);
/// How long to wait before looking for claims that may have come through late.
const CLEANUP_PAUSE: Duration = Duration::from_secs(1);
/// The most such claims that are looked for.
const MAX_CLEANUP: usize = 10_000;

type Answer = oneshot::Sender<(ClaimAnswer, Version)>;

/// A change that waits for the next transaction.
struct Waiting {
    key: CallKey,
    version: Version,
    change: CallChange,
    answer: Option<Answer>,
}

/// The claims of this box.
pub struct Claims {
    table: HttpTable,
    holder: BoxId,
    incarnation: u64,
    sequence: Cell<u64>,
    waiting: RefCell<Vec<Waiting>>,
    wake: Notify,
    /// Claims that were answered "no table" but may have come through.
    doubtful: RefCell<HashMap<CallKey, OpId>>,
    /// Calls whose answers are kept, oldest first, to be forgotten in time.
    kept: RefCell<VecDeque<Kept>>,
    retention: Duration,
}

/// A call whose answer is kept.
struct Kept {
    since: Instant,
    key: CallKey,
    version: Version,
}

/// A claim that was granted. It is given back if the call was not sent.
pub struct Claim {
    claims: Rc<Claims>,
    key: CallKey,
    version: Version,
    sent: bool,
}

impl Claim {
    /// Notes that the call may be sent from now on, so that the claim must stay whatever
    /// becomes of the exchange, also if its caller hangs up.
    pub fn keep(&mut self) {
        self.sent = true;
    }

    /// Notes that the call was certainly not run: the claim is given back.
    pub fn note_not_run(&mut self) {
        self.sent = false;
    }

    /// Keeps the call's answer for repeats: its status, and its body if that is known
    /// whole, short and text.
    pub fn finish(mut self, status: u16, body: Option<&[u8]>) {
        self.sent = true;
        let short = body.filter(|body| body.len() <= calls::MAX_KEPT_ANSWER_BYTES);
        let body = short.and_then(|body| std::str::from_utf8(body).ok()).map(str::to_owned);
        let change = CallChange::Finish { status, body };
        self.claims.add(self.key.clone(), self.version, change, None);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.add(self.key.clone(), self.version, CallChange::Release, None);
        }
    }
}

impl Claims {
    /// The claims of a box.
    pub fn new(table: HttpTable, holder: BoxId, incarnation: u64, retention: Duration) -> Rc<Self> {
        Rc::new(Self {
            table,
            holder,
            incarnation,
            sequence: Cell::new(0),
            waiting: RefCell::default(),
            wake: Notify::new(),
            doubtful: RefCell::default(),
            kept: RefCell::default(),
            retention,
        })
    }

    /// Claims a call. Everything but a grant is an answer to pass on.
    pub async fn claim(self: &Rc<Self>, key: CallKey) -> Result<Claim, ClaimAnswer> {
        let (answer, granted) = oneshot::channel();
        self.add(key.clone(), Version(0), CallChange::Claim, Some(answer));
        match granted.await {
            Ok((ClaimAnswer::Granted, version)) => {
                Ok(Claim { claims: Rc::clone(self), key, version, sent: false })
            }
            Ok((answer, _)) => Err(answer),
            Err(_) => Err(ClaimAnswer::NoTable),
        }
    }

    /// Sends transactions until the process ends.
    pub async fn run(self: Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(&self).clean_up());
        loop {
            while self.waiting.borrow().is_empty() {
                self.wake.notified().await;
            }
            let started = Instant::now();
            let batch = self.take_batch();
            self.commit(batch).await;
            tokio::time::sleep_until(started + COMMIT_INTERVAL).await;
        }
    }

    fn add(&self, key: CallKey, version: Version, change: CallChange, answer: Option<Answer>) {
        self.waiting.borrow_mut().push(Waiting { key, version, change, answer });
        self.wake.notify_one();
    }

    /// The next changes, at most one to each key.
    fn take_batch(&self) -> Vec<Waiting> {
        let mut batch: Vec<Waiting> = Vec::new();
        let mut later = Vec::new();
        for waiting in self.waiting.borrow_mut().drain(..) {
            let twice = batch.iter().any(|other| other.key == waiting.key);
            match twice || batch.len() >= MAX_CHANGES {
                true => later.push(waiting),
                false => batch.push(waiting),
            }
        }
        *self.waiting.borrow_mut() = later;
        batch
    }

    async fn commit(&self, mut batch: Vec<Waiting>) {
        while !batch.is_empty() {
            self.sequence.set(self.sequence.get() + 1);
            let op = OpId::new(&self.holder, self.incarnation, self.sequence.get());
            let op = OpId::from_change(&format!("call-{op}"));
            let changes: Vec<_> =
                batch.iter().map(|w| (w.key.clone(), w.version, w.change.clone())).collect();
            let transaction =
                calls::transaction(op.clone(), &self.holder, self.incarnation, &changes);
            match self.resolve(&transaction, &batch).await {
                CommitAnswer::Committed(version) => return self.grant(batch, version),
                CommitAnswer::Conflict => batch = self.drop_conflicts(batch, &op).await,
                CommitAnswer::Unknown => return self.leave_in_doubt(batch, &op),
            }
        }
    }

    /// Commits, and finds out what became of it if the answer is lost.
    async fn resolve(&self, transaction: &Transaction, batch: &[Waiting]) -> CommitAnswer {
        let mut answer = self.table.commit(transaction).await;
        let witness = batch.iter().find(|waiting| waiting.change != CallChange::Release);
        for _ in 0..RESOLVE_TRIES {
            if answer != CommitAnswer::Unknown {
                break;
            }
            tokio::time::sleep(RESOLVE_PAUSE).await;
            let Some(witness) = witness else { return CommitAnswer::Unknown };
            match self.table.read(&witness.key.row()).await {
                Ok(Some(row)) if row.op == transaction.op => {
                    return CommitAnswer::Committed(row.version);
                }
                Ok(_) => answer = self.table.commit(transaction).await,
                Err(_) => {}
            }
        }
        answer
    }

    fn grant(&self, batch: Vec<Waiting>, version: Version) {
        for waiting in batch {
            if let CallChange::Finish { .. } = waiting.change {
                let kept = Kept { since: Instant::now(), key: waiting.key, version };
                self.kept.borrow_mut().push_back(kept);
                continue;
            }
            let Some(answer) = waiting.answer else { continue };
            if answer.send((ClaimAnswer::Granted, version)).is_err() {
                self.add(waiting.key, version, CallChange::Release, None);
            }
        }
    }

    /// Answers the claims that others hold and returns what may be tried again.
    async fn drop_conflicts(&self, batch: Vec<Waiting>, op: &OpId) -> Vec<Waiting> {
        let mut rest = Vec::new();
        for waiting in batch {
            let row = self.table.read(&waiting.key.row()).await;
            let Some(answer) = waiting.answer else {
                let fits = row.is_ok_and(|row| row.is_some_and(|r| r.version == waiting.version));
                if fits {
                    rest.push(Waiting { answer: None, ..waiting });
                }
                continue;
            };
            match row {
                Ok(None) => rest.push(Waiting { answer: Some(answer), ..waiting }),
                Ok(Some(row)) => {
                    let judged = calls::judge_claim(Some(&row), op);
                    let _ = answer.send((judged.unwrap_or(ClaimAnswer::NoTable), row.version));
                }
                Err(_) => {
                    let _ = answer.send((ClaimAnswer::NoTable, Version(0)));
                }
            }
        }
        rest
    }

    /// Answers claims that may or may not come through, and remembers to look for them.
    fn leave_in_doubt(&self, batch: Vec<Waiting>, op: &OpId) {
        for waiting in batch {
            match waiting.answer {
                Some(answer) => {
                    let _ = answer.send((ClaimAnswer::NoTable, Version(0)));
                    let mut doubtful = self.doubtful.borrow_mut();
                    if doubtful.len() < MAX_CLEANUP {
                        doubtful.insert(waiting.key, op.clone());
                    }
                }
                None => self.waiting.borrow_mut().push(waiting),
            }
        }
    }

    /// Forgets answers that were kept for long enough.
    fn forget_old(&self) {
        let mut kept = self.kept.borrow_mut();
        let is_old = |kept: &Kept| kept.since.elapsed() >= self.retention;
        while kept.front().is_some_and(is_old) {
            let Some(Kept { key, version, .. }) = kept.pop_front() else { return };
            self.add(key, version, CallChange::Release, None);
        }
    }

    /// Gives back claims that came through after their calls were answered "no table".
    async fn clean_up(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CLEANUP_PAUSE).await;
            self.forget_old();
            let doubtful: Vec<(CallKey, OpId)> =
                self.doubtful.borrow().iter().map(|(k, op)| (k.clone(), op.clone())).collect();
            for (key, op) in doubtful {
                let Ok(row) = self.table.read(&key.row()).await else { break };
                if calls::judge_claim(row.as_ref(), &op) == Some(ClaimAnswer::Granted) {
                    let version = row.map(|row| row.version).unwrap_or_default();
                    self.add(key.clone(), version, CallChange::Release, None);
                }
                self.doubtful.borrow_mut().remove(&key);
            }
        }
    }
}
