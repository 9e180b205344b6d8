//! What the traffic threads know of the control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch_wire::caller::MemberStatus;

use crate::document::ApprovedConfig;
use crate::model::{DomainName, HostName, ShardName};
use crate::shard::ShardSummary;

/// Where the owner of a shard is.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// On this host.
    Local,
    /// On another host.
    Peer(SocketAddr),
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRoute {
    /// The owner.
    pub host: HostName,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Where it is.
    pub target: RouteTarget,
    /// What it last told of the shard.
    pub summary: ShardSummary,
}

/// A copy of the control state for the traffic threads.
#[derive(Clone, Debug)]
pub struct CellView {
    /// This host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// The configuration in force here.
    pub config: Arc<ApprovedConfig>,
    /// Owners by shard, as last heard.
    pub owners: BTreeMap<ShardName, OwnerRoute>,
    /// Time for which newer documents may have existed unheard of, in milliseconds.
    pub stale_ms: Option<u64>,
    /// Whether this host takes work.
    pub ready: bool,
    /// All hosts that are known, this one first.
    pub members: Vec<MemberStatus>,
}

impl CellView {
    /// Returns the shards that could take work, those of this failure domain first and then those
    /// with the most free capacity.
    #[must_use]
    pub fn candidates(&self) -> Vec<ShardName> {
        let mut candidates: Vec<(&ShardName, &OwnerRoute)> = self.owners.iter().collect();
        candidates.sort_by_key(|(shard, route)| {
            let near = self.is_local_domain(shard);
            (
                !near,
                !route.summary.starting,
                std::cmp::Reverse(route.summary.free.cpu_milli),
            )
        });
        candidates
            .into_iter()
            .map(|(shard, _)| shard.clone())
            .collect()
    }

    /// Tells whether a shard belongs to this failure domain.
    #[must_use]
    pub fn is_local_domain(&self, shard: &ShardName) -> bool {
        shard
            .as_str()
            .rsplit_once('.')
            .is_some_and(|(domain, _)| domain == self.domain.as_str())
    }
}
