//! Claims, renews and releases the ownership of the fleet.
//!
//! A host claims the ownership for the reasons in `claim_policy.rs`. A claim replaces the owner's record on the
//! condition that its revision is unchanged, so only one claim succeeds; the new revision is the
//! epoch.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lagoonnotch_fleet::owner::OwnerSettings;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::{now_ms, unix_ms};
use crate::control::{ControlHandle, ControlInput, HostView, OwnerInfo, OwnershipGrant};
use crate::metrics::{WorkKind, measured};
use crate::ownership::claimed_ownership::ClaimedOwnership;
use crate::ownership::owner_polling::DirectoryFindings;
use crate::ownership::owner_watch::{OwnerHealth, OwnerObservation};
use crate::ownership::{AcceptedCursor, ClaimEvidence, claim_reason};
use crate::peer::PeerClients;
use crate::ports::{LeaseGrant, PlatformPorts, StoreError, WriteRequest};
use crate::settings::FleetSettings;
use crate::store::{LeaseBounds, OWNER_KEY, OwnershipTotals, commit_key, read_recovery_state};

/// Time between renewals of the ownership.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Safety margin at the end of the lease, in milliseconds; orders take time to arrive.
const LEASE_MARGIN_MS: u64 = 500;

/// Time between checks whether to claim the ownership.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of a suspected owner's commits, in milliseconds.
const PROGRESS_READ_INTERVAL_MS: u64 = 200;

/// Age of the owner's last store response from which its commits are observed, in milliseconds.
const SUSPECT_STORE_AGE_MS: u64 = 1200;

/// A host claims the ownership only if the store responded to it within this time, in milliseconds.
const MAX_CLAIMANT_STORE_AGE_MS: u64 = 900;

/// Maximum random delay before a claim, in milliseconds.
const MAX_CLAIM_JITTER_MS: u64 = 80;

/// Delay before a claim by a host with much less CPU capacity than another, in milliseconds. It
/// gives the other host time to detect the loss of the owner, or to start.
const SMALL_HOST_CLAIM_DELAY_MS: u64 = 1500;

/// Time after which an owner hands over to a host with much more CPU capacity.
const HANDOVER_AFTER: Duration = Duration::from_secs(4);

/// Delay before another attempt to read the state to recover from.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State shared by the tasks that maintain the ownership.
#[derive(Clone)]
pub struct OwnershipContext {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// Access to the platform.
    pub ports: PlatformPorts,
    /// RPC clients of the other hosts.
    pub clients: PeerClients,
    /// Shared state of the host.
    pub view: HostView,
    /// Handle of the control actor.
    pub control: ControlHandle,
    /// Interval between two directory reports of an upstream, in milliseconds.
    pub report_interval_ms: u64,
    /// CPU capacity of the host, in thousandths of a core; larger hosts claim first.
    pub processor_milli: u32,
    /// Bounds on the leases of this host as the owner.
    pub lease_bounds: LeaseBounds,
    pub(super) observation: watch::Receiver<OwnerObservation>,
    pub(super) observation_sender: Arc<watch::Sender<OwnerObservation>>,
    pub(super) health: watch::Receiver<OwnerHealth>,
    pub(super) health_sender: Arc<watch::Sender<OwnerHealth>>,
}

/// Claims the ownership when the current owner is lost.
pub struct OwnershipClaimer {
    context: OwnershipContext,
}

impl OwnershipClaimer {
    /// Creates a claimer for a host.
    #[must_use]
    pub fn new(
        settings: &FleetSettings,
        owner_settings: &OwnerSettings,
        ports: PlatformPorts,
        clients: PeerClients,
        view: HostView,
        control: ControlHandle,
    ) -> Self {
        let (observation_sender, observation) = watch::channel(OwnerObservation::default());
        let (health_sender, health) = watch::channel(OwnerHealth::default());
        Self {
            context: OwnershipContext {
                host: settings.host.clone(),
                address: settings.peer_address().into(),
                ports,
                clients,
                view,
                control,
                report_interval_ms: settings.report_interval_ms,
                processor_milli: settings.processor_milli(),
                lease_bounds: LeaseBounds {
                    usual_ms: owner_settings.lease_bound_ms,
                    extended_ms: owner_settings.extended_lease_bound_ms,
                },
                observation,
                observation_sender: Arc::new(observation_sender),
                health,
                health_sender: Arc::new(health_sender),
            },
        }
    }

    /// Monitors the owner and claims the ownership when necessary, until the task is dropped.
    pub async fn run(self) {
        tokio::spawn(self.context.clone().watch_owner());
        tokio::spawn(self.context.clone().send_heartbeats());
        let mut suspicion = None;
        loop {
            sleep(CLAIM_INTERVAL).await;
            let observation = self.context.observation.borrow().clone();
            self.context.update_suspicion(&mut suspicion).await;
            if self.context.reason(suspicion.as_ref()).is_none() {
                continue;
            }
            let Some(totals) = self.context.read_totals().await else {
                continue;
            };
            let delay_ms = self.context.claim_delay_ms(&totals.0);
            sleep(Duration::from_millis(delay_ms)).await;
            self.context.update_suspicion(&mut suspicion).await;
            let unchanged = self.context.observation.borrow().revision == observation.revision;
            let reason = self.context.reason(suspicion.as_ref());
            if let Some(reason) = reason.filter(|_| unchanged) {
                self.context.claim(reason, observation, totals).await;
                suspicion = None;
            }
        }
    }
}

