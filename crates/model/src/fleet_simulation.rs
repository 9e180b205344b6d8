//! The simulation: an owner, upstreams, the policy service and the store in virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use lagoonnotch_fleet::model::{
    ApprovedConfig, DirectoryRead, PoolPolicy, ProgressRecord, QueuePolicy, RejectReason,
    RequestLimits, ResourceSize, RunOutcome, StartOutcome, StopOutcome, SubmissionState, TaskName,
    TeamPolicy, UpstreamReport,
};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, OwnerEffect, OwnerMachine, OwnerSettings, PolicyDecision,
    QueryOrder, QueryOutcome, RecoveredState, RenewOrder, RosterEntry, StartOrder, StopOrder,
    StoredSubmission, TicketWaits,
};

use crate::simulated_upstream::SimulatedUpstream;
use crate::submission_kind::GeneratedSubmission;
use crate::{KindSummary, OwnerCost, RandomSource, SimulationSettings, SimulationSummary};

/// One-way network latency between the owner and any other process, in milliseconds.
const ONE_WAY_MS: u64 = 1;

/// Time that the store takes for a commit, in milliseconds.
const COMMIT_MS: u64 = 5;

/// Time between two reads of the directory, in milliseconds.
const DIRECTORY_POLL_MS: u64 = 500;

/// Time between two reports of an upstream to the directory, in milliseconds.
const UPSTREAM_REPORT_PERIOD_MS: u64 = 1500;

/// Time that an upstream takes to stop a run, in milliseconds.
const RUN_STOP_MS: u64 = 200;

/// Timeout of a call to an unreachable upstream, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;

/// Time between two samples of the pools' utilization, in milliseconds.
const UTILIZATION_SAMPLE_MS: u64 = 200;

/// Virtual time at which submissions begin to arrive, in milliseconds.
const LOAD_START_MS: u64 = 10_000;

/// Multiple of the objective after which a completion earns nothing.
const LATE_LIMIT_FACTOR: u64 = 3;

/// Share of its value that a late submission earns.
const LATE_VALUE_SHARE: f64 = 0.2;

/// An event that happens at a point of virtual time.
#[derive(Debug)]
enum Event {
    /// A submission of the kind with this index arrives.
    Submit(usize),
    /// A start order reaches its upstream.
    Start(StartOrder),
    /// The outcome of a start order reaches the owner.
    Started(StartOrder, StartOutcome),
    /// A stop order reaches its upstream.
    Stop(StopOrder),
    /// The outcome of a stop order reaches the owner.
    Stopped(StopOrder, StopOutcome),
    /// A lease renewal reaches its upstream; carries the order and when it was sent.
    Renew(RenewOrder, u64),
    /// The reply to a lease renewal reaches the owner; carries the order, when it was sent, and the
    /// reply, or `None` if the renewal failed.
    Renewed(
        RenewOrder,
        u64,
        Option<lagoonnotch_fleet::model::RenewReply>,
    ),
    /// The upstream replies although no run has finished; carries the upstream and the number of
    /// the renewal.
    RenewalWaitEnded(Arc<str>, u64),
    /// Runs of this upstream may finish.
    Advance(Arc<str>),
    /// A commit reaches the store; carries the epoch in which it was sent.
    Commit(u64, CommitBatch),
    /// The outcome of a commit reaches the owner; carries the epoch in which it was sent.
    Committed(u64, CommitBatch),
    /// The policy service's decision reaches the owner; carries the epoch and the number of the
    /// query.
    PolicyAnswered(u64, u64, QueryOutcome),
    /// The owner reads the directory.
    ReadDirectory,
    /// The utilization of the pools is sampled.
    SampleUtilization,
    /// A new owner takes over.
    TakeOver,
}

/// A submission and what has happened to it.
#[derive(Debug)]
struct SubmissionEntry {
    generated: GeneratedSubmission,
    /// When its first task was started.
    first_start_at: Option<u64>,
    /// Number of its runs that started within its objective.
    starts_in_time: u64,
    /// When it ended, and in which state.
    ended: Option<(u64, SubmissionState)>,
}

