//! The state machine of one host for one shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::HostEntry;

use crate::document::ApprovedConfig;
use crate::event::EventCode;
use crate::journal::ShardKeys;
use crate::model::{DomainName, HostName, ShardName, UpstreamName};
use crate::shard::claim::ClaimState;
use crate::shard::effect_desk::{CallPurpose, EffectDesk};
use crate::shard::messages::{
    CallFailure, CallId, CommandId, PeerView, Refusal, RefusalCode, ShardCommand, ShardEffect,
    ShardInput, ShardReply, ShardSummary, UpstreamReply,
};
use crate::shard::owner::{OwnerState, StepContext};
use crate::shard::phase::{OwnershipEvent, OwnershipPhase, ownership_chart};
use crate::shard::store_lease::StoreLease;
use crate::shard::timing::ShardTiming;

/// Names a shard and the host that may own it.
#[derive(Clone, Debug)]
pub struct ShardIdentity {
    /// The shard.
    pub shard: ShardName,
    /// Failure domain of the shard.
    pub domain: DomainName,
    /// This entry host.
    pub host: HostName,
    /// Unique number of this run of the daemon.
    pub incarnation: u64,
}

/// One host's part in the ownership of one shard.
#[derive(Clone, Debug)]
pub struct ShardController {
    pub(super) identity: ShardIdentity,
    pub(super) keys: ShardKeys,
    pub(super) timing: ShardTiming,
    pub(super) phase: OwnershipPhase,
    pub(super) config: Arc<ApprovedConfig>,
    pub(super) peers: PeerView,
    /// The shard's upstreams as the platform last listed them; none before the first list.
    pub(super) hosts: Option<BTreeMap<UpstreamName, HostEntry>>,
    pub(super) desk: EffectDesk,
    pub(super) lease: StoreLease,
    pub(super) claim: ClaimState,
    /// Present exactly in the phases fencing, owning and releasing.
    pub(super) owner: Option<OwnerState>,
    next_poll_ms: u64,
    release_until_ms: u64,
}

impl ShardController {
    /// Makes a standby.
    #[must_use]
    pub fn new(identity: ShardIdentity, timing: ShardTiming) -> Self {
        Self {
            keys: ShardKeys::new(&identity.shard),
            identity,
            timing,
            phase: ownership_chart().initial(),
            config: Arc::default(),
            peers: PeerView::default(),
            hosts: None,
            desk: EffectDesk::default(),
            lease: StoreLease::default(),
            claim: ClaimState::default(),
            owner: None,
            next_poll_ms: 0,
            release_until_ms: 0,
        }
    }

    /// Takes one input at the given time, in milliseconds, and returns what is to be done.
    pub fn step(&mut self, now_ms: u64, input: ShardInput) -> Vec<ShardEffect> {
        match input {
            ShardInput::Tick => self.tick(now_ms),
            ShardInput::Command { command, request } => self.command(now_ms, command, request),
            ShardInput::Store { call, result } => self.store_result(now_ms, call, result),
            ShardInput::Peer { call, result } => self.peer_result(now_ms, call, &result),
            ShardInput::Upstream { call, result } => self.upstream_result(now_ms, call, result),
            ShardInput::Config(config) => self.set_config(config),
            ShardInput::Hosts(hosts) => self.set_hosts(now_ms, hosts),
            ShardInput::Peers(peers) => self.peers = peers,
            ShardInput::Shutdown => self.begin_shutdown(now_ms),
        }
        self.finish_step(now_ms);
        self.desk.take_effects()
    }

    /// Returns the phase of ownership.
    #[must_use]
    pub fn phase(&self) -> OwnershipPhase {
        self.phase
    }

    /// Returns the epoch under which this host owns the shard, if it does.
    #[must_use]
    pub fn owned_epoch(&self) -> Option<u64> {
        let owns = matches!(self.phase, OwnershipPhase::Owning);
        self.owner.as_ref().filter(|_| owns).map(OwnerState::epoch)
    }

    /// Tells whether this host owns the shard or is about to, so that it can't promise to keep off.
    #[must_use]
    pub fn may_promise(&self) -> bool {
        matches!(
            self.phase,
            OwnershipPhase::Standby | OwnershipPhase::Stopped
        )
    }

