//! Check of the queue that a request is submitted to.

use crate::document::{ApprovedConfig, WorkloadPolicy};
use crate::model::TeamName;
use crate::problem::{ProblemCode, ProblemReport};

/// Time after which work may be submitted again that was refused because the configuration was
/// stale, in milliseconds.
const STALE_RETRY_AFTER_MS: u64 = 1000;

/// Checks that a team may submit a workload now.
///
/// `stale_ms` is the time for which this host may have missed newer documents; none while it is up
/// to date.
///
/// # Errors
/// Returns an error if the queue does not exist, if it is closed to the team, or if an open queue
/// admits nothing because the configuration has been stale for too long.
pub fn check_queue(
    config: &ApprovedConfig,
    team: &TeamName,
    policy: &WorkloadPolicy,
    stale_ms: Option<u64>,
) -> Result<(), ProblemReport> {
    let Some(queue) = config.queues.get(&policy.queue) else {
        let detail = format!("there is no queue {}", policy.queue);
        return Err(ProblemReport::not_run(ProblemCode::UnknownWorkload, detail));
    };
    if !queue.open && !queue.teams.contains(team) {
        let detail = format!("queue {} is closed to team {team}", policy.queue);
        return Err(ProblemReport::not_run(ProblemCode::QueueClosed, detail));
    }
    // `when_cut_off_s` limits how long a host that may have missed newer documents admits work.
    let allowed_ms = u64::from(queue.when_cut_off_s) * 1000;
    if queue.open && stale_ms.is_some_and(|stale_ms| stale_ms >= allowed_ms) {
        let detail = format!(
            "queue {} admits nothing while newer documents may exist",
            policy.queue
        );
        let report = ProblemReport::not_run(ProblemCode::ConfigStale, detail);
        return Err(report.retry_after(STALE_RETRY_AFTER_MS));
    }
    Ok(())
}