/// Upstreams by identifier.
type UpstreamMap = BTreeMap<Arc<str>, SimulatedUpstream>;

/// Simulates a fleet in virtual time.
pub struct FleetSimulation {
    settings: SimulationSettings,
    owner_settings: OwnerSettings,
    config: Arc<ApprovedConfig>,
    queues: Vec<Arc<QueuePolicy>>,
    random: RandomSource,
    now: u64,
    /// Future events, by time and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    upstreams: UpstreamMap,
    /// Upstreams of each pool of the mix.
    pools: Vec<Vec<Arc<str>>>,
    /// Renewals whose reply waits for a run to finish: the order, when it was sent, and its number.
    pending_renewals: HashMap<Arc<str>, (RenewOrder, u64, u64)>,
    submissions: HashMap<Arc<str>, SubmissionEntry>,
    owner: OwnerMachine,
    epoch: u64,
    revision: u64,
    generation: u32,
    progress: HashMap<Arc<str>, ProgressRecord>,
    roster: Vec<RosterEntry>,
    /// When the policy service will have answered all calls so far, by calling host.
    policy_free_at: HashMap<Arc<str>, u64>,
    next_tick_at: u64,
    /// Number of waiting steps at the last read of the directory.
    waiting_steps: usize,
    /// Sum and number of the utilization samples of each pool.
    utilization_sums: Vec<(f64, u32)>,
    summary: SimulationSummary,
    cost: OwnerCost,
}

impl FleetSimulation {
    /// Creates a simulation.
    #[must_use]
    pub fn new(settings: SimulationSettings, owner_settings: OwnerSettings) -> Self {
        let queues: Vec<_> = settings
            .mix
            .kinds
            .iter()
            .map(|kind| Arc::new(kind.queue()))
            .collect();
        let config = approved_config(&settings, &queues);
        let mut random = RandomSource::new(settings.seed);
        let (upstreams, pools) = make_upstreams(&settings, &mut random);
        let owner = OwnerMachine::new(owner_settings, 1, 0, config.clone());
        let utilization_sums = vec![(0.0, 0); settings.mix.pools.len()];
        Self {
            owner_settings,
            config,
            queues,
            random,
            now: LOAD_START_MS - 2 * DIRECTORY_POLL_MS,
            events: BTreeMap::new(),
            sequence: 0,
            upstreams,
            pools,
            pending_renewals: HashMap::new(),
            submissions: HashMap::new(),
            owner,
            epoch: 1,
            revision: 1,
            generation: 0,
            progress: HashMap::new(),
            roster: Vec::new(),
            policy_free_at: HashMap::new(),
            next_tick_at: 0,
            waiting_steps: 0,
            utilization_sums,
            summary: SimulationSummary::default(),
            cost: OwnerCost::default(),
            settings,
        }
    }

