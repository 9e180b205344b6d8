//! State machine of one host's ownership of one shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::HostEntry;

use crate::document::ApprovedConfig;
use crate::event::EventCode;
use crate::journal::ShardKeys;
use crate::model::{DomainName, HostName, ShardName, UpstreamName};
use crate::shard::effect_buffer::{CallPurpose, EffectBuffer};
use crate::shard::messages::{
    CallFailure, CallId, CommandId, PeerView, Refusal, RefusalCode, ShardCommand, ShardEffect,
    ShardInput, ShardReply, ShardSummary, UpstreamReply,
};
use crate::shard::owner::{OwnerState, StepContext};
use crate::shard::phase::{OwnershipEvent, OwnershipPhase, ownership_chart};
use crate::shard::store_lease::StoreLease;
use crate::shard::takeover::TakeoverState;
use crate::shard::timing::ShardTiming;

/// Identifies a shard and a host that may own it.
#[derive(Clone, Debug)]
pub struct ShardIdentity {
    /// The shard.
    pub shard: ShardName,
    /// Failure domain of the shard.
    pub domain: DomainName,
    /// This entry host.
    pub host: HostName,
    /// Unique number of this run of the daemon process.
    pub incarnation: u64,
}

/// Controls one host's ownership of one shard.
#[derive(Clone, Debug)]
pub struct ShardController {
    pub(super) identity: ShardIdentity,
    pub(super) keys: ShardKeys,
    pub(super) timing: ShardTiming,
    pub(super) phase: OwnershipPhase,
    pub(super) config: Arc<ApprovedConfig>,
    pub(super) peer_view: PeerView,
    /// The shard's upstreams in the platform's latest list; none before the first list.
    pub(super) listed_upstreams: Option<BTreeMap<UpstreamName, HostEntry>>,
    pub(super) effects: EffectBuffer,
    pub(super) lease: StoreLease,
    pub(super) takeover: TakeoverState,
    /// Set in the phases fencing and owning, and in the phase releasing until the journal is
    /// complete or the release times out.
    pub(super) owner: Option<OwnerState>,
    next_owner_poll_ms: u64,
    release_deadline_ms: u64,
}

impl ShardController {
    /// Creates a controller in the standby phase.
    #[must_use]
    pub fn new(identity: ShardIdentity, timing: ShardTiming) -> Self {
        Self {
            keys: ShardKeys::new(&identity.shard),
            identity,
            timing,
            phase: ownership_chart().initial(),
            config: Arc::default(),
            peer_view: PeerView::default(),
            listed_upstreams: None,
            effects: EffectBuffer::default(),
            lease: StoreLease::default(),
            takeover: TakeoverState::default(),
            owner: None,
            next_owner_poll_ms: 0,
            release_deadline_ms: 0,
        }
    }

