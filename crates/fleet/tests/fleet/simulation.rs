//! Simulation of a fleet in virtual time: a store, upstreams, owners, and faults between them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    ApprovedConfig, DirectoryRead, ProgressRecord, RejectReason, RenewReply, ResourceSize,
    RunOutcome, StartOutcome, StopOutcome, SubmissionRecord, SubmissionState, TaskName,
    UpstreamReport,
};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, CrashReport, DeferralReport, DepartedUpstream, HeldRuns,
    HeldRunsRelease, MissingFinishedRuns, OwnerEffect, OwnerMachine, OwnerSettings, PolicyDecision,
    QuarantineReport, QueryOutcome, RecoveredState, RecoveryBound, RenewOrder, RestartReport,
    RestoreReport, RosterEntry, StartOrder, StopOrder, StoredSubmission,
};

use crate::fixtures::{directory_read, report};
use crate::invariant_checks::FinishedRunKey;
use crate::late_orders::OrderKind;
use lagoonnotch_model::SimulatedUpstream;

/// Interval between two ticks of the owner, in milliseconds.
const TICK_MS: u64 = 5;

/// Interval between two reports of an upstream to the directory, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1500;

/// Time from a commit until the store has written it, in milliseconds.
const COMMIT_MS: u64 = 4;

/// Time after which a run fails that always does, in milliseconds.
const FAILURE_MS: u64 = 200;

/// Time after which a crashed upstream is back, in milliseconds.
const DOWNTIME_MS: u64 = 3000;

/// Deterministic random source.
#[derive(Clone, Debug)]
pub struct RandomSource(pub u64);

impl RandomSource {
    /// Returns a number from 0 to below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }

    /// Returns true with a probability in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// The reading of an upstream's clock in its reply to a start or stop order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyClock {
    /// Time at which the order was sent.
    sent_at: u64,
    clock_ms: u64,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// A start order, the time at which it was sent, the invariants that a run would violate that
    /// an upstream begins on it, and whether it is executed seconds late and not replied to.
    Start(StartOrder, u64, Vec<String>, bool),
    /// A start order, its outcome, `None` if it is not replied to, and the reading in the reply.
    Started(StartOrder, Option<StartOutcome>, Option<ReplyClock>),
    /// A stop order and the time at which it was sent.
    Stop(StopOrder, u64),
    /// A stop order that is executed seconds late and not replied to.
    LateStop(StopOrder),
    /// A stop order, its outcome and the reading in the reply.
    Stopped(StopOrder, StopOutcome, Option<ReplyClock>),
    /// A renewal and the time at which it was sent.
    Renew(RenewOrder, u64),
    /// A renewal that is executed seconds late and not replied to.
    LateRenew(RenewOrder),
    /// A renewal, the time at which it was sent, and the reply: `None` if there was none, an error
    /// if the upstream has seen a higher epoch.
    Renewed(RenewOrder, u64, Option<Result<RenewReply, ()>>),
    /// The epoch of the owner and its commit.
    Commit(u64, CommitBatch),
    /// The epoch of the owner, its commit and the outcome.
    Committed(u64, CommitBatch, CommitOutcome),
    /// The epoch of the owner, the number of its query and the upstreams that the query names.
    Query(u64, u64, Vec<Arc<str>>),
}

/// Probabilities of faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Start orders whose reply is lost.
    pub lost_replies: u64,
    /// Start orders without a reply that are executed seconds later.
    pub late_orders: u64,
    /// Renewals and stop orders without a reply that are executed seconds later.
    pub late_renewals: u64,
    /// Runs that fail.
    pub failures: u64,
    /// Commits that are stored but whose reply is lost.
    pub lost_commits: u64,
    /// Queries to the policy service that fail.
    pub failed_queries: u64,
}

