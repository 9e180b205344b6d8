//! How far the owner knows what hosts accepted.

use crate::ports::WatchResponse;

/// Which changes a watch's response has, as far as reports of other hosts tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchCoverage {
    /// All of which hosts had reported when the watch was sent.
    Complete,
    /// It ends before the last reported one; the next watch continues from there.
    Behind,
    /// It skips a reported one, and may skip others, so that all must be listed.
    Gap,
}

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

    /// Applies a complete listing. What it lacks was stored later than its begin and its revision.
    pub fn apply_listing(&mut self, listed: Self) {
        self.revision = self.revision.max(listed.revision);
        self.known_until = self.known_until.max(listed.known_until);
    }

    /// Applies the response to a watch that was sent at `sent_at`, when hosts had already reported
    /// a submission of `reported_revision` to the owner.
    #[must_use]
    pub fn apply_watch(
        &mut self,
        sent_at: u64,
        response: &WatchResponse,
        reported_revision: u64,
    ) -> WatchCoverage {
        let mut revisions = response.items.iter().map(|item| item.revision);
        let last_revision = revisions.clone().max().unwrap_or(0);
        let lacks_reported = reported_revision > self.revision
            && !revisions.any(|revision| revision == reported_revision);
        if lacks_reported && (last_revision == 0 || last_revision > reported_revision) {
            return WatchCoverage::Gap;
        }
        self.revision = self.revision.max(last_revision);
        if lacks_reported {
            return WatchCoverage::Behind;
        }
        self.known_until = self.known_until.max(sent_at);
        WatchCoverage::Complete
    }
}
