//! The owner of the fleet in this box, for all who bring it calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

use super::{owner::OwnerMessage, shared::OwnerView};

/// The inbox of an owner.
#[derive(Debug, Clone)]
pub(super) struct OwnerInbox {
    pub(super) sender: mpsc::Sender<OwnerMessage>,
    /// Which owner it is, as other boxes are told.
    pub(super) view: OwnerView,
}

/// The owner of the fleet in this box, if this box owns it.
///
/// Threads share it, so that a call from another box goes from the thread that read it to the owner's inbox, and its
/// answer back the same way: it waits once for the owner's loop. Over the loop's thread, it waited four times: with boxes eight times
/// slower, at a lag of 0.15 to 0.28 s, callers who cancelled a job had no answer within the 0.9 s of a try for up to 9 s.
#[derive(Debug, Clone, Default)]
pub(super) struct LocalOwner(Arc<Mutex<Option<OwnerInbox>>>);

impl LocalOwner {
    /// The owner's inbox, if this box owns the fleet.
    pub(super) fn get(&self) -> Option<OwnerInbox> {
        self.lock().clone()
    }

    /// Whether this box owns the fleet.
    pub(super) fn is_there(&self) -> bool {
        self.lock().is_some()
    }

    /// This box owns the fleet from now on, or no more.
    pub(super) fn set(&self, inbox: Option<OwnerInbox>) {
        *self.lock() = inbox;
    }

    fn lock(&self) -> MutexGuard<'_, Option<OwnerInbox>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