/// The simulated fleet.
pub struct FleetSimulation {
    pub now: u64,
    pub random: RandomSource,
    pub faults: FaultRates,
    /// Longest delay of an order that is executed late, in milliseconds.
    pub longest_delay_ms: u64,
    /// Time after which a new incarnation reports to the directory, in milliseconds.
    pub first_report_delay_ms: u64,
    /// Whether late starts are lost that would reach an incarnation before any order that was sent
    /// in its lifetime.
    pub lose_starts_before_contact: bool,
    /// Incarnations that have executed a renewal that was sent in their lifetime.
    pub(crate) contacted: BTreeSet<(Arc<str>, u64)>,
    pub owner: Option<OwnerMachine>,
    /// An owner that was replaced and does not know it yet, and the time until which it acts.
    pub previous: Option<(OwnerMachine, u64)>,
    /// Whether the last owner was lost, so that it does not confirm that it stepped down.
    pub predecessor_lost: bool,
    /// Upstreams that are cut off together with the previous owner, which reaches neither others
    /// nor the store.
    pub cut_off_with_previous: BTreeSet<Arc<str>>,
    /// Bound on the leases of the previous owner for which a new one waits, in milliseconds; `None`
    /// if it does not bound them.
    pub previous_lease_bound_ms: Option<u64>,
    /// Upstreams whose next order of a kind is intercepted.
    pub(crate) to_intercept: Vec<(Arc<str>, OrderKind)>,
    /// Orders that got no reply and are executed when the test says so.
    pub(crate) intercepted: Vec<Message>,
    /// Time at which the store last showed that an owner owned the fleet.
    confirmed_at: u64,
    pub upstreams: BTreeMap<Arc<str>, SimulatedUpstream>,
    /// Upstreams that no message reaches, and until when.
    pub partitioned: HashMap<Arc<str>, u64>,
    /// Upstreams whose reports do not reach the store, and since when.
    pub cut_off_from_store: HashMap<Arc<str>, u64>,
    /// Upstreams whose directory entries another writer has made unreadable.
    pub unreadable: BTreeSet<Arc<str>>,
    /// Time until which the owner cannot read the directory.
    pub directory_unreadable_until: u64,
    pub config: Arc<ApprovedConfig>,
    /// Submissions with their records and store revisions.
    pub submissions: BTreeMap<Arc<str>, (Arc<SubmissionRecord>, u64)>,
    pub cancelled: BTreeSet<Arc<str>>,
    /// Submissions of which the store keeps only the final state.
    pub ended: BTreeSet<Arc<str>>,
    pub progress: HashMap<Arc<str>, ProgressRecord>,
    pub roster: Vec<RosterEntry>,
    roster_written_at: u64,
    /// Time after which other hosts notice that the roster was written, in milliseconds.
    pub roster_sighting_delay_ms: u64,
    /// Upstreams of which new owners know that they have left.
    pub departed: Vec<DepartedUpstream>,
    /// How much earlier than a draining upstream's report the time is that reads of the directory
    /// give for it, in milliseconds; `None` if they give none.
    pub report_age_error_ms: Option<u64>,
    /// Lead of the owner's wall clock over its steady clock, in milliseconds.
    pub wall_clock_lead_ms: u64,
    pub epoch: u64,
    /// Number of owners so far.
    pub generation: u32,
    revision: u64,
    /// Messages in transit, by time of delivery and sequence number.
    in_transit: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    next_directory_at: u64,
    /// Descriptions of the invariants that were violated.
    pub violations: Vec<String>,
    /// Tasks that the store recorded as done when a renewal acknowledged finished runs.
    pub acknowledged_tasks: BTreeSet<TaskName>,
    /// Finished runs that an owner has seen in a reply.
    pub listed_finished: BTreeSet<FinishedRunKey>,
    /// Finished runs of tasks that were done, after which the task began again before the run was
    /// acknowledged.
    pub repeated_done: BTreeSet<FinishedRunKey>,
    /// Start orders that were sent.
    pub started: Vec<StartOrder>,
    /// Stop orders that were sent.
    pub stopped: Vec<StopOrder>,
    /// Step and number of upstreams of each query to the policy service.
    pub queries: Vec<(String, usize)>,
    /// Upstreams that the policy service allows; `None` allows all.
    pub allowed: Option<BTreeSet<Arc<str>>>,
    /// Number of hosts that may query the policy service; read at a takeover.
    pub query_hosts: u32,
    /// Duration of a query to the policy service, in milliseconds.
    pub query_ms: u64,
    /// Time from a commit until the store has written it, in milliseconds.
    pub commit_ms: u64,
    /// Duration of each run, in milliseconds; `None` draws it at random.
    pub run_ms: Option<u64>,
    /// Whether commits are neither stored nor replied to.
    pub store_unavailable: bool,
    /// Tasks that crash the upstream that starts them.
    pub deadly: BTreeSet<TaskName>,
    /// Submissions whose runs fail on every upstream.
    pub failing_submissions: BTreeSet<Arc<str>>,
    /// Upstreams that fail every run.
    pub failing_upstreams: BTreeSet<Arc<str>>,
    /// Crashes that the owner reported.
    pub crashes: Vec<CrashReport>,
    /// Bounds on the leases of earlier owners that new owners reported.
    pub recovery_bounds: Vec<RecoveryBound>,
    /// Runs on silent upstreams that the owner reported as held.
    pub held: Vec<HeldRuns>,
    /// Reported ends of such waits.
    pub releases: Vec<HeldRunsRelease>,
    /// Reported answers of new incarnations.
    pub restarts: Vec<RestartReport>,
    /// Reported finished runs that upstreams have forgotten.
    pub missing_finished: Vec<MissingFinishedRuns>,
    /// Reported quarantines of upstreams.
    pub quarantines: Vec<QuarantineReport>,
    /// Reported beginnings of deferrals of teams.
    pub deferrals: Vec<DeferralReport>,
    /// Reported ends of deferrals.
    pub restores: Vec<RestoreReport>,
    /// Starts that were rejected because of their ticket: when, and the upstream.
    pub rejected_tickets: Vec<(u64, Arc<str>)>,
}

