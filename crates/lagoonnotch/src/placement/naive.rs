//! Best fit by a scan of all upstreams: the test oracle and benchmark baseline of the index.

use crate::model::{ResourceSize, UpstreamName};

/// Returns the upstream that leaves the fewest accelerators unused and, among those, the least
/// other capacity.
#[must_use]
pub fn naive_best_fit<'a>(
    upstreams: impl Iterator<Item = (&'a UpstreamName, &'a ResourceSize)>,
    size: &ResourceSize,
) -> Option<UpstreamName> {
    let fitting = upstreams.filter(|(_, free)| size.fits(free));
    let best = fitting.min_by_key(|(_, free)| {
        let rest = free.saturating_sub(size);
        (
            rest.accelerators,
            rest.cpu_milli * 4096 / 1000 + rest.memory_mib,
        )
    });
    best.map(|(upstream, _)| upstream.clone())
}
