//! How far the owner knows what hosts accepted.

use crate::ports::WatchResponse;

/// The owner's position in the changes of stored submissions and cancellations.
///
/// A watch may hear nothing while changes are made. The position therefore follows only changes that
/// were reported or listed, never the store's revision in a response without changes: the next watch
/// then reports what the last one missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedCursor {
    /// Revision after which changes are still to be reported; everything up to it is known.
    revision: u64,
    /// Everything that was stored before this time is known, in milliseconds of the owner's clock.
    known_until: u64,
}

impl AcceptedCursor {
    /// Creates the position after a complete listing that began at `began_at`, at `revision`.
    #[must_use]
    pub fn after_listing(began_at: u64, revision: u64) -> Self {
        Self {
            revision,
            known_until: began_at,
        }
    }

    /// Returns the revision after which to watch.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time before which everything that was stored is known.
    #[must_use]
    pub fn known_until(&self) -> u64 {
        self.known_until
    }

    /// Applies the response to a watch that was sent at `sent_at`, when hosts had already reported
    /// a submission of `reported_revision` to the owner. A response that lacks that submission may
    /// lack others too, so it does not show what is known.
    pub fn apply_watch(&mut self, sent_at: u64, response: &WatchResponse, reported_revision: u64) {
        let revisions = response.items.iter().map(|item| item.revision);
        self.revision = revisions.fold(self.revision, u64::max);
        if reported_revision <= self.revision {
            self.known_until = self.known_until.max(sent_at);
        }
    }
}