impl FleetSimulation {
    pub fn new(seed: u64, config: Arc<ApprovedConfig>, upstreams: u32) -> Self {
        let mut random = RandomSource(seed);
        let upstreams = (0..upstreams)
            .map(|number| {
                let id = format!("u{number}");
                let offset = 1000 + random.below(100_000);
                (
                    Arc::from(id.as_str()),
                    SimulatedUpstream::new(&id, 1, offset),
                )
            })
            .collect();
        Self {
            now: 10_000,
            random,
            faults: FaultRates::default(),
            longest_delay_ms: 8000,
            first_report_delay_ms: 0,
            lose_starts_before_contact: false,
            contacted: BTreeSet::new(),
            owner: None,
            previous: None,
            predecessor_lost: false,
            cut_off_with_previous: BTreeSet::new(),
            to_intercept: Vec::new(),
            intercepted: Vec::new(),
            previous_lease_bound_ms: Some(OwnerSettings::default().lease_bound_ms),
            confirmed_at: 0,
            upstreams,
            partitioned: HashMap::new(),
            cut_off_from_store: HashMap::new(),
            unreadable: BTreeSet::new(),
            directory_unreadable_until: 0,
            config,
            submissions: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            ended: BTreeSet::new(),
            progress: HashMap::new(),
            roster: Vec::new(),
            roster_written_at: 0,
            roster_sighting_delay_ms: 0,
            departed: Vec::new(),
            report_age_error_ms: None,
            wall_clock_lead_ms: 0,
            epoch: 0,
            generation: 0,
            revision: 1,
            in_transit: BTreeMap::new(),
            sequence: 0,
            next_directory_at: 0,
            violations: Vec::new(),
            acknowledged_tasks: BTreeSet::new(),
            listed_finished: BTreeSet::new(),
            repeated_done: BTreeSet::new(),
            started: Vec::new(),
            stopped: Vec::new(),
            queries: Vec::new(),
            allowed: None,
            query_hosts: 1,
            query_ms: 500,
            commit_ms: COMMIT_MS,
            run_ms: None,
            store_unavailable: false,
            deadly: BTreeSet::new(),
            failing_submissions: BTreeSet::new(),
            failing_upstreams: BTreeSet::new(),
            crashes: Vec::new(),
            recovery_bounds: Vec::new(),
            held: Vec::new(),
            releases: Vec::new(),
            restarts: Vec::new(),
            missing_finished: Vec::new(),
            quarantines: Vec::new(),
            deferrals: Vec::new(),
            restores: Vec::new(),
            rejected_tickets: Vec::new(),
        }
    }