/// What a host observes of an owner that may be lost.
#[derive(Clone, Copy, Debug)]
struct OwnerSuspicion {
    /// Epoch of the owner.
    epoch: u64,
    /// Revision of the owner's last observed commit; 0 if there is none.
    commit_revision: u64,
    /// When that commit was first observed.
    commit_observed_at: u64,
    /// When the commit was last read.
    read_at: u64,
    /// Number of takeovers in the last seconds.
    recent_takeovers: u32,
}

impl OwnershipContext {
    /// Returns the delay before a claim, in milliseconds: random, and longer if another host has,
    /// or an earlier owner had, much more CPU capacity, so that a larger host claims first.
    fn claim_delay_ms(&self, totals: &OwnershipTotals) -> u64 {
        let largest = self.view.largest_peer_processor_milli();
        let largest = largest.max(totals.largest_processor_milli);
        let is_small = is_much_smaller(self.processor_milli, largest);
        let delay_ms = if is_small {
            SMALL_HOST_CLAIM_DELAY_MS
        } else {
            0
        };
        delay_ms + rand::random_range(0..MAX_CLAIM_JITTER_MS)
    }

    /// Reads whether an owner that does not respond, or has lost the store, still commits.
    async fn update_suspicion(&self, suspicion: &mut Option<OwnerSuspicion>) {
        let (health, revision) = (*self.health.borrow(), self.observation.borrow().revision);
        let is_suspect = health.epoch == revision
            && (health.failures > 0 || health.store_response_age_ms >= SUSPECT_STORE_AGE_MS);
        if !is_suspect {
            *suspicion = None;
            return;
        }
        let now = now_ms();
        let known = suspicion.filter(|known| known.epoch == revision);
        if known.is_some_and(|known| now < known.read_at + PROGRESS_READ_INTERVAL_MS) {
            return;
        }
        let commit_revision = match (self.ports.store.read)(commit_key(0)).await {
            Ok(item) => item.revision,
            Err(StoreError::NotFound) => 0,
            Err(_) => return,
        };
        *suspicion = Some(match known {
            Some(known) if known.commit_revision == commit_revision => OwnerSuspicion {
                read_at: now,
                ..known
            },
            Some(known) => OwnerSuspicion {
                commit_revision,
                commit_observed_at: now_ms(),
                read_at: now,
                ..known
            },
            None => {
                let totals = self.read_totals().await;
                let recent = totals.map_or(0, |(totals, _)| totals.recent_claims(unix_ms()));
                OwnerSuspicion {
                    epoch: revision,
                    commit_revision,
                    commit_observed_at: now,
                    read_at: now,
                    recent_takeovers: recent,
                }
            }
        });
    }

