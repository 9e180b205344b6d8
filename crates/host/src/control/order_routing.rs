//! Which orders of the owner this host sends itself, and which it forwards to other hosts.

use lagoonnotch_fleet::owner::OwnerEffect;
use serde_json::json;

use crate::control::ControlActor;
use crate::control::control_actor::PEER_TIMEOUT_MS;
use crate::event::FleetEvent;
use crate::forward::ForwardPeer;

/// Time between two requests for the failure domain of a host, in milliseconds. A host of an earlier
/// version answers none, and closes the connection.
const DOMAIN_RETRY_MS: u64 = 10_000;

/// Maximum number of hosts that are asked for their failure domains at a time.
const MAX_DOMAINS_ASKED: usize = 16;

impl ControlActor {
    /// Returns this host and those that may send renewals: their failure domains are known.
    pub(super) fn forward_peers(&self, now: u64) -> Vec<ForwardPeer> {
        let recent = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.heartbeat_at) < PEER_TIMEOUT_MS);
        let usable =
            recent.filter(|(host, peer)| **host == self.host || peer.failure_domain.is_some());
        usable
            .map(|(host, peer)| ForwardPeer {
                host: host.clone(),
                address: peer.info.address.clone(),
                failure_domain: peer.failure_domain.clone().unwrap_or_default(),
                processor_milli: peer.info.processor_milli,
            })
            .collect()
    }

    /// Asks some of the hosts whose failure domains are not known for them.
    pub(super) fn ask_failure_domains(&mut self, now: u64) {
        let host = &self.host;
        let unknown = self.peers.iter_mut().filter(|(name, peer)| {
            *name != host
                && peer.failure_domain.is_none()
                && now.saturating_sub(peer.heartbeat_at) < PEER_TIMEOUT_MS
                && peer
                    .domain_asked_at
                    .is_none_or(|asked_at| now >= asked_at + DOMAIN_RETRY_MS)
        });
        for (name, peer) in unknown.take(MAX_DOMAINS_ASKED) {
            peer.domain_asked_at = Some(now);
            self.runner
                .read_failure_domain(name.clone(), peer.info.address.clone());
        }
    }

    /// Starts the effects of the owner; renewals go to delegates while the owner needs them.
    pub(super) fn run_effects(
        &mut self,
        now: u64,
        epoch: u64,
        valid_until: u64,
        effects: Vec<OwnerEffect>,
    ) {
        for effect in effects {
            let effect = match effect {
                OwnerEffect::Renew(order) => match self.forwarder.enqueue(now, order) {
                    Some(order) => OwnerEffect::Renew(order),
                    None => continue,
                },
                effect => effect,
            };
            self.runner.run(epoch, effect, &self.peers, valid_until);
        }
        self.forwarder.check_overdue(now);
        let retries = self.forwarder.take_retries();
        self.metrics
            .count_forwarded_renewals("retried", retries.len());
        for order in retries {
            let retry = OwnerEffect::Renew(order);
            self.runner.run(epoch, retry, &self.peers, valid_until);
        }
        for batch in self.forwarder.take_batches(now, valid_until) {
            self.metrics
                .count_forwarded_renewals("forwarded", batch.batch.renewals.len());
            self.runner.forward(batch, valid_until);
        }
        for (delegate, reason) in self.forwarder.take_lost_delegates() {
            FleetEvent::DelegateGivenUp.emit(json!({"delegate": delegate, "reason": reason}));
        }
    }
}