    /// Creates a new owner from the stored state.
    pub fn take_over(&mut self) {
        self.revision += 1;
        self.epoch = self.revision;
        let mut owner = OwnerMachine::new(
            OwnerSettings::default(),
            self.epoch,
            self.generation,
            self.config.clone(),
        );
        self.generation += 1;
        let submissions = self
            .submissions
            .iter()
            .filter(|(id, _)| !self.ended.contains(*id))
            .map(|(id, (record, _))| StoredSubmission {
                record: record.clone(),
                progress: self.progress.get(id).cloned(),
                cancelled: self.cancelled.contains(id),
            })
            .collect();
        owner.recover(
            self.now,
            RecoveredState {
                submissions,
                roster: self.roster.clone(),
                departed: self.departed.clone(),
                roster_written_by: self.roster_written_at + self.roster_sighting_delay_ms,
                revision: self.revision,
                stale_cancels: Vec::new(),
                previous_owner_active_ms: if self.previous.is_some() || self.predecessor_lost {
                    6000
                } else {
                    0
                },
                leases_expire_by: self.leases_expire_by(),
                leases_may_be_extended: false,
                claim_requested_at: self.now,
            },
        );
        self.predecessor_lost = false;
        self.confirmed_at = self.now;
        let hosts = (0..self.query_hosts).map(|number| Arc::from(format!("host{number}")));
        owner.set_query_hosts(&hosts.collect());
        self.owner = Some(owner);
        self.next_directory_at = 0;
    }

    /// Returns a time by which all leases have expired, as a new owner knows it.
    fn leases_expire_by(&self) -> Option<u64> {
        let confirmed_by = self.confirmed_at + self.roster_sighting_delay_ms;
        self.previous_lease_bound_ms
            .map(|bound_ms| confirmed_by + bound_ms)
    }

    /// Creates a new owner while the current one continues to act for a while.
    pub fn take_over_with_overlap(&mut self, overlap_ms: u64) {
        let until = self.now + overlap_ms;
        self.previous = self.owner.take().map(|owner| (owner, until));
        self.take_over();
    }

    /// Stores a submission and reports it to every owner. The submission's store revision tells
    /// whether it is newer than an owner's epoch.
    pub fn submit(&mut self, record: &Arc<SubmissionRecord>) {
        self.revision += 1;
        self.submissions
            .insert(record.id.clone(), (record.clone(), self.revision));
        let (now, revision) = (self.now, self.revision);
        for owner in self.owners_mut() {
            owner.add_submission(now, record.clone(), revision);
        }
    }

    fn owners_mut(&mut self) -> impl Iterator<Item = &mut OwnerMachine> {
        let previous = self.previous.as_mut().map(|(owner, _)| owner);
        self.owner.as_mut().into_iter().chain(previous)
    }

    pub fn cancel(&mut self, id: &str) {
        self.cancelled.insert(id.into());
        let now = self.now;
        for owner in self.owners_mut() {
            owner.cancel(now, id);
        }
    }