    /// Returns why this host should claim the ownership, or `None` if it should not.
    fn reason(&self, suspicion: Option<&OwnerSuspicion>) -> Option<&'static str> {
        let observation = self.observation.borrow().clone();
        let is_eligible = self.view.config().is_some()
            && !self.view.is_stopping()
            && self.view.store_response_age_ms() <= MAX_CLAIMANT_STORE_AGE_MS;
        if !observation.has_been_read || !is_eligible {
            return None;
        }
        let now = now_ms();
        let health = *self.health.borrow();
        let mut evidence = ClaimEvidence {
            has_record: observation.record.is_some(),
            is_own_record: observation
                .record
                .as_ref()
                .is_some_and(|record| record.host == self.host),
            since_change_ms: now.saturating_sub(observation.changed_at),
            ..ClaimEvidence::default()
        };
        let known = suspicion.filter(|known| known.epoch == observation.revision);
        if let Some(known) = known.filter(|_| health.epoch == observation.revision) {
            evidence.missed_heartbeats = health.failures;
            evidence.silent_ms = health
                .silent_since
                .map_or(0, |since| now.saturating_sub(since));
            evidence.no_progress_ms = now.saturating_sub(known.commit_observed_at);
            evidence.owner_store_age_ms = health.store_response_age_ms;
            evidence.recent_takeovers = known.recent_takeovers;
        }
        claim_reason(&evidence)
    }

    /// Recovers the fleet's state, and keeps the ownership until it ends.
    pub(super) async fn maintain_ownership(&self, claimed: ClaimedOwnership) {
        let (epoch, lease) = (claimed.epoch, claimed.lease);
        let valid_until = claimed.requested_at + lease.ttl_ms.saturating_sub(LEASE_MARGIN_MS);
        let renewal = tokio::spawn(self.clone().renew(epoch, lease));
        let log = self.view.revision_log();
        let (read, cursor) = loop {
            let began_at = now_ms();
            match read_recovery_state(&self.ports.store, log).await {
                Ok(read) => {
                    let cursor = AcceptedCursor::after_listing(began_at, read.watch_revision);
                    break (read, cursor);
                }
                Err(_) if renewal.is_finished() => return,
                Err(_) => sleep(RECOVERY_RETRY_DELAY).await,
            }
        };
        if renewal.is_finished() {
            return;
        }
        let mut recovered = read.state;
        recovered.previous_owner_active_ms = claimed.previous_owner_active_ms;
        let earlier_leases = claimed.earlier_leases(log, read.last_commit_revision);
        recovered.leases_expire_by = earlier_leases.expire_by;
        recovered.leases_may_be_extended = earlier_leases.may_be_extended;
        recovered.claim_requested_at = claimed.requested_at;
        let mut findings = DirectoryFindings::default();
        let directory = self.read_directory(&mut findings).await;
        if let Some(read) = &directory {
            recovered.departed = self.find_departed(&recovered.roster, read).await;
        }
        self.control
            .send(ControlInput::OwnershipGranted(Box::new(OwnershipGrant {
                epoch,
                generation: claimed.record.generation,
                recovered,
                valid_until,
                known_until: cursor.known_until(),
            })))
            .await;
        if let Some(read) = directory {
            self.control.send(ControlInput::DirectoryRead(read)).await;
        }
        self.view.set_owner(Some(OwnerInfo {
            host: self.host.clone(),
            address: self.address.clone(),
            epoch,
        }));
        let directory = tokio::spawn(measured(
            WorkKind::Polling,
            self.clone().poll_directory(findings),
        ));
        let watch = self.clone().poll_accepted(epoch, cursor);
        let accepted = tokio::spawn(measured(WorkKind::Polling, watch));
        let expiry = tokio::spawn(self.clone().sweep_expired_final_states());
        let outages = tokio::spawn(self.clone().observe_outages(epoch));
        let _ = renewal.await;
        directory.abort();
        accepted.abort();
        expiry.abort();
        outages.abort();
    }

    /// Renews the ownership, and returns when it has ended.
    async fn renew(self, epoch: u64, lease: LeaseGrant) {
        // The host becomes the owner only after the recovery, so a missing epoch before that is not
        // a step-down.
        let mut was_owner = false;
        let began_at = Instant::now();
        loop {
            sleep(RENEW_INTERVAL).await;
            let is_owner = self.view.owned_epoch() == Some(epoch);
            if was_owner && !is_owner {
                self.resign(epoch, lease, "the host stepped down").await;
                return;
            }
            was_owner |= is_owner;
            if self.view.is_stopping() {
                self.resign(epoch, lease, "the host is stopping").await;
                return;
            }
            let is_small = is_much_smaller(
                self.processor_milli,
                self.view.largest_peer_processor_milli(),
            );
            if is_owner && is_small && began_at.elapsed() > HANDOVER_AFTER {
                let reason = "a host with more CPU capacity is available";
                self.resign(epoch, lease, reason).await;
                return;
            }
            if self.observation.borrow().revision > epoch {
                self.end_ownership(epoch, "another host is the owner").await;
                return;
            }
            let sent_at = now_ms();
            match (self.ports.store.renew)(lease.lease_id).await {
                Ok(renewed) => {
                    self.view.record_store_response(sent_at);
                    let ttl_ms = renewed.ttl_ms.saturating_sub(LEASE_MARGIN_MS);
                    let valid_until = sent_at + ttl_ms;
                    self.control
                        .send(ControlInput::OwnershipRenewed { epoch, valid_until })
                        .await;
                }
                Err(StoreError::NotFound) => {
                    self.end_ownership(epoch, "the lease has expired").await;
                    return;
                }
                Err(_) => {}
            }
        }
    }

    /// Gives up the ownership, deletes the owner's record and revokes its lease.
    async fn resign(&self, epoch: u64, lease: LeaseGrant, reason: &'static str) {
        self.end_ownership(epoch, reason).await;
        let request = WriteRequest {
            expected: vec![(OWNER_KEY.to_owned(), epoch)],
            delete: vec![OWNER_KEY.to_owned()],
            ..WriteRequest::default()
        };
        let _ = (self.ports.store.write)(request).await;
        let _ = (self.ports.store.revoke)(lease.lease_id).await;
    }

    async fn end_ownership(&self, epoch: u64, reason: &'static str) {
        self.control
            .send(ControlInput::OwnershipEnded { epoch, reason })
            .await;
    }
}

/// Returns whether a host has much less CPU capacity than another: under two thirds.
#[must_use]
pub fn is_much_smaller(processor_milli: u32, other_milli: u32) -> bool {
    u64::from(processor_milli) * 3 < u64::from(other_milli) * 2
}
