//! Which finished runs were logged.

use std::collections::HashMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{FinishedRun, RenewReply};

/// Finished runs of an upstream that were logged.
#[derive(Clone, Copy, Debug, Default)]
struct LoggedRuns {
    incarnation_unix_ms: u64,
    /// Highest number; each incarnation counts from 1.
    last_number: u64,
}

/// Remembers which finished runs were logged, so that each is logged once.
#[derive(Debug, Default)]
pub struct FinishedRunLog {
    by_upstream: HashMap<Arc<str>, LoggedRuns>,
}

impl FinishedRunLog {
    /// Returns the finished runs that an upstream lists for the first time.
    pub fn take_new<'a>(
        &mut self,
        upstream: &Arc<str>,
        reply: &'a RenewReply,
    ) -> impl Iterator<Item = &'a FinishedRun> + use<'a> {
        let logged = self.by_upstream.entry(upstream.clone()).or_default();
        if logged.incarnation_unix_ms != reply.incarnation_unix_ms {
            *logged = LoggedRuns {
                incarnation_unix_ms: reply.incarnation_unix_ms,
                last_number: 0,
            };
        }
        let last_number = logged.last_number;
        let listed = reply.finished.iter().map(|run| run.number).max();
        logged.last_number = last_number.max(listed.unwrap_or(0));
        let finished = reply.finished.iter();
        finished.filter(move |run| run.number > last_number)
    }
}