    /// Runs the simulation to its end and returns the results.
    #[must_use]
    pub fn run(mut self) -> SimulationSummary {
        self.owner.recover(self.now, RecoveredState::default());
        self.owner.set_query_hosts(&self.hosts());
        self.push(0, Event::ReadDirectory);
        self.push(2 * DIRECTORY_POLL_MS, Event::SampleUtilization);
        for kind in 0..self.settings.mix.kinds.len() {
            self.schedule_next_submission(kind, LOAD_START_MS);
        }
        for at in self.settings.takeovers_ms.clone() {
            self.push(LOAD_START_MS + at - self.now, Event::TakeOver);
        }
        let end = LOAD_START_MS + self.settings.load_ms + self.settings.drain_ms;
        while self.now < end {
            let next = self.events.first_key_value().map(|(key, _)| key.0);
            let next_event = next.unwrap_or(u64::MAX);
            self.now = next_event.min(self.next_tick_at).max(self.now);
            let mut tick_due = self.now >= self.next_tick_at;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                tick_due |= self.handle_event(event);
            }
            if tick_due {
                self.tick();
            }
        }
        self.summarize()
    }

    fn hosts(&self) -> BTreeSet<Arc<str>> {
        (0..self.settings.host_count)
            .map(|number| format!("host-{number}").into())
            .collect()
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Schedules the next submission of a kind.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    fn schedule_next_submission(&mut self, kind: usize, from: u64) {
        let spec = &self.settings.mix.kinds[kind];
        let since = from.saturating_sub(LOAD_START_MS);
        let rate = spec.arrivals_per_s * self.settings.mix.burst_factor(spec.name, since);
        let at = from + (self.random.exponential(rate) * 1000.0).ceil() as u64;
        if at < LOAD_START_MS + self.settings.load_ms {
            self.push(at - self.now.min(at), Event::Submit(kind));
        }
    }

    /// Handles an event; returns whether the owner should tick.
    fn handle_event(&mut self, event: Event) -> bool {
        match event {
            Event::Submit(kind) => self.submit(kind),
            Event::Start(order) => return self.start(order),
            Event::Stop(order) => {
                let reached = !self.is_unreachable(&order.upstream);
                let now = self.now;
                let outcome = match self.upstreams.get_mut(&order.upstream) {
                    Some(upstream) if reached => upstream.stop(now, &order),
                    _ => StopOutcome::Unknown,
                };
                self.reply_with_finished_runs(&order.upstream);
                self.push(RUN_STOP_MS, Event::Advance(order.upstream.clone()));
                let delay = if reached { ONE_WAY_MS } else { CALL_TIMEOUT_MS };
                self.push(delay, Event::Stopped(order, outcome));
                return false;
            }
            Event::Renew(order, sent_at) => return self.renew(order, sent_at),
            Event::RenewalWaitEnded(upstream, number) => {
                if self
                    .pending_renewals
                    .get(&upstream)
                    .is_some_and(|(_, _, waiting)| *waiting == number)
                {
                    self.reply_to_renewal(&upstream);
                }
                return false;
            }
            Event::Advance(id) => {
                let now = self.now;
                if let Some(upstream) = self.upstreams.get_mut(&id) {
                    upstream.advance(now);
                }
                self.reply_with_finished_runs(&id);
                return false;
            }
            Event::Commit(epoch, batch) => {
                self.commit(epoch, batch);
                return false;
            }
            Event::ReadDirectory => self.read_directory(),
            Event::SampleUtilization => {
                self.sample_utilization();
                return false;
            }
            Event::TakeOver => self.take_over(),
            Event::Started(order, outcome) => {
                let now = self.now;
                self.call_owner(|owner| owner.on_start(now, &order, outcome), order.epoch);
            }
            Event::Stopped(order, outcome) => {
                let now = self.now;
                self.call_owner(|owner| owner.on_stop(now, &order, outcome), order.epoch);
            }
            Event::Renewed(order, sent_at, reply) => {
                let now = self.now;
                self.call_owner(
                    |owner| match &reply {
                        Some(reply) => owner.on_renewed(now, sent_at, &order.upstream, reply),
                        None => owner.on_renewal_failed(now, &order.upstream),
                    },
                    order.epoch,
                );
            }
            Event::Committed(epoch, batch) => {
                let now = self.now;
                let outcome = CommitOutcome::Stored {
                    revision: self.revision,
                };
                self.call_owner(|owner| owner.on_commit(now, &batch, outcome), epoch);
                for (id, progress) in &batch.progress {
                    self.record_final_state(id, progress.state);
                }
                for ended in &batch.ended {
                    self.record_final_state(&ended.id, ended.state);
                }
            }
            Event::PolicyAnswered(epoch, query_id, outcome) => {
                let now = self.now;
                self.call_owner(
                    |owner| owner.on_query_outcome(now, query_id, &outcome),
                    epoch,
                );
            }
        }
        true
    }

    /// Passes an input to the owner if it still has this epoch, and measures the time it takes.
    fn call_owner(&mut self, input: impl FnOnce(&mut OwnerMachine), epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        let started = Instant::now();
        input(&mut self.owner);
        self.cost.total += started.elapsed();
    }

    fn tick(&mut self) {
        let started = Instant::now();
        self.owner.tick(self.now, self.now, true);
        let due = self.owner.next_due_at(self.now, self.now, true);
        self.next_tick_at = due.max(self.now + 1);
        let effects = self.owner.take_effects();
        let took = started.elapsed();
        self.cost.total += took;
        self.cost.ticks += took;
        self.cost.longest_tick = self.cost.longest_tick.max(took);
        self.cost.tick_count += 1;
        let backlog = backlog_range(self.waiting_steps);
        let backlog_cost = self.summary.backlog_costs.entry(backlog).or_default();
        backlog_cost.ticks += took;
        backlog_cost.tick_count += 1;
        let epoch = self.epoch;
        for effect in effects {
            match effect {
                OwnerEffect::Renew(order) => {
                    self.summary.renewals += 1;
                    self.push(ONE_WAY_MS, Event::Renew(order, self.now));
                }
                OwnerEffect::Start(order) => {
                    self.add_to_digest(&order);
                    self.push(ONE_WAY_MS, Event::Start(order));
                }
                OwnerEffect::Stop(order) => {
                    let reason = order.reason.label();
                    *self.summary.stop_orders.entry(reason).or_default() += 1;
                    self.push(ONE_WAY_MS, Event::Stop(order));
                }
                OwnerEffect::Commit(batch) => self.push(COMMIT_MS, Event::Commit(epoch, batch)),
                OwnerEffect::Query(order) => self.query_policy(epoch, &order),
                OwnerEffect::ReportCrash(_)
                | OwnerEffect::ReportDeferral(_)
                | OwnerEffect::ReportHeldRuns(_)
                | OwnerEffect::ReportIncarnation(_)
                | OwnerEffect::ReportMissingFinished(_)
                | OwnerEffect::ReportQuarantine(_)
                | OwnerEffect::ReportRecovery(_)
                | OwnerEffect::ReportRelease(_)
                | OwnerEffect::ReportRestart(_)
                | OwnerEffect::ReportRestore(_)
                | OwnerEffect::ReportRetryDelay(_)
                | OwnerEffect::ReportShortenedQuarantine(_)
                | OwnerEffect::ReportUnlisted(_)
                | OwnerEffect::StepDown => {}
            }
        }
    }

    /// Adds a start order to the digest.
    fn add_to_digest(&mut self, order: &StartOrder) {
        let earlier = format!("{:x} {}", self.summary.start_digest, self.now);
        let task = order.task.to_string();
        self.summary.start_digest = hash_of(&[&earlier, &task, &order.upstream], order.attempt);
    }

    fn submit(&mut self, kind: usize) {
        let team = self.draw_team();
        let number = self.submissions.len() as u64;
        let spec = &self.settings.mix.kinds[kind];
        let generated = spec.draw(
            &mut self.random,
            number,
            kind,
            &self.queues[kind],
            &team,
            self.now,
        );
        self.revision += 1;
        let (now, revision, record) = (self.now, self.revision, generated.record.clone());
        let entry = SubmissionEntry {
            generated,
            first_start_at: None,
            starts_in_time: 0,
            ended: None,
        };
        self.submissions.insert(record.id.clone(), entry);
        let epoch = self.epoch;
        self.call_owner(|owner| owner.add_submission(now, record, revision), epoch);
        self.schedule_next_submission(kind, now);
    }

    fn draw_team(&mut self) -> Arc<str> {
        let mut point = self.random.uniform()
            * self
                .settings
                .teams
                .iter()
                .map(|team| team.submission_share)
                .sum::<f64>();
        for team in &self.settings.teams {
            point -= team.submission_share;
            if point <= 0.0 {
                return team.name.into();
            }
        }
        self.settings.teams[0].name.into()
    }

    fn start(&mut self, order: StartOrder) -> bool {
        if self.is_unreachable(&order.upstream) {
            self.push(
                CALL_TIMEOUT_MS,
                Event::Started(order, StartOutcome::Unknown),
            );
            return false;
        }
        self.summary.starts += 1;
        let (duration, run_outcome) = self.draw_run(&order);
        let now = self.now;
        let Some(submission) = self.submissions.get_mut(&order.task.submission) else {
            return false;
        };
        let size = submission.generated.record.steps[order.task.step as usize].allocation();
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return false;
        };
        let resumed_work_ms = upstream.checkpoint_work_ms(&order);
        let duration = duration.saturating_sub(resumed_work_ms).max(1);
        let outcome = upstream.start(now, &order, size, (duration, run_outcome));
        let rejects_ticket = outcome == StartOutcome::Rejected(RejectReason::Ticket);
        self.summary.rejected_tickets += u64::from(rejects_ticket);
        if outcome == StartOutcome::Started {
            submission.first_start_at.get_or_insert(now);
            let age_ms = now - submission.generated.submitted_at;
            submission.starts_in_time += u64::from(age_ms <= submission.generated.objective_ms);
            let upstream = order.upstream.clone();
            self.push(duration, Event::Advance(upstream));
        }
        self.push(ONE_WAY_MS, Event::Started(order, outcome));
        false
    }

    /// Draws how long a run takes, and how it ends.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    fn draw_run(&mut self, order: &StartOrder) -> (u64, RunOutcome) {
        let Some(entry) = self.submissions.get(&order.task.submission) else {
            return (1, RunOutcome::Failed);
        };
        let kind = &self.settings.mix.kinds[entry.generated.kind];
        let step = order.task.step as usize;
        let speed = if entry.generated.record.steps[step].gang {
            self.slowest_speed(kind.pool)
        } else {
            let upstream = self.upstreams.get(&order.upstream);
            upstream.map_or(1.0, |upstream| upstream.speed)
        };
        let mut duration = entry.generated.work_ms[step] as f64 / speed;
        // The random failure depends only on the seed, the task and the attempt, so that scheduler
        // variants can be compared.
        let mut run_random = RandomSource::new(
            self.settings.seed ^ hash_of(&[&order.task.to_string()], order.attempt),
        );
        let mut fails = entry.generated.always_fails || run_random.happens(kind.failing_run_share);
        if let Some(fault) = self.active_fault(&order.upstream) {
            duration *= fault.duration_factor;
            fails |= fault.fails_runs;
        }
        let end = if fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        (duration.max(1.0) as u64, end)
    }

    /// Returns the lowest speed in a pool. The members of a gang end together, so they are assumed
    /// to take as long as they would there.
    fn slowest_speed(&self, pool: &str) -> f64 {
        let mut pools = self.settings.mix.pools.iter();
        let speeds = pools
            .find(|shape| shape.name == pool)
            .map_or(&[][..], |shape| shape.speed_factors);
        speeds.iter().copied().reduce(f64::min).unwrap_or(1.0)
    }

    fn active_fault(&self, upstream: &Arc<str>) -> Option<crate::UpstreamFault> {
        let entry = self.upstreams.get(upstream)?;
        let since = self.now.saturating_sub(LOAD_START_MS);
        self.settings
            .faults
            .iter()
            .find(|fault| {
                (fault.start_ms..fault.start_ms + fault.duration_ms).contains(&since)
                    && entry.fault_rank < fault.upstream_share
            })
            .copied()
    }

    fn is_unreachable(&self, upstream: &Arc<str>) -> bool {
        self.active_fault(upstream)
            .is_some_and(|fault| fault.unreachable)
    }

    fn renew(&mut self, order: RenewOrder, sent_at: u64) -> bool {
        if self.is_unreachable(&order.upstream) {
            self.push(CALL_TIMEOUT_MS, Event::Renewed(order, sent_at, None));
            return false;
        }
        let now = self.now;
        let id = order.upstream.clone();
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return false;
        };
        upstream.renew(now, &order);
        let reply_now = order.wait_ms == 0 || !upstream.finished.is_empty();
        self.sequence += 1;
        let (wait_ms, number) = (order.wait_ms, self.sequence);
        self.pending_renewals
            .insert(id.clone(), (order, sent_at, number));
        if reply_now {
            self.reply_to_renewal(&id);
        } else {
            self.push(wait_ms, Event::RenewalWaitEnded(id, number));
        }
        false
    }

    /// Replies to the pending renewal of an upstream if there are finished runs to report.
    fn reply_with_finished_runs(&mut self, id: &Arc<str>) {
        let has_finished = self
            .upstreams
            .get(id)
            .is_some_and(|upstream| !upstream.finished.is_empty());
        if has_finished && !self.is_unreachable(id) {
            self.reply_to_renewal(id);
        }
    }

    fn reply_to_renewal(&mut self, id: &Arc<str>) {
        let Some((order, sent_at, _)) = self.pending_renewals.remove(id) else {
            return;
        };
        let now = self.now;
        let reply = self
            .upstreams
            .get_mut(id)
            .and_then(|upstream| upstream.renew_and_report(now, &order));
        self.push(ONE_WAY_MS, Event::Renewed(order, sent_at, reply));
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    fn query_policy(&mut self, epoch: u64, order: &QueryOrder) {
        let Some(name) = TaskName::parse(&format!("{}.0", order.step)) else {
            return;
        };
        let Some(entry) = self.submissions.get(&name.submission) else {
            return;
        };
        let kind = &self.settings.mix.kinds[entry.generated.kind];
        let service = kind.policy_service;
        let takes =
            (service.decision_ms + service.per_upstream_ms * order.upstreams.len() as f64) as u64;
        let allowed = order
            .upstreams
            .iter()
            .filter(|id| is_allowed(&order.step, id, kind.allowed_share))
            .filter_map(|id| Some((id.clone(), self.upstreams.get(id)?.ticket.clone())))
            .collect();
        let free_at = self.policy_free_at.entry(order.host.clone()).or_default();
        *free_at = (*free_at).max(self.now) + takes;
        let delay = *free_at - self.now + 2 * ONE_WAY_MS;
        self.summary.policy_calls.0 += 1;
        self.summary.policy_calls.1 += takes;
        let outcome = QueryOutcome::Answered(PolicyDecision {
            allowed,
            valid_ms: service.valid_ms,
        });
        self.push(delay, Event::PolicyAnswered(epoch, order.query_id, outcome));
    }

    fn commit(&mut self, epoch: u64, batch: CommitBatch) {
        if epoch != self.epoch {
            return;
        }
        self.revision += 1;
        for (id, progress) in &batch.progress {
            self.progress.insert(id.clone(), progress.clone());
        }
        if let Some(roster) = &batch.roster {
            self.roster.clone_from(roster);
        }
        self.push(ONE_WAY_MS, Event::Committed(epoch, batch));
    }

    fn record_final_state(&mut self, id: &Arc<str>, state: SubmissionState) {
        let now = self.now;
        if state.is_final()
            && let Some(entry) = self.submissions.get_mut(id)
        {
            entry.ended.get_or_insert((now, state));
        }
    }

    fn read_directory(&mut self) {
        let now = self.now;
        let queues = self.owner.advice_load(now).queues;
        self.waiting_steps = queues.values().map(TicketWaits::steps).sum();
        let revision = now - now % UPSTREAM_REPORT_PERIOD_MS;
        let reports = self
            .upstreams
            .values()
            .map(|upstream| UpstreamReport {
                revision,
                ..upstream.report.clone()
            })
            .collect();
        // Virtual time serves as the store's revision.
        let read = DirectoryRead {
            written_after: BTreeMap::new(),
            reports,
            unreadable: BTreeSet::new(),
            requested_at: now,
            revision: now,
        };
        let epoch = self.epoch;
        self.call_owner(|owner| owner.set_directory(now, read), epoch);
        self.push(DIRECTORY_POLL_MS, Event::ReadDirectory);
    }

    #[expect(clippy::cast_precision_loss, reason = "small positive amounts")]
    fn sample_utilization(&mut self) {
        if self.now > LOAD_START_MS + self.settings.load_ms {
            return;
        }
        for (index, members) in self.pools.iter().enumerate() {
            let (mut used, mut capacity) = (ResourceSize::ZERO, ResourceSize::ZERO);
            for upstream in members.iter().filter_map(|id| self.upstreams.get(id)) {
                capacity += upstream.capacity;
                for run in upstream.runs.values() {
                    used += run.size;
                }
            }
            let share = |used: u64, all: u64| used as f64 / (all.max(1)) as f64;
            let dominant = share(used.cpu_milli, capacity.cpu_milli)
                .max(share(used.memory_mib, capacity.memory_mib))
                .max(share(used.accelerators, capacity.accelerators));
            self.utilization_sums[index].0 += dominant;
            self.utilization_sums[index].1 += 1;
        }
        self.push(UTILIZATION_SAMPLE_MS, Event::SampleUtilization);
    }

    /// Replaces the owner by a new one, which recovers its state from the store.
    fn take_over(&mut self) {
        self.revision += 1;
        self.epoch = self.revision;
        self.generation += 1;
        let submissions: Vec<_> = self
            .submissions
            .iter()
            .filter(|(_, entry)| entry.ended.is_none())
            .map(|(id, entry)| StoredSubmission {
                record: entry.generated.record.clone(),
                progress: self.progress.get(id).cloned(),
                cancelled: false,
            })
            .collect();
        let recovered = RecoveredState {
            submissions,
            roster: self.roster.clone(),
            departed: Vec::new(),
            roster_written_by: self.now,
            revision: self.revision,
            stale_cancels: Vec::new(),
            previous_owner_active_ms: 0,
            leases_expire_by: None,
            leases_may_be_extended: false,
            claim_requested_at: self.now,
        };
        let started = Instant::now();
        let mut owner = OwnerMachine::new(
            self.owner_settings,
            self.epoch,
            self.generation,
            self.config.clone(),
        );
        owner.recover(self.now, recovered);
        owner.set_query_hosts(&self.hosts());
        self.cost.total += started.elapsed();
        self.owner = owner;
        self.read_directory();
    }

    fn summarize(mut self) -> SimulationSummary {
        let kinds = &self.settings.mix.kinds;
        let mut summaries: Vec<_> = kinds
            .iter()
            .map(|kind| KindSummary {
                name: kind.name,
                ..KindSummary::default()
            })
            .collect();
        // Earned and attainable value of each team.
        let mut teams: HashMap<Arc<str>, (f64, f64)> = HashMap::new();
        for entry in self.submissions.values() {
            let summary = &mut summaries[entry.generated.kind];
            let earned = add_submission(entry, &kinds[entry.generated.kind], summary);
            if let Some(team) = &entry.generated.record.team {
                let sums = teams.entry(team.clone()).or_default();
                sums.0 += earned;
                sums.1 += kinds[entry.generated.kind].value;
            }
        }
        for summary in &mut summaries {
            summary.start_waits_ms.sort_unstable();
        }
        self.summary.kinds = summaries;
        let mean = self.summary.value_ratio();
        self.summary.unfairness = teams
            .values()
            .map(|(earned, attainable)| (earned / attainable - mean).abs())
            .fold(0.0, f64::max);
        let ratios = teams
            .into_iter()
            .map(|(team, (earned, attainable))| (team, earned / attainable));
        self.summary.team_value_ratios = ratios.collect();
        self.summary.utilization = self
            .settings
            .mix
            .pools
            .iter()
            .zip(&self.utilization_sums)
            .map(|(pool, (sum, count))| (pool.name, sum / f64::from((*count).max(1))))
            .collect();
        self.summary.stopped = self
            .upstreams
            .values()
            .map(|upstream| upstream.stopped_count)
            .sum();
        self.summary.cost = self.cost;
        self.summary.query_usage = self.owner.query_usage().clone();
        self.summary
    }
}

