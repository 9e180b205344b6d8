//! Read-only copy of the control state, for the threads that serve requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch_wire::caller::MemberStatus;

use crate::document::ApprovedConfig;
use crate::model::{DomainName, HostName, ShardName};
use crate::shard::ShardSummary;

/// Location of a shard's owner.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// On this host.
    Local,
    /// On another host, at its peer address.
    Peer(SocketAddr),
}

/// The owner of a shard and how to reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRoute {
    /// Name of the owner.
    pub host: HostName,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Location of the owner.
    pub target: RouteTarget,
    /// The last summary of the shard received from the owner.
    pub summary: ShardSummary,
}

/// Read-only copy of the control state, for the threads that serve requests.
#[derive(Clone, Debug)]
pub struct HostView {
    /// This host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Configuration in force on this host.
    pub config: Arc<ApprovedConfig>,
    /// Last known owners by shard.
    pub owners: BTreeMap<ShardName, OwnerRoute>,
    /// How long this host may have lacked newer documents, in milliseconds; `None` if it is up to
    /// date.
    pub stale_ms: Option<u64>,
    /// Whether this host accepts work.
    pub ready: bool,
    /// All known hosts, this one first.
    pub members: Vec<MemberStatus>,
}

impl HostView {
    /// Returns the shards that may accept work: those of this failure domain first, then those that
    /// currently start tasks, then those with the most free capacity.
    #[must_use]
    pub fn candidates(&self) -> Vec<ShardName> {
        let mut candidates: Vec<(&ShardName, &OwnerRoute)> = self.owners.iter().collect();
        candidates.sort_by_key(|(shard, route)| {
            let local = self.is_local_domain(shard);
            (
                !local,
                !route.summary.starting,
                std::cmp::Reverse(route.summary.free.cpu_milli),
            )
        });
        candidates
            .into_iter()
            .map(|(shard, _)| shard.clone())
            .collect()
    }

    /// Returns whether a shard belongs to this failure domain.
    #[must_use]
    pub fn is_local_domain(&self, shard: &ShardName) -> bool {
        shard
            .as_str()
            .rsplit_once('.')
            .is_some_and(|(domain, _)| domain == self.domain.as_str())
    }
}