    /// Processes one input at the given time, in milliseconds, and returns the effects to carry
    /// out.
    pub fn step(&mut self, now_ms: u64, input: ShardInput) -> Vec<ShardEffect> {
        match input {
            ShardInput::Tick => self.tick(now_ms),
            ShardInput::Command {
                command_id,
                command,
            } => {
                self.handle_command(now_ms, command_id, command);
            }
            ShardInput::Store { call_id, result } => {
                self.handle_store_result(now_ms, call_id, result);
            }
            ShardInput::Shard { call_id, result } => {
                self.handle_shard_result(now_ms, call_id, &result);
            }
            ShardInput::Upstream { call_id, result } => {
                self.handle_upstream_result(now_ms, call_id, result);
            }
            ShardInput::Config(config) => self.set_config(config),
            ShardInput::UpstreamList(listed) => self.set_listed_upstreams(now_ms, listed),
            ShardInput::PeerView(peer_view) => self.peer_view = peer_view,
            ShardInput::Shutdown => self.begin_shutdown(now_ms),
        }
        self.finish_step(now_ms);
        self.effects.drain()
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

    /// Returns whether this host may promise its peers not to take over the shard. It may not while
    /// it takes over or owns the shard.
    #[must_use]
    pub fn may_promise(&self) -> bool {
        matches!(
            self.phase,
            OwnershipPhase::Standby | OwnershipPhase::Stopped
        )
    }

    /// Returns whether frequent ticks are needed: records wait to be written, tasks wait to be
    /// placed, or a takeover or shutdown is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        match self.phase {
            OwnershipPhase::Standby | OwnershipPhase::Stopped => false,
            OwnershipPhase::Owning => self
                .owner
                .as_ref()
                .is_some_and(OwnerState::has_pending_work),
            _ => true,
        }
    }

    /// Returns the summary for the other entry hosts, if this host owns the shard.
    #[must_use]
    pub fn summary(&self, now_ms: u64) -> Option<ShardSummary> {
        let starting = self.phase == OwnershipPhase::Owning && self.may_start_tasks(now_ms);
        self.owner
            .as_ref()
            .map(|owner| owner.summary(now_ms, starting))
    }

    /// Returns the owner's state, for inspection by tests and benchmarks.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerState> {
        self.owner.as_ref()
    }

    pub(super) fn advance(&mut self, event: OwnershipEvent) -> bool {
        let Some(next) = ownership_chart().next(self.phase, event) else {
            return false;
        };
        let detail = format!("shard {} {:?} -> {next:?}", self.identity.shard, self.phase);
        self.effects.log_event(EventCode::OwnershipPhase, detail);
        self.phase = next;
        true
    }

    /// Ends the ownership or an unfinished takeover: drops its state, revokes the lease and replies
    /// to waiting commands with what is known about their work.
    pub(super) fn step_down(&mut self, now_ms: u64, detail: &str) {
        if let Some(mut owner) = self.owner.take() {
            self.effects.log_event(
                EventCode::OwnerDeposed,
                format!("shard {}: {detail}", self.identity.shard),
            );
            owner.refuse_pending_commands(&mut self.effects);
        }
        self.effects.discard_calls();
        if let Some(lease) = self.lease.take() {
            self.effects
                .call_store(StoreCall::LeaseRevoke { lease }, CallPurpose::ReleaseLease);
        }
        self.takeover = TakeoverState::default();
        self.next_owner_poll_ms = now_ms + self.timing.owner_poll_interval_ms;
        self.advance(OwnershipEvent::Failed);
    }

    /// Runs `action` on the owner's state, if this host has one, with a context built from the
    /// other fields.
    pub(super) fn with_owner(
        &mut self,
        now_ms: u64,
        action: impl FnOnce(&mut OwnerState, &mut StepContext<'_>),
    ) {
        let may_start = self.phase == OwnershipPhase::Owning && self.may_start_tasks(now_ms);
        let exclusive = now_ms < self.exclusive_until_ms();
        let Some(owner) = &mut self.owner else {
            return;
        };
        let mut context = StepContext {
            now_ms,
            identity: &self.identity,
            keys: &self.keys,
            timing: &self.timing,
            config: &self.config,
            peer_view: &self.peer_view,
            effects: &mut self.effects,
            may_start,
            exclusive,
            owning: self.phase == OwnershipPhase::Owning,
        };
        action(owner, &mut context);
    }

    /// Returns the time until which no other host can have taken over, in milliseconds.
    fn exclusive_until_ms(&self) -> u64 {
        self.lease
            .valid_until_ms()
            .max(self.peer_view.peers_promised_until_ms)
    }

    /// Returns whether tasks may start now. They may only while the ownership is exclusive and the
    /// failure domain is in service. `when_cut_off_s` limits how long they may start on a host that
    /// may have missed newer documents.
    fn may_start_tasks(&self, now_ms: u64) -> bool {
        let Some(domain) = self.config.domains.get(&self.identity.domain) else {
            return false;
        };
        let stale_ms = self
            .peer_view
            .config_stale_since_ms
            .map_or(0, |since| now_ms.saturating_sub(since));
        let fresh = self.peer_view.config_stale_since_ms.is_none()
            || stale_ms < u64::from(domain.when_cut_off_s) * 1000;
        now_ms < self.exclusive_until_ms() && domain.in_service && fresh
    }

    fn tick(&mut self, now_ms: u64) {
        match self.phase {
            OwnershipPhase::Standby => self.poll_owner_key(now_ms),
            OwnershipPhase::Claiming | OwnershipPhase::Reading | OwnershipPhase::Sealing => {
                self.tick_takeover(now_ms);
                self.lease
                    .tick(now_ms, &self.timing, false, &mut self.effects);
            }
            OwnershipPhase::Fencing | OwnershipPhase::Owning => {
                self.lease
                    .tick(now_ms, &self.timing, true, &mut self.effects);
                self.with_owner(now_ms, OwnerState::tick);
            }
            OwnershipPhase::Releasing => {
                self.with_owner(now_ms, OwnerState::tick);
                self.try_release(now_ms);
            }
            OwnershipPhase::Stopped => {}
        }
    }

    /// Finishes a step: completes a recovery that is ready, lets the owner process pending work,
    /// and steps down if the owner was superseded.
    fn finish_step(&mut self, now_ms: u64) {
        if self.phase == OwnershipPhase::Fencing {
            self.try_complete_recovery(now_ms);
        }
        if self.phase == OwnershipPhase::Owning {
            self.with_owner(now_ms, OwnerState::process_pending);
        }
        if let Some(reason) = self
            .owner
            .as_mut()
            .and_then(OwnerState::take_step_down_reason)
        {
            self.step_down(now_ms, &reason);
        }
    }

    fn try_complete_recovery(&mut self, now_ms: u64) {
        let ready = self
            .owner
            .as_ref()
            .is_some_and(|owner| owner.is_recovered(now_ms, &self.timing));
        if ready && now_ms < self.exclusive_until_ms() {
            self.with_owner(now_ms, OwnerState::complete_recovery);
            self.advance(OwnershipEvent::Fenced);
        }
    }

    fn poll_owner_key(&mut self, now_ms: u64) {
        let silent_from_ms = self.peer_view.owner.as_ref().map_or(0, |owner| {
            owner.heard_ms + self.timing.owner_silence_timeout_ms
        });
        // A takeover needs the list of upstreams, to know which ones to fence.
        let is_ready = self
            .config
            .shards()
            .any(|shard| shard == self.identity.shard)
            && self.listed_upstreams.is_some();
        let promised = now_ms < self.peer_view.own_promise_until_ms;
        if !is_ready || promised || now_ms < silent_from_ms || now_ms < self.next_owner_poll_ms {
            return;
        }
        self.next_owner_poll_ms = now_ms + self.timing.owner_poll_interval_ms;
        self.effects.call_store(
            StoreCall::Get {
                key: self.keys.owner(),
            },
            CallPurpose::FindOwner,
        );
    }

    fn handle_command(&mut self, now_ms: u64, command_id: CommandId, command: ShardCommand) {
        if self.phase != OwnershipPhase::Owning {
            let detail = format!(
                "host {} does not own shard {}",
                self.identity.host, self.identity.shard
            );
            let refusal = Refusal::not_run(RefusalCode::NotOwner, detail);
            self.effects.refuse(
                command_id,
                refusal.retry_after(self.timing.owner_poll_interval_ms),
            );
            return;
        }
        self.with_owner(now_ms, |owner, context| {
            owner.handle_command(context, command_id, command);
        });
    }

    fn handle_store_result(
        &mut self,
        now_ms: u64,
        call_id: CallId,
        result: Result<StoreReply, CallFailure>,
    ) {
        let Some(purpose) = self.effects.take_purpose(call_id) else {
            return;
        };
        match purpose {
            CallPurpose::FindOwner => self.handle_owner_lookup(now_ms, &result),
            CallPurpose::RenewLease { sent_ms } => self.handle_renewal(now_ms, sent_ms, &result),
            CallPurpose::ReclaimLease => self.handle_reclaimed_lease(now_ms, &result),
            CallPurpose::ReclaimOwner { lease_id, sent_ms } => {
                self.handle_reclaimed_owner_key(now_ms, lease_id, sent_ms, &result);
            }
            CallPurpose::CheckEpoch { lease_id, sent_ms } => {
                self.handle_epoch_check(now_ms, lease_id, sent_ms, &result);
            }
            CallPurpose::ReleaseLease => self.lease_released(),
            CallPurpose::WriteSegment
            | CallPurpose::Snapshot
            | CallPurpose::ReadLimits
            | CallPurpose::ReadLimit { .. }
            | CallPurpose::WriteLimit { .. } => {
                self.with_owner(now_ms, |owner, context| {
                    owner.handle_store_result(context, &purpose, result);
                });
            }
            _ => self.handle_takeover_result(now_ms, &purpose, result),
        }
    }

    fn handle_upstream_result(
        &mut self,
        now_ms: u64,
        call_id: CallId,
        result: Result<UpstreamReply, CallFailure>,
    ) {
        let Some(purpose) = self.effects.take_purpose(call_id) else {
            return;
        };
        self.with_owner(now_ms, |owner, context| {
            owner.handle_upstream_result(context, &purpose, result);
        });
    }

    fn handle_shard_result(
        &mut self,
        now_ms: u64,
        call_id: CallId,
        result: &Result<ShardReply, CallFailure>,
    ) {
        let Some(purpose) = self.effects.take_purpose(call_id) else {
            return;
        };
        self.with_owner(now_ms, |owner, context| {
            owner.handle_shard_result(context, &purpose, result);
        });
    }

    /// Puts a configuration into force, unless a newer one already is.
    fn set_config(&mut self, config: Arc<ApprovedConfig>) {
        if config.revision >= self.config.revision {
            self.config = config;
        }
    }

    fn set_listed_upstreams(&mut self, now_ms: u64, listed: Vec<HostEntry>) {
        let own = listed.into_iter().filter(|entry| {
            let domain = DomainName::from(entry.failure_domain.as_str());
            let shard = self.config.upstream_shard(&domain, &entry.name);
            shard.as_ref() == Some(&self.identity.shard)
        });
        let listed: BTreeMap<UpstreamName, HostEntry> = own
            .map(|entry| (UpstreamName::from(entry.name.as_str()), entry))
            .collect();
        if let Some(owner) = &mut self.owner {
            owner.set_listed_upstreams(now_ms, &listed);
        }
        self.listed_upstreams = Some(listed);
    }

    fn begin_shutdown(&mut self, now_ms: u64) {
        self.release_deadline_ms = now_ms + self.timing.release_timeout_ms;
        if self.phase == OwnershipPhase::Owning {
            self.with_owner(now_ms, OwnerState::refuse_waiting_requests);
            self.advance(OwnershipEvent::Shutdown);
            return;
        }
        if self.advance(OwnershipEvent::Shutdown) {
            self.release_lease();
            self.owner = None;
        }
    }

    /// Revokes the lease once the journal is complete, or when the release timeout expires.
    fn try_release(&mut self, now_ms: u64) {
        let committed = self
            .owner
            .as_ref()
            .is_none_or(OwnerState::is_journal_committed);
        if !committed && now_ms < self.release_deadline_ms {
            return;
        }
        if let Some(mut owner) = self.owner.take() {
            owner.refuse_pending_commands(&mut self.effects);
            if !self.release_lease() {
                self.advance(OwnershipEvent::Released);
            }
        } else if now_ms >= self.release_deadline_ms {
            self.advance(OwnershipEvent::Released);
        }
    }

    fn release_lease(&mut self) -> bool {
        let Some(lease) = self.lease.take() else {
            return false;
        };
        self.effects
            .call_store(StoreCall::LeaseRevoke { lease }, CallPurpose::ReleaseLease);
        true
    }

    fn lease_released(&mut self) {
        if self.phase == OwnershipPhase::Releasing {
            self.advance(OwnershipEvent::Released);
        }
    }
}