/// Adds a submission to the results of its kind; returns the value that it earned.
fn add_submission(
    entry: &SubmissionEntry,
    kind: &crate::SubmissionKind,
    summary: &mut KindSummary,
) -> f64 {
    let generated = &entry.generated;
    summary.submitted += 1;
    summary.starts_in_time += entry.starts_in_time;
    summary.attainable_value += kind.value;
    if let Some(started_at) = entry.first_start_at {
        summary
            .start_waits_ms
            .push(started_at - generated.submitted_at);
    }
    let ended = if kind.long_running {
        entry
            .first_start_at
            .map(|at| (at, SubmissionState::Completed))
    } else {
        entry.ended
    };
    let expected = if generated.always_fails {
        SubmissionState::Failed
    } else {
        SubmissionState::Completed
    };
    let took = ended.map(|(at, _)| at - generated.submitted_at);
    let earned = match (ended, took) {
        (Some((_, state)), _) if state != expected => {
            summary.failed += 1;
            0.0
        }
        (_, Some(took)) if took <= generated.objective_ms => {
            summary.on_time += 1;
            kind.value
        }
        (_, Some(took)) if took <= generated.objective_ms * LATE_LIMIT_FACTOR => {
            summary.late += 1;
            kind.value * LATE_VALUE_SHARE
        }
        _ => {
            summary.missed += 1;
            0.0
        }
    };
    summary.earned_value += earned;
    earned
}