    /// Restarts an upstream under the same identifier, as after a crash; its runs are lost, and its
    /// clock starts anew.
    pub fn restart_upstream(&mut self, id: &str) {
        let offset = self.random.below(1000);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let incarnation = upstream.incarnation_unix_ms + 1;
            *upstream = SimulatedUpstream {
                former_incarnation_unix_ms: upstream.incarnation_unix_ms,
                clock_started_at: self.now,
                clock_speed_per_mille: upstream.clock_speed_per_mille,
                max_lease_ms: upstream.max_lease_ms,
                ..SimulatedUpstream::new(id, incarnation, offset)
            };
        }
    }

    /// Crashes an upstream; it is back under the same identifier after `DOWNTIME_MS`.
    pub fn crash_upstream(&mut self, id: &Arc<str>) {
        self.restart_upstream(id);
        self.partitioned.insert(id.clone(), self.now + DOWNTIME_MS);
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK_MS;
            self.deliver_due();
            for upstream in self.upstreams.values_mut() {
                upstream.advance(self.now);
            }
            self.tick_owner();
            self.tick_previous();
            self.check_duplicate_runs();
        }
    }

    /// Returns the state that callers are shown: the owner's, or else the stored one.
    pub fn state_of(&self, id: &str) -> Option<SubmissionState> {
        let stored = self.progress.get(id).filter(|_| self.ended.contains(id));
        let owner_state = self.owner.as_ref()?.state_of(id);
        owner_state.or(stored.map(|progress| progress.state))
    }

    fn tick_owner(&mut self) {
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        if self.now >= self.next_directory_at.max(self.directory_unreadable_until) {
            self.next_directory_at = self.now + 500;
            let reports = self
                .upstreams
                .values()
                .filter(|upstream| !self.unreadable.contains(&upstream.id))
                .filter_map(|upstream| self.directory_entry(upstream))
                .collect();
            let reports: Vec<_> = reports;
            let written_after = self
                .report_age_error_ms
                .map_or_else(BTreeMap::new, |error_ms| {
                    let draining = reports.iter().filter(|report| report.draining);
                    draining
                        .map(|report| (report.id.clone(), report.revision - error_ms))
                        .collect()
                });
            let read = DirectoryRead {
                unreadable: self.unreadable.clone(),
                written_after,
                ..directory_read(self.now, reports)
            };
            owner.set_directory(self.now, read);
        }
        self.tick_and_send(&mut owner);
        let stepped_down = owner.has_stepped_down();
        self.owner = (!stepped_down).then_some(owner);
    }

    /// Returns the entry that the store has of an upstream, if it has not expired. Virtual time
    /// serves as the store's revision.
    fn directory_entry(&self, upstream: &SimulatedUpstream) -> Option<UpstreamReport> {
        let cut_off_at = self.cut_off_from_store.get(&upstream.id);
        let reporting_until = cut_off_at.map_or(self.now, |at| self.now.min(*at));
        let written_at = reporting_until - reporting_until % REPORT_INTERVAL_MS;
        let expired = self.now >= written_at + 3 * REPORT_INTERVAL_MS;
        if upstream.unlisted || expired {
            return None;
        }
        let listed_at = upstream.clock_started_at + self.first_report_delay_ms;
        let incarnation_unix_ms = if reporting_until < listed_at {
            upstream.former_incarnation_unix_ms
        } else {
            upstream.incarnation_unix_ms
        };
        Some(UpstreamReport {
            incarnation_unix_ms,
            capacity: upstream.capacity,
            draining: upstream.draining,
            revision: written_at,
            ..report(&upstream.id)
        })
    }

    fn tick_previous(&mut self) {
        let Some((mut owner, until)) = self.previous.take() else {
            return;
        };
        self.tick_and_send(&mut owner);
        if !owner.has_stepped_down() && self.now < until {
            self.previous = Some((owner, until));
        }
    }

    /// Ticks an owner and sends its effects.
    fn tick_and_send(&mut self, owner: &mut OwnerMachine) {
        owner.tick(self.now, self.now + self.wall_clock_lead_ms, true);
        let epoch = owner.epoch();
        for effect in owner.take_effects() {
            self.send(epoch, effect);
        }
    }

    fn send(&mut self, epoch: u64, effect: OwnerEffect) {
        match effect {
            OwnerEffect::Renew(order) => self.push(1, Message::Renew(order, self.now)),
            OwnerEffect::Start(order) => {
                let mut violations = self.start_violations(&order);
                if epoch == self.epoch {
                    self.violations.append(&mut violations);
                }
                self.started.push(order.clone());
                self.push(1, Message::Start(order, self.now, violations, false));
            }
            OwnerEffect::Stop(order) => {
                self.stopped.push(order.clone());
                self.push(1, Message::Stop(order, self.now));
            }
            OwnerEffect::Commit(batch) => self.push(self.commit_ms, Message::Commit(epoch, batch)),
            OwnerEffect::Query(order) => {
                self.queries
                    .push((order.step.clone(), order.upstreams.len()));
                let query = Message::Query(epoch, order.query_id, order.upstreams);
                self.push(self.query_ms, query);
            }
            OwnerEffect::ReportCrash(report) => self.crashes.push(report),
            OwnerEffect::ReportRecovery(bound) => self.recovery_bounds.push(bound),
            OwnerEffect::ReportHeldRuns(held) => self.held.push(held),
            OwnerEffect::ReportRelease(release) => self.releases.push(release),
            OwnerEffect::ReportRestart(report) => self.restarts.push(report),
            OwnerEffect::ReportMissingFinished(missing) => self.missing_finished.push(missing),
            OwnerEffect::ReportQuarantine(report) => self.quarantines.push(report),
            OwnerEffect::ReportDeferral(report) => self.deferrals.push(report),
            OwnerEffect::ReportRestore(report) => self.restores.push(report),
            OwnerEffect::ReportIncarnation(_)
            | OwnerEffect::ReportRetryDelay(_)
            | OwnerEffect::ReportShortenedQuarantine(_)
            | OwnerEffect::ReportUnlisted(_)
            | OwnerEffect::StepDown => {}
        }
    }

    /// Sends a message that is delivered after a delay of `delay` to `delay + 3` milliseconds.
    pub(crate) fn push(&mut self, delay: u64, message: Message) {
        let jitter = self.random.below(4);
        self.sequence += 1;
        self.in_transit
            .insert((self.now + delay + jitter, self.sequence), message);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            self.deliver(message);
        }
    }

    /// Returns whether no message of the owner of an epoch reaches an upstream.
    pub(crate) fn is_partitioned(&self, id: &Arc<str>, epoch: u64) -> bool {
        let is_cut_off = self.cut_off_with_previous.contains(id);
        let is_current = epoch == self.epoch;
        let cut_off = !self.cut_off_with_previous.is_empty() && is_cut_off == is_current;
        let partitioned_until = self.partitioned.get(id);
        cut_off || partitioned_until.is_some_and(|until| self.now < *until)
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Start(order, sent_at, violations, late) => {
                self.deliver_start(order, sent_at, violations, late);
            }
            Message::Stop(order, sent_at) => {
                if self.delay_order(
                    &order.upstream,
                    order.epoch,
                    Message::LateStop(order.clone()),
                ) {
                    self.push(800, Message::Stopped(order, StopOutcome::Unknown, None));
                    return;
                }
                let reached = !self.is_partitioned(&order.upstream, order.epoch);
                let outcome = match self.upstreams.get_mut(&order.upstream) {
                    Some(upstream) if reached => upstream.stop(self.now, &order),
                    _ => StopOutcome::Unknown,
                };
                let delay = if reached { 1 } else { 800 };
                let clock = self.reply_clock(&order.upstream, sent_at);
                let clock = clock.filter(|_| reached);
                self.push(delay, Message::Stopped(order, outcome, clock));
            }
            Message::LateStop(order) => {
                let reached = !self.is_partitioned(&order.upstream, order.epoch);
                if let Some(upstream) = self.upstreams.get_mut(&order.upstream)
                    && reached
                {
                    upstream.stop(self.now, &order);
                }
            }
            Message::LateRenew(order) => {
                if !self.is_partitioned(&order.upstream, order.epoch) {
                    self.execute_renewal(&order);
                }
            }
            Message::Renew(order, sent_at) => self.deliver_renewal(order, sent_at),
            Message::Commit(epoch, batch) => self.deliver_commit(epoch, batch),
            Message::Started(order, outcome, clock) => {
                self.report_clock(order.epoch, &order.upstream, clock);
                if let Some(outcome) = outcome
                    && let Some(owner) = self.owner_of(order.epoch)
                {
                    owner.1.on_start(owner.0, &order, outcome);
                }
            }
            Message::Stopped(order, outcome, clock) => {
                self.report_clock(order.epoch, &order.upstream, clock);
                if let Some(owner) = self.owner_of(order.epoch) {
                    owner.1.on_stop(owner.0, &order, outcome);
                }
            }
            Message::Renewed(order, sent_at, answer) => {
                self.record_acks(&order);
                if let Some(Ok(reply)) = &answer
                    && self.owner_of(order.epoch).is_some()
                {
                    self.record_listed(&order.upstream, reply);
                }
                if let Some((now, owner)) = self.owner_of(order.epoch) {
                    match answer {
                        Some(Ok(answer)) => {
                            owner.on_renewed(now, sent_at, &order.upstream, &answer);
                        }
                        Some(Err(())) => {
                            owner.on_renewal_fenced(now, &order.upstream, order.fence);
                        }
                        None => owner.on_renewal_failed(now, &order.upstream),
                    }
                }
            }
            Message::Committed(epoch, batch, outcome) => {
                if let Some((now, owner)) = self.owner_of(epoch) {
                    owner.on_commit(now, &batch, outcome);
                }
            }
            Message::Query(epoch, query_id, upstreams) => {
                let failed_queries = self.faults.failed_queries;
                let fails = failed_queries > 0 && self.random.chance(failed_queries);
                let outcome = if fails {
                    QueryOutcome::Failed
                } else {
                    self.policy_decision(&upstreams)
                };
                if let Some((now, owner)) = self.owner_of(epoch) {
                    owner.on_query_outcome(now, query_id, &outcome);
                }
            }
        }
    }

    fn deliver_renewal(&mut self, order: RenewOrder, sent_at: u64) {
        if self.delay_order(
            &order.upstream,
            order.epoch,
            Message::LateRenew(order.clone()),
        ) {
            self.push(800, Message::Renewed(order, sent_at, None));
            return;
        }
        let reached = !self.is_partitioned(&order.upstream, order.epoch);
        let answer = reached.then(|| self.execute_renewal(&order)).flatten();
        if reached {
            self.record_contact(&order.upstream, sent_at);
        }
        let wait = order.wait_ms.min(50);
        self.push(
            if reached { 1 + wait } else { 2000 },
            Message::Renewed(order, sent_at, answer),
        );
    }

    /// Returns the policy service's answer to a query; a ticket is for the present incarnation.
    fn policy_decision(&self, upstreams: &[Arc<str>]) -> QueryOutcome {
        let may_run = |id: &&Arc<str>| {
            let allowed = self.allowed.as_ref();
            allowed.is_none_or(|allowed| allowed.contains(*id))
        };
        let tickets = upstreams.iter().filter(may_run).filter_map(|id| {
            let upstream = self.upstreams.get(id)?;
            Some((id.clone(), upstream.ticket.clone()))
        });
        QueryOutcome::Answered(PolicyDecision {
            allowed: tickets.collect(),
            valid_ms: 2000,
        })
    }

    fn owner_of(&mut self, epoch: u64) -> Option<(u64, &mut OwnerMachine)> {
        let now = self.now;
        let owner = self.owners_mut().find(|owner| owner.epoch() == epoch)?;
        Some((now, owner))
    }

    /// Returns the reading that an upstream's reply to an order carries now.
    fn reply_clock(&self, id: &Arc<str>, sent_at: u64) -> Option<ReplyClock> {
        let clock_ms = self.upstreams.get(id)?.clock_ms(self.now);
        Some(ReplyClock { sent_at, clock_ms })
    }

    fn report_clock(&mut self, epoch: u64, id: &Arc<str>, clock: Option<ReplyClock>) {
        if let Some(clock) = clock
            && let Some((now, owner)) = self.owner_of(epoch)
        {
            owner.on_clock_reading(now, clock.sent_at, id, clock.clock_ms);
        }
    }

    fn deliver_start(
        &mut self,
        order: StartOrder,
        sent_at: u64,
        violations: Vec<String>,
        late: bool,
    ) {
        let no_reply = (!late).then_some(StartOutcome::Unknown);
        if self.is_partitioned(&order.upstream, order.epoch) {
            self.push(800, Message::Started(order, no_reply, None));
            return;
        }
        if late && self.lose_starts_before_contact && !self.is_contacted(&order.upstream) {
            return;
        }
        let is_intercepted = !late && self.intercepts(&order.upstream, OrderKind::Start);
        if is_intercepted {
            let late_start = Message::Start(order.clone(), sent_at, violations, true);
            self.intercepted.push(late_start);
            self.push(800, Message::Started(order, no_reply, None));
            return;
        }
        if self.random.chance(self.faults.late_orders) {
            let later = self.draw_delay();
            self.push(800, Message::Started(order.clone(), no_reply, None));
            self.push(later, Message::Start(order, sent_at, violations, true));
            return;
        }
        let drawn = 200 + self.random.below(1500);
        let duration = self.run_ms.unwrap_or(drawn);
        let failed = self.random.chance(self.faults.failures);
        let always_fails = self.failing_submissions.contains(&order.task.submission)
            || self.failing_upstreams.contains(&order.upstream);
        let (duration, end) = if always_fails {
            (FAILURE_MS, RunOutcome::Failed)
        } else if failed {
            (duration, RunOutcome::Failed)
        } else {
            (duration, RunOutcome::Done)
        };
        let size = self.size_of(&order.task);
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        let present = upstream.runs.get(&order.task).map(|run| run.attempt);
        let outcome = upstream.start(now, &order, size, (duration, end));
        if outcome == StartOutcome::Rejected(RejectReason::Ticket) {
            self.rejected_tickets.push((now, order.upstream.clone()));
        }
        if outcome == StartOutcome::Started && present != Some(order.attempt) {
            self.violations.extend(violations);
            self.check_begun_run(&order);
        }
        if outcome == StartOutcome::Started && self.deadly.contains(&order.task) {
            self.crash_upstream(&order.upstream);
        }
        if self.random.chance(self.faults.lost_replies) {
            self.push(800, Message::Started(order, no_reply, None));
        } else {
            let clock = self.reply_clock(&order.upstream, sent_at);
            let clock = clock.filter(|_| !late);
            self.push(
                1,
                Message::Started(order, (!late).then_some(outcome), clock),
            );
        }
    }

    fn deliver_commit(&mut self, epoch: u64, batch: CommitBatch) {
        let is_cut_off = epoch != self.epoch && !self.cut_off_with_previous.is_empty();
        if self.store_unavailable || is_cut_off {
            let lost = Message::Committed(epoch, batch, CommitOutcome::Unknown);
            self.push(1200, lost);
            return;
        }
        if epoch != self.epoch {
            self.push(1, Message::Committed(epoch, batch, CommitOutcome::Fenced));
            return;
        }
        self.revision += 1;
        self.confirmed_at = self.now;
        for (id, progress) in &batch.progress {
            self.progress.insert(id.clone(), progress.clone());
        }
        for ended in &batch.ended {
            let progress = self.progress.entry(ended.id.clone()).or_default();
            progress.state = ended.state;
            self.ended.insert(ended.id.clone());
        }
        if let Some(roster) = &batch.roster {
            self.roster.clone_from(roster);
            self.roster_written_at = self.now;
        }
        if self.random.chance(self.faults.lost_commits) {
            self.push(
                1200,
                Message::Committed(epoch, batch, CommitOutcome::Unknown),
            );
        } else {
            let stored = Message::Committed(
                epoch,
                batch,
                CommitOutcome::Stored {
                    revision: self.revision,
                },
            );
            self.push(1, stored);
        }
    }

    fn size_of(&self, name: &TaskName) -> ResourceSize {
        let (record, _) = &self.submissions[&name.submission];
        record.steps[name.step as usize].demand
    }
}
