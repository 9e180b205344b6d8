//! Choice of the hosts that send the owner's renewals.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Number of upstreams for each delegate, above which a failure domain gets another one.
const UPSTREAMS_PER_DELEGATE: usize = 400;

/// Time for which a lost delegate is not chosen again, in milliseconds.
const AVOID_MS: u64 = 3000;

/// A host that may send renewals for the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardPeer {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// CPU capacity, in thousandths of a core.
    pub processor_milli: u32,
}

/// The delegates of each failure domain. Every owner chooses the same ones from the same hosts, so
/// that their connections to upstreams are used again after a change of the owner.
#[derive(Debug, Default)]
pub struct DelegateTable {
    by_domain: BTreeMap<Arc<str>, Vec<ForwardPeer>>,
    /// Until when a lost delegate is not chosen.
    avoided_until: HashMap<Arc<str>, u64>,
}

impl DelegateTable {
    /// Chooses the delegates among the hosts that accept work. Those that were chosen before stay;
    /// hosts with more processor come first.
    pub fn update(&mut self, now: u64, peers: &[ForwardPeer], upstream_count: usize) {
        self.avoided_until.retain(|_, until| *until > now);
        let usable = |peer: &&ForwardPeer| !self.avoided_until.contains_key(&peer.host);
        let mut candidates: BTreeMap<Arc<str>, Vec<ForwardPeer>> = BTreeMap::new();
        for peer in peers.iter().filter(usable) {
            let domain = candidates.entry(peer.failure_domain.clone()).or_default();
            domain.push(peer.clone());
        }
        let domain_count = candidates.len().max(1);
        let delegate_count = upstream_count
            .div_ceil(UPSTREAMS_PER_DELEGATE * domain_count)
            .max(1);
        for (domain, peers) in &mut candidates {
            let chosen = self.by_domain.get(domain).map_or(&[][..], Vec::as_slice);
            let chosen: BTreeSet<_> = chosen.iter().map(|peer| peer.host.clone()).collect();
            peers.sort_by_cached_key(|peer| {
                let rank = (peer.processor_milli, hash(&peer.host));
                std::cmp::Reverse((chosen.contains(&peer.host), rank))
            });
            peers.truncate(delegate_count);
        }
        self.by_domain = candidates;
    }

    /// Returns the delegate for an upstream: one in its failure domain if there is any.
    #[must_use]
    pub fn delegate(&self, upstream: &str, failure_domain: &str) -> Option<&ForwardPeer> {
        let near = self.by_domain.get(failure_domain);
        match near.filter(|peers| !peers.is_empty()) {
            Some(peers) => choose(upstream, peers.iter()),
            None => choose(upstream, self.by_domain.values().flatten()),
        }
    }

    /// Removes a lost delegate, and avoids it for some time.
    pub fn remove(&mut self, now: u64, host: &Arc<str>) {
        self.avoided_until.insert(host.clone(), now + AVOID_MS);
        for peers in self.by_domain.values_mut() {
            peers.retain(|peer| peer.host != *host);
        }
    }
}

/// Chooses by rendezvous hashing, so that the loss of a delegate moves only its own upstreams.
fn choose<'a>(
    upstream: &str,
    peers: impl Iterator<Item = &'a ForwardPeer>,
) -> Option<&'a ForwardPeer> {
    peers.max_by_key(|peer| hash(&(&peer.host, upstream)))
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