/// Returns whether the policy service allows an upstream to run a step; the decision for the same
/// step and upstream never changes.
#[expect(clippy::cast_precision_loss, reason = "a share")]
fn is_allowed(step: &str, upstream: &str, share: f64) -> bool {
    let point = hash_of(&[step, upstream], 0) >> 40;
    (point as f64 / f64::from(1 << 24)) < share
}

/// Returns a number of waiting steps, rounded down to 0 or to 250 times a power of two.
fn backlog_range(waiting_steps: usize) -> usize {
    let mut range = 0;
    let mut next = 250;
    while waiting_steps >= next {
        range = next;
        next *= 2;
    }
    range
}

/// Hashes texts and a number to a pseudo-random number: FNV-1a and the finalizer of `SplitMix64`.
fn hash_of(texts: &[&str], number: u32) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ u64::from(number);
    for byte in texts.iter().flat_map(|text| text.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn approved_config(
    settings: &SimulationSettings,
    queues: &[Arc<QueuePolicy>],
) -> Arc<ApprovedConfig> {
    let pools = settings.mix.pools.iter().map(|pool| {
        let policy = PoolPolicy {
            name: pool.name.into(),
            enforces_capacity: false,
        };
        (pool.name.into(), policy)
    });
    let teams = settings.teams.iter().map(|team| {
        let policy = TeamPolicy {
            name: team.name.into(),
            weight: team.weight,
            upper_limit: team.upper_limit,
        };
        (team.name.into(), Arc::new(policy))
    });
    Arc::new(ApprovedConfig {
        version: 1,
        revision: 1,
        queues: queues.to_vec(),
        pools: pools.collect(),
        teams: teams.collect(),
        keys: HashMap::new(),
        limits: RequestLimits {
            max_body_bytes: 65_536,
            max_header_bytes: 8192,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small positive amounts"
)]
fn make_upstreams(
    settings: &SimulationSettings,
    random: &mut RandomSource,
) -> (UpstreamMap, Vec<Vec<Arc<str>>>) {
    /// Failure domains that the upstreams are assigned to in turn.
    const DOMAINS: [&str; 3] = ["north", "middle", "south"];
    let mut upstreams = BTreeMap::new();
    let mut pools = Vec::new();
    for pool in &settings.mix.pools {
        let mut members = Vec::new();
        for number in 0..pool.upstream_count {
            let id: Arc<str> = format!("{}-{number}", pool.name).into();
            let size = pool.capacity_factors[number as usize % pool.capacity_factors.len()];
            let scaled = |amount: u64| (amount as f64 * size) as u64;
            let capacity = ResourceSize::new(
                scaled(pool.capacity.cpu_milli),
                scaled(pool.capacity.memory_mib),
                pool.capacity.accelerators,
            );
            let mut upstream = SimulatedUpstream::new(&id, 1, 1000 + random.below(100_000));
            upstream.capacity = capacity;
            upstream.stop_duration_ms = RUN_STOP_MS;
            upstream.speed = pool.speed_factors[number as usize % pool.speed_factors.len()];
            upstream.fault_rank = random.uniform();
            upstream.report = UpstreamReport {
                id: id.clone(),
                incarnation_unix_ms: 1,
                pool: pool.name.into(),
                address: id.clone(),
                failure_domain: DOMAINS[number as usize % DOMAINS.len()].into(),
                draining: false,
                revision: 0,
                capacity,
                labels: Arc::from([
                    "a".into(),
                    format!("rack-{}", number / pool.rack_size).into(),
                ]),
            };
            members.push(id.clone());
            upstreams.insert(id, upstream);
        }
        pools.push(members);
    }
    (upstreams, pools)
}