    /// Tells whether something is to be written, placed or taken over soon.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        match self.phase {
            OwnershipPhase::Standby | OwnershipPhase::Stopped => false,
            OwnershipPhase::Owning => self.owner.as_ref().is_some_and(OwnerState::is_busy),
            _ => true,
        }
    }

    /// Returns what the other entry hosts are told of the shard, if this host owns it.
    #[must_use]
    pub fn summary(&self, now_ms: u64) -> Option<ShardSummary> {
        let starting = self.phase == OwnershipPhase::Owning && self.starts_permitted(now_ms);
        self.owner
            .as_ref()
            .map(|owner| owner.summary(now_ms, starting))
    }

    /// Returns the owner's state for checks by tests and benchmarks.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerState> {
        self.owner.as_ref()
    }

    pub(super) fn advance(&mut self, event: OwnershipEvent) -> bool {
        let Some(next) = ownership_chart().next(self.phase, event) else {
            return false;
        };
        let detail = format!("shard {} {:?} -> {next:?}", self.identity.shard, self.phase);
        self.desk.event(EventCode::OwnershipPhase, detail);
        self.phase = next;
        true
    }

    /// Drops everything that belongs to ownership and answers what can still be answered truly.
    pub(super) fn step_down(&mut self, now_ms: u64, detail: &str) {
        if let Some(mut owner) = self.owner.take() {
            self.desk.event(
                EventCode::OwnerDeposed,
                format!("shard {}: {detail}", self.identity.shard),
            );
            owner.answer_waiters(&mut self.desk);
        }
        self.desk.forget_calls();
        if let Some(lease) = self.lease.take() {
            self.desk
                .call_store(StoreCall::LeaseRevoke { lease }, CallPurpose::ReleaseLease);
        }
        self.claim = ClaimState::default();
        self.next_poll_ms = now_ms + self.timing.owner_poll_ms;
        self.advance(OwnershipEvent::Failed);
    }

    /// Runs a function of the owner, if there is one, with the rest of the machine as its context.
    pub(super) fn with_owner(
        &mut self,
        now_ms: u64,
        act: impl FnOnce(&mut OwnerState, &mut StepContext<'_>),
    ) {
        let may_start = self.phase == OwnershipPhase::Owning && self.starts_permitted(now_ms);
        let bound_held = now_ms < self.bound_ms();
        let Some(owner) = &mut self.owner else {
            return;
        };
        let mut context = StepContext {
            now_ms,
            identity: &self.identity,
            keys: &self.keys,
            timing: &self.timing,
            config: &self.config,
            peers: &self.peers,
            desk: &mut self.desk,
            may_start,
            bound_held,
            owning: self.phase == OwnershipPhase::Owning,
        };
        act(owner, &mut context);
    }

    /// Returns until when no other host can have taken over, in milliseconds.
    fn bound_ms(&self) -> u64 {
        self.lease
            .valid_until_ms()
            .max(self.peers.peers_promised_until_ms)
    }

    /// Tells whether tasks may start now.
    fn starts_permitted(&self, now_ms: u64) -> bool {
        let Some(domain) = self.config.domains.get(&self.identity.domain) else {
            return false;
        };
        let stale_ms = self
            .peers
            .config_stale_since_ms
            .map_or(0, |since| now_ms.saturating_sub(since));
        let known = self.peers.config_stale_since_ms.is_none()
            || stale_ms < u64::from(domain.when_cut_off_s) * 1000;
        now_ms < self.bound_ms() && domain.in_service && known
    }

    fn tick(&mut self, now_ms: u64) {
        match self.phase {
            OwnershipPhase::Standby => self.look_for_owner(now_ms),
            OwnershipPhase::Claiming | OwnershipPhase::Reading | OwnershipPhase::Sealing => {
                self.tick_claim(now_ms);
                self.lease.tick(now_ms, &self.timing, false, &mut self.desk);
            }
            OwnershipPhase::Fencing | OwnershipPhase::Owning => {
                self.lease.tick(now_ms, &self.timing, true, &mut self.desk);
                self.with_owner(now_ms, OwnerState::tick);
            }
            OwnershipPhase::Releasing => {
                self.with_owner(now_ms, OwnerState::tick);
                self.try_release(now_ms);
            }
            OwnershipPhase::Stopped => {}
        }
    }

    /// Ends a step: completes the take-over when it is due, and leaves an owner that was replaced.
    fn finish_step(&mut self, now_ms: u64) {
        if self.phase == OwnershipPhase::Fencing {
            self.finish_fencing(now_ms);
        }
        if self.phase == OwnershipPhase::Owning {
            self.with_owner(now_ms, OwnerState::run);
        }
        if let Some(reason) = self.owner.as_mut().and_then(OwnerState::take_deposed) {
            self.step_down(now_ms, &reason);
        }
    }

    fn finish_fencing(&mut self, now_ms: u64) {
        let ready = self
            .owner
            .as_ref()
            .is_some_and(|owner| owner.is_recovered(now_ms, &self.timing));
        if ready && now_ms < self.bound_ms() {
            self.with_owner(now_ms, OwnerState::complete_recovery);
            self.advance(OwnershipEvent::Fenced);
        }
    }

    fn look_for_owner(&mut self, now_ms: u64) {
        let heard_ms = self
            .peers
            .owner
            .as_ref()
            .map_or(0, |owner| owner.heard_ms + self.timing.owner_silence_ms);
        let known = self
            .config
            .shards()
            .any(|shard| shard == self.identity.shard)
            && self.hosts.is_some();
        let promised = now_ms < self.peers.own_promise_until_ms;
        if !known || promised || now_ms < heard_ms || now_ms < self.next_poll_ms {
            return;
        }
        self.next_poll_ms = now_ms + self.timing.owner_poll_ms;
        self.desk.call_store(
            StoreCall::Get {
                key: self.keys.owner(),
            },
            CallPurpose::FindOwner,
        );
    }

    fn command(&mut self, now_ms: u64, command: CommandId, request: ShardCommand) {
        if self.phase != OwnershipPhase::Owning {
            let detail = format!(
                "host {} does not own shard {}",
                self.identity.host, self.identity.shard
            );
            let refusal = Refusal::not_run(RefusalCode::NotOwner, detail);
            self.desk
                .refuse(command, refusal.retry_after(self.timing.owner_poll_ms));
            return;
        }
        self.with_owner(now_ms, |owner, context| {
            owner.command(context, command, request);
        });
    }

    fn store_result(&mut self, now_ms: u64, call: CallId, result: Result<StoreReply, CallFailure>) {
        let Some(purpose) = self.desk.take_purpose(call) else {
            return;
        };
        match purpose {
            CallPurpose::FindOwner => self.owner_found(now_ms, &result),
            CallPurpose::RenewLease { sent_ms } => self.lease_renewed(now_ms, sent_ms, &result),
            CallPurpose::ReclaimLease => self.lease_regranted(now_ms, &result),
            CallPurpose::ReclaimOwner { lease, sent_ms } => {
                self.owner_reclaimed(now_ms, lease, sent_ms, &result);
            }
            CallPurpose::CheckEpoch { lease, sent_ms } => {
                self.epoch_checked(now_ms, lease, sent_ms, &result);
            }
            CallPurpose::ReleaseLease => self.lease_released(),
            CallPurpose::WriteSegment
            | CallPurpose::Snapshot
            | CallPurpose::ReadLimits
            | CallPurpose::ReadLimit { .. }
            | CallPurpose::WriteLimit { .. } => {
                self.with_owner(now_ms, |owner, context| {
                    owner.store_result(context, &purpose, result);
                });
            }
            _ => self.claim_result(now_ms, &purpose, result),
        }
    }

    fn upstream_result(
        &mut self,
        now_ms: u64,
        call: CallId,
        result: Result<UpstreamReply, CallFailure>,
    ) {
        let Some(purpose) = self.desk.take_purpose(call) else {
            return;
        };
        self.with_owner(now_ms, |owner, context| {
            owner.upstream_result(context, &purpose, result);
        });
    }

    fn peer_result(&mut self, now_ms: u64, call: CallId, result: &Result<ShardReply, CallFailure>) {
        let Some(purpose) = self.desk.take_purpose(call) else {
            return;
        };
        self.with_owner(now_ms, |owner, context| {
            owner.peer_result(context, &purpose, result);
        });
    }

    /// Puts a configuration into force, unless a newer one is.
    fn set_config(&mut self, config: Arc<ApprovedConfig>) {
        if config.revision >= self.config.revision {
            self.config = config;
        }
    }

    fn set_hosts(&mut self, now_ms: u64, hosts: Vec<HostEntry>) {
        let ours = hosts.into_iter().filter(|host| {
            let domain = DomainName::from(host.failure_domain.as_str());
            let shard = self.config.upstream_shard(&domain, &host.name);
            shard.as_ref() == Some(&self.identity.shard)
        });
        let hosts: BTreeMap<UpstreamName, HostEntry> = ours
            .map(|host| (UpstreamName::from(host.name.as_str()), host))
            .collect();
        if let Some(owner) = &mut self.owner {
            owner.set_hosts(now_ms, &hosts);
        }
        self.hosts = Some(hosts);
    }

    fn begin_shutdown(&mut self, now_ms: u64) {
        self.release_until_ms = now_ms + self.timing.release_ms;
        if self.phase == OwnershipPhase::Owning {
            self.with_owner(now_ms, OwnerState::refuse_waiting);
            self.advance(OwnershipEvent::Shutdown);
            return;
        }
        if self.advance(OwnershipEvent::Shutdown) {
            self.give_lease_back();
            self.owner = None;
        }
    }

    /// Gives the lease back once the journal is complete, or at the latest when the time is over.
    fn try_release(&mut self, now_ms: u64) {
        let idle = self.owner.as_ref().is_none_or(OwnerState::is_idle);
        if !idle && now_ms < self.release_until_ms {
            return;
        }
        if let Some(mut owner) = self.owner.take() {
            owner.answer_waiters(&mut self.desk);
            if !self.give_lease_back() {
                self.advance(OwnershipEvent::Released);
            }
        } else if now_ms >= self.release_until_ms {
            self.advance(OwnershipEvent::Released);
        }
    }

    fn give_lease_back(&mut self) -> bool {
        let Some(lease) = self.lease.take() else {
            return false;
        };
        self.desk
            .call_store(StoreCall::LeaseRevoke { lease }, CallPurpose::ReleaseLease);
        true
    }

    fn lease_released(&mut self) {
        if self.phase == OwnershipPhase::Releasing {
            self.advance(OwnershipEvent::Released);
        }
    }
}
