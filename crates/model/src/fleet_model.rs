//! The model: an owner, upstreams, the policy service and commits in virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use lagoonnotch_fleet::model::{
    ApprovedConfig, PoolPolicy, ProgressRecord, QueuePolicy, RequestLimits, ResourceSize,
    RunOutcome, StartOutcome, StopOutcome, SubmissionState, TaskName, TeamPolicy, UpstreamReport,
};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, OwnerEffect, OwnerMachine, OwnerSettings, PolicyDecision,
    QueryOrder, QueryOutcome, RecoveredState, RenewOrder, RosterEntry, StartOrder, StopOrder,
    StoredSubmission,
};

use crate::job_kind::DrawnJob;
use crate::model_upstream::ModelUpstream;
use crate::{Draw, FleetOutcome, KindOutcome, ModelSettings, OwnerCost};

/// One way between the owner and anything else, in milliseconds.
const WAY_MS: u64 = 1;

/// Time of a commit at the store, in milliseconds.
const COMMIT_MS: u64 = 5;

/// Time between readings of the directory, in milliseconds.
const DIRECTORY_MS: u64 = 500;

/// Time between reports of an upstream, in milliseconds.
const REPORT_MS: u64 = 1500;

/// How long upstreams take to stop a run, in milliseconds.
const STOP_MS: u64 = 200;

/// Time after which a call without an answer is given up, in milliseconds.
const LOST_MS: u64 = 800;

/// Time between measurements of how full pools are, in milliseconds.
const PACKING_MS: u64 = 200;

/// When the first submissions come, in milliseconds of virtual time.
const BEGIN_MS: u64 = 10_000;

/// Multiple of the objective after which a completion is of no use.
const USELESS_AFTER: u64 = 3;

/// Part of the worth of a submission that is late.
const LATE_PART: f64 = 0.2;

/// Something on its way.
#[derive(Debug)]
enum Event {
    Submit(usize),
    Start(StartOrder),
    Started(StartOrder, StartOutcome),
    Stop(StopOrder),
    Stopped(StopOrder, StopOutcome),
    Hold(RenewOrder, u64),
    Held(
        RenewOrder,
        u64,
        Option<lagoonnotch_fleet::model::RenewReply>,
    ),
    HoldWaited(Arc<str>, u64),
    Advance(Arc<str>),
    Commit(u64, CommitBatch),
    Committed(u64, CommitBatch),
    Advised(u64, u64, QueryOutcome),
    Directory,
    Packing,
    TakeOver,
}

/// What the model knows of a submission.
#[derive(Debug)]
struct JobEntry {
    job: DrawnJob,
    first_start_at: Option<u64>,
    ended: Option<(u64, SubmissionState)>,
}

/// Upstreams by identifier.
type UpstreamMap = BTreeMap<Arc<str>, ModelUpstream>;

/// A fleet in virtual time.
pub struct FleetModel {
    settings: ModelSettings,
    owner_settings: OwnerSettings,
    config: Arc<ApprovedConfig>,
    queues: Vec<Arc<QueuePolicy>>,
    draw: Draw,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    upstreams: UpstreamMap,
    /// Upstreams of each pool of the mix.
    pools: Vec<Vec<Arc<str>>>,
    /// Renewals that wait for an end: the order, when it was sent, and its number.
    waiting_holds: HashMap<Arc<str>, (RenewOrder, u64, u64)>,
    jobs: HashMap<Arc<str>, JobEntry>,
    owner: OwnerMachine,
    epoch: u64,
    revision: u64,
    generation: u32,
    progress: HashMap<Arc<str>, ProgressRecord>,
    roster: Vec<RosterEntry>,
    /// When each host's last question is answered.
    desk_free_at: HashMap<Arc<str>, u64>,
    next_tick_at: u64,
    used: Vec<(f64, u32)>,
    outcome: FleetOutcome,
    cost: OwnerCost,
}

impl FleetModel {
    /// Makes a model.
    #[must_use]
    pub fn new(settings: ModelSettings, owner_settings: OwnerSettings) -> Self {
        let queues: Vec<_> = settings
            .mix
            .kinds
            .iter()
            .map(|kind| Arc::new(kind.queue()))
            .collect();
        let config = approved_state(&settings, &queues);
        let mut draw = Draw::new(settings.seed);
        let (upstreams, pools) = make_upstreams(&settings, &mut draw);
        let owner = OwnerMachine::new(owner_settings, 1, 0, config.clone());
        let used = vec![(0.0, 0); settings.mix.pools.len()];
        Self {
            owner_settings,
            config,
            queues,
            draw,
            now: BEGIN_MS - 2 * DIRECTORY_MS,
            events: BTreeMap::new(),
            sequence: 0,
            upstreams,
            pools,
            waiting_holds: HashMap::new(),
            jobs: HashMap::new(),
            owner,
            epoch: 1,
            revision: 1,
            generation: 0,
            progress: HashMap::new(),
            roster: Vec::new(),
            desk_free_at: HashMap::new(),
            next_tick_at: 0,
            used,
            outcome: FleetOutcome::default(),
            cost: OwnerCost::default(),
            settings,
        }
    }

    /// Plays the load and returns what came of it.
    #[must_use]
    pub fn play(mut self) -> FleetOutcome {
        self.owner
            .recover(self.now, self.now, RecoveredState::default());
        self.owner.set_query_hosts(&self.hosts());
        self.push(0, Event::Directory);
        self.push(2 * DIRECTORY_MS, Event::Packing);
        for kind in 0..self.settings.mix.kinds.len() {
            self.plan_next(kind, BEGIN_MS);
        }
        for at in self.settings.take_overs.clone() {
            self.push(BEGIN_MS + at - self.now, Event::TakeOver);
        }
        let end = BEGIN_MS + self.settings.load_ms + self.settings.drain_ms;
        while self.now < end {
            let next = self.events.first_key_value().map(|(key, _)| key.0);
            let next_event = next.unwrap_or(u64::MAX);
            self.now = next_event.min(self.next_tick_at).max(self.now);
            let mut any = self.now >= self.next_tick_at;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                any |= self.deliver(event);
            }
            if any {
                self.tick();
            }
        }
        self.judge()
    }

    fn hosts(&self) -> BTreeSet<Arc<str>> {
        (0..self.settings.hosts)
            .map(|number| format!("host-{number}").into())
            .collect()
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Plans the next submission of a kind.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    fn plan_next(&mut self, kind: usize, from: u64) {
        let spec = &self.settings.mix.kinds[kind];
        let since = from.saturating_sub(BEGIN_MS);
        let rate = spec.per_s * self.settings.mix.burst_factor(spec.name, since);
        let at = from + (self.draw.pause(rate) * 1000.0).ceil() as u64;
        if at < BEGIN_MS + self.settings.load_ms {
            self.push(at - self.now.min(at), Event::Submit(kind));
        }
    }

    /// Brings an event; tells whether the owner should tick.
    fn deliver(&mut self, event: Event) -> bool {
        match event {
            Event::Submit(kind) => self.submit(kind),
            Event::Start(order) => return self.start(order),
            Event::Stop(order) => {
                let reached = !self.is_cut(&order.upstream);
                let now = self.now;
                let outcome = match self.upstreams.get_mut(&order.upstream) {
                    Some(upstream) if reached => upstream.stop(now, &order),
                    _ => StopOutcome::Unknown,
                };
                self.release_hold(&order.upstream);
                self.push(STOP_MS, Event::Advance(order.upstream.clone()));
                let delay = if reached { WAY_MS } else { LOST_MS };
                self.push(delay, Event::Stopped(order, outcome));
                return false;
            }
            Event::Hold(order, sent_at) => return self.hold(order, sent_at),
            Event::HoldWaited(upstream, number) => {
                if self
                    .waiting_holds
                    .get(&upstream)
                    .is_some_and(|(_, _, waiting)| *waiting == number)
                {
                    self.answer_hold(&upstream);
                }
                return false;
            }
            Event::Advance(id) => {
                let now = self.now;
                if let Some(upstream) = self.upstreams.get_mut(&id) {
                    upstream.advance(now);
                }
                self.release_hold(&id);
                return false;
            }
            Event::Commit(epoch, batch) => {
                self.commit(epoch, batch);
                return false;
            }
            Event::Directory => self.read_directory(),
            Event::Packing => {
                self.measure_packing();
                return false;
            }
            Event::TakeOver => self.take_over(),
            Event::Started(order, outcome) => {
                let now = self.now;
                self.timed(|owner| owner.on_start(now, &order, outcome), order.epoch);
            }
            Event::Stopped(order, outcome) => {
                let now = self.now;
                self.timed(|owner| owner.on_stop(now, &order, outcome), order.epoch);
            }
            Event::Held(order, sent_at, answer) => {
                let now = self.now;
                self.timed(
                    |owner| match &answer {
                        Some(answer) => owner.on_renewed(now, sent_at, &order.upstream, answer),
                        None => owner.on_renewal_failed(now, &order.upstream),
                    },
                    order.epoch,
                );
            }
            Event::Committed(epoch, batch) => {
                let now = self.now;
                let outcome = CommitOutcome::Stored;
                self.timed(|owner| owner.on_commit(now, &batch, outcome), epoch);
                for (id, progress) in &batch.progress {
                    self.note_final(id, progress.state);
                }
                for ended in &batch.ended {
                    self.note_final(&ended.id, ended.state);
                }
            }
            Event::Advised(epoch, ask, outcome) => {
                let now = self.now;
                self.timed(|owner| owner.on_query_outcome(now, ask, &outcome), epoch);
            }
        }
        true
    }

    /// Gives an input to the owner of an epoch, and measures what it costs.
    fn timed(&mut self, input: impl FnOnce(&mut OwnerMachine), epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        let began = Instant::now();
        input(&mut self.owner);
        self.cost.total += began.elapsed();
    }

    fn tick(&mut self) {
        let began = Instant::now();
        self.owner.tick(self.now, self.now, true);
        self.next_tick_at = self.owner.next_due_at(self.now, self.now).max(self.now + 1);
        let effects = self.owner.take_effects();
        let took = began.elapsed();
        self.cost.total += took;
        self.cost.ticks += took;
        self.cost.longest_tick = self.cost.longest_tick.max(took);
        self.cost.tick_count += 1;
        let epoch = self.epoch;
        for effect in effects {
            match effect {
                OwnerEffect::Renew(order) => self.push(WAY_MS, Event::Hold(order, self.now)),
                OwnerEffect::Start(order) => self.push(WAY_MS, Event::Start(order)),
                OwnerEffect::Stop(order) => self.push(WAY_MS, Event::Stop(order)),
                OwnerEffect::Commit(batch) => self.push(COMMIT_MS, Event::Commit(epoch, batch)),
                OwnerEffect::Query(order) => self.ask(epoch, &order),
                OwnerEffect::StepDown => {}
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        let team = self.draw_team();
        let number = self.jobs.len() as u64;
        let spec = &self.settings.mix.kinds[kind];
        let job = spec.draw(
            &mut self.draw,
            number,
            kind,
            &self.queues[kind],
            &team,
            self.now,
        );
        self.revision += 1;
        let (now, revision, record) = (self.now, self.revision, job.record.clone());
        let entry = JobEntry {
            job,
            first_start_at: None,
            ended: None,
        };
        self.jobs.insert(record.id.clone(), entry);
        let epoch = self.epoch;
        self.timed(|owner| owner.add_submission(now, record, revision), epoch);
        self.plan_next(kind, now);
    }

    fn draw_team(&mut self) -> Arc<str> {
        let mut place = self.draw.unit()
            * self
                .settings
                .teams
                .iter()
                .map(|team| team.part)
                .sum::<f64>();
        for team in &self.settings.teams {
            place -= team.part;
            if place <= 0.0 {
                return team.name.into();
            }
        }
        self.settings.teams[0].name.into()
    }

    fn start(&mut self, order: StartOrder) -> bool {
        if self.is_cut(&order.upstream) {
            self.push(LOST_MS, Event::Started(order, StartOutcome::Unknown));
            return false;
        }
        self.outcome.starts += 1;
        let (duration, kind) = self.draw_run(&order);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&order.task.submission) else {
            return false;
        };
        let size = job.job.record.steps[order.task.step as usize].allocation();
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return false;
        };
        let resumed_ms = upstream.saved_ms(&order);
        let duration = duration.saturating_sub(resumed_ms).max(1);
        let outcome = upstream.start(now, &order, size, (duration, kind));
        if outcome == StartOutcome::Started {
            job.first_start_at.get_or_insert(now);
            let upstream = order.upstream.clone();
            self.push(duration, Event::Advance(upstream));
        }
        self.push(WAY_MS, Event::Started(order, outcome));
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
        let Some(entry) = self.jobs.get(&order.task.submission) else {
            return (1, RunOutcome::Failed);
        };
        let kind = &self.settings.mix.kinds[entry.job.kind];
        let speed = self
            .upstreams
            .get(&order.upstream)
            .map_or(1.0, |upstream| upstream.speed);
        let mut duration = entry.job.work_ms[order.task.step as usize] as f64 / speed;
        // The same run ends alike whatever else the policy does, so that policies can be compared.
        let mut luck =
            Draw::new(self.settings.seed ^ hash_of(&[&order.task.to_string()], order.attempt));
        let mut fails = entry.job.hopeless || luck.happens(kind.failing);
        if let Some(fault) = self.fault_of(&order.upstream) {
            duration *= fault.slowness;
            fails |= fault.fails;
        }
        let end = if fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        (duration.max(1.0) as u64, end)
    }

    fn fault_of(&self, upstream: &Arc<str>) -> Option<crate::UpstreamFault> {
        let entry = self.upstreams.get(upstream)?;
        let since = self.now.saturating_sub(BEGIN_MS);
        self.settings
            .faults
            .iter()
            .find(|fault| {
                (fault.at_ms..fault.at_ms + fault.for_ms).contains(&since)
                    && entry.lot < fault.share
            })
            .copied()
    }

    fn is_cut(&self, upstream: &Arc<str>) -> bool {
        self.fault_of(upstream).is_some_and(|fault| fault.cut)
    }

    fn hold(&mut self, order: RenewOrder, sent_at: u64) -> bool {
        if self.is_cut(&order.upstream) {
            self.push(LOST_MS, Event::Held(order, sent_at, None));
            return false;
        }
        let now = self.now;
        let id = order.upstream.clone();
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return false;
        };
        upstream.renew(now, &order);
        let at_once = order.wait_ms == 0 || !upstream.ended.is_empty();
        self.sequence += 1;
        let (wait_ms, number) = (order.wait_ms, self.sequence);
        self.waiting_holds
            .insert(id.clone(), (order, sent_at, number));
        if at_once {
            self.answer_hold(&id);
        } else {
            self.push(wait_ms, Event::HoldWaited(id, number));
        }
        false
    }

    /// Answers a renewal that waits, if an end is listed.
    fn release_hold(&mut self, id: &Arc<str>) {
        let listed = self
            .upstreams
            .get(id)
            .is_some_and(|upstream| !upstream.ended.is_empty());
        if listed && !self.is_cut(id) {
            self.answer_hold(id);
        }
    }

    fn answer_hold(&mut self, id: &Arc<str>) {
        let Some((order, sent_at, _)) = self.waiting_holds.remove(id) else {
            return;
        };
        let now = self.now;
        let answer = self
            .upstreams
            .get_mut(id)
            .and_then(|upstream| upstream.hold(now, &order));
        self.push(WAY_MS, Event::Held(order, sent_at, answer));
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    fn ask(&mut self, epoch: u64, order: &QueryOrder) {
        let Some(name) = TaskName::parse(&format!("{}.0", order.step)) else {
            return;
        };
        let Some(entry) = self.jobs.get(&name.submission) else {
            return;
        };
        let kind = &self.settings.mix.kinds[entry.job.kind];
        let desk = kind.desk;
        let takes = (desk.decision_ms + desk.per_upstream_ms * order.upstreams.len() as f64) as u64;
        let allowed = order
            .upstreams
            .iter()
            .filter(|id| is_allowed(&order.step, id, kind.allowed))
            .map(|id| (id.clone(), Arc::from("ticket")))
            .collect();
        let free_at = self.desk_free_at.entry(order.host.clone()).or_default();
        *free_at = (*free_at).max(self.now) + takes;
        let delay = *free_at - self.now + 2 * WAY_MS;
        self.outcome.questions.0 += 1;
        self.outcome.questions.1 += takes;
        let answer = QueryOutcome::Answered(PolicyDecision {
            allowed,
            valid_ms: desk.valid_ms,
        });
        self.push(delay, Event::Advised(epoch, order.query_id, answer));
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
        self.push(WAY_MS, Event::Committed(epoch, batch));
    }

    fn note_final(&mut self, id: &Arc<str>, state: SubmissionState) {
        let now = self.now;
        if state.is_final()
            && let Some(entry) = self.jobs.get_mut(id)
        {
            entry.ended.get_or_insert((now, state));
        }
    }

    fn read_directory(&mut self) {
        let (now, sequence) = (self.now, self.now / REPORT_MS);
        let reports = self
            .upstreams
            .values()
            .map(|upstream| UpstreamReport {
                sequence,
                ..upstream.report.clone()
            })
            .collect();
        let epoch = self.epoch;
        self.timed(|owner| owner.set_directory(now, reports), epoch);
        self.push(DIRECTORY_MS, Event::Directory);
    }

    #[expect(clippy::cast_precision_loss, reason = "small positive amounts")]
    fn measure_packing(&mut self) {
        if self.now > BEGIN_MS + self.settings.load_ms {
            return;
        }
        for (place, members) in self.pools.iter().enumerate() {
            let (mut used, mut capacity) = (ResourceSize::ZERO, ResourceSize::ZERO);
            for upstream in members.iter().filter_map(|id| self.upstreams.get(id)) {
                capacity += upstream.capacity;
                for run in upstream.runs.values() {
                    used += run.size;
                }
            }
            let part = |used: u64, all: u64| used as f64 / (all.max(1)) as f64;
            let dominant = part(used.cpu_milli, capacity.cpu_milli)
                .max(part(used.memory_mib, capacity.memory_mib))
                .max(part(used.accelerators, capacity.accelerators));
            self.used[place].0 += dominant;
            self.used[place].1 += 1;
        }
        self.push(PACKING_MS, Event::Packing);
    }

    /// Makes a new owner from what the store holds.
    fn take_over(&mut self) {
        self.revision += 1;
        self.epoch = self.revision;
        self.generation += 1;
        let submissions: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.ended.is_none())
            .map(|(id, entry)| StoredSubmission {
                record: entry.job.record.clone(),
                progress: self.progress.get(id).cloned(),
                cancelled: false,
            })
            .collect();
        let recovered = RecoveredState {
            submissions,
            roster: self.roster.clone(),
            revision: self.revision,
            stale_cancels: Vec::new(),
            previous_owner_active_ms: 0,
        };
        let began = Instant::now();
        let mut owner = OwnerMachine::new(
            self.owner_settings,
            self.epoch,
            self.generation,
            self.config.clone(),
        );
        owner.recover(self.now, self.now, recovered);
        owner.set_query_hosts(&self.hosts());
        self.cost.total += began.elapsed();
        self.owner = owner;
        self.read_directory();
    }

    fn judge(mut self) -> FleetOutcome {
        let kinds = &self.settings.mix.kinds;
        let mut outcomes: Vec<_> = kinds
            .iter()
            .map(|kind| KindOutcome {
                name: kind.name,
                ..KindOutcome::default()
            })
            .collect();
        let mut teams: HashMap<Arc<str>, (f64, f64)> = HashMap::new();
        for entry in self.jobs.values() {
            let outcome = &mut outcomes[entry.job.kind];
            let earned = count_job(entry, &kinds[entry.job.kind], outcome);
            if let Some(team) = &entry.job.record.team {
                let sums = teams.entry(team.clone()).or_default();
                sums.0 += earned;
                sums.1 += kinds[entry.job.kind].worth;
            }
        }
        for outcome in &mut outcomes {
            outcome.waits_ms.sort_unstable();
        }
        self.outcome.kinds = outcomes;
        let mean = self.outcome.worth();
        self.outcome.unfairness = teams
            .values()
            .map(|(earned, owed)| (earned / owed - mean).abs())
            .fold(0.0, f64::max);
        self.outcome.packing = self
            .settings
            .mix
            .pools
            .iter()
            .zip(&self.used)
            .map(|(pool, (sum, count))| (pool.name, sum / f64::from((*count).max(1))))
            .collect();
        self.outcome.stopped = self
            .upstreams
            .values()
            .map(|upstream| upstream.stopped)
            .sum();
        self.outcome.cost = self.cost;
        self.outcome
    }
}

/// Counts what came of a submission; returns the worth that it earned.
fn count_job(entry: &JobEntry, kind: &crate::JobKind, outcome: &mut KindOutcome) -> f64 {
    let job = &entry.job;
    outcome.submitted += 1;
    outcome.owed += kind.worth;
    if let Some(started_at) = entry.first_start_at {
        outcome.waits_ms.push(started_at - job.submitted_at);
    }
    let ended = if kind.lasting {
        entry
            .first_start_at
            .map(|at| (at, SubmissionState::Completed))
    } else {
        entry.ended
    };
    let wanted = if job.hopeless {
        SubmissionState::Failed
    } else {
        SubmissionState::Completed
    };
    let took = ended.map(|(at, _)| at - job.submitted_at);
    let earned = match (ended, took) {
        (Some((_, state)), _) if state != wanted => {
            outcome.failed += 1;
            0.0
        }
        (_, Some(took)) if took <= job.objective_ms => {
            outcome.in_time += 1;
            kind.worth
        }
        (_, Some(took)) if took <= job.objective_ms * USELESS_AFTER => {
            outcome.late += 1;
            kind.worth * LATE_PART
        }
        _ => {
            outcome.useless += 1;
            0.0
        }
    };
    outcome.worth += earned;
    earned
}

/// Tells whether the policy service allows an upstream; the answer never changes.
#[expect(clippy::cast_precision_loss, reason = "a share")]
fn is_allowed(step: &str, upstream: &str, share: f64) -> bool {
    let place = hash_of(&[step, upstream], 0) >> 40;
    (place as f64 / f64::from(1 << 24)) < share
}

/// Returns a number that depends on the texts and the number alone, and looks random.
fn hash_of(texts: &[&str], number: u32) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ u64::from(number);
    for byte in texts.iter().flat_map(|text| text.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn approved_state(settings: &ModelSettings, queues: &[Arc<QueuePolicy>]) -> Arc<ApprovedConfig> {
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
fn make_upstreams(settings: &ModelSettings, draw: &mut Draw) -> (UpstreamMap, Vec<Vec<Arc<str>>>) {
    /// Failure domains that upstreams are dealt to.
    const DOMAINS: [&str; 3] = ["north", "middle", "south"];
    let mut upstreams = BTreeMap::new();
    let mut pools = Vec::new();
    for pool in &settings.mix.pools {
        let mut members = Vec::new();
        for number in 0..pool.upstreams {
            let id: Arc<str> = format!("{}-{number}", pool.name).into();
            let size = pool.sizes[number as usize % pool.sizes.len()];
            let scaled = |amount: u64| (amount as f64 * size) as u64;
            let capacity = ResourceSize::new(
                scaled(pool.capacity.cpu_milli),
                scaled(pool.capacity.memory_mib),
                pool.capacity.accelerators,
            );
            let mut upstream = ModelUpstream::new(&id, 1, 1000 + draw.below(100_000));
            upstream.capacity = capacity;
            upstream.stop_ms = STOP_MS;
            upstream.speed = pool.speeds[number as usize % pool.speeds.len()];
            upstream.lot = draw.unit();
            upstream.report = UpstreamReport {
                id: id.clone(),
                incarnation_unix_ms: 1,
                pool: pool.name.into(),
                address: id.clone(),
                failure_domain: DOMAINS[number as usize % DOMAINS.len()].into(),
                draining: false,
                sequence: 0,
                capacity,
                labels: Arc::from(["a".into(), format!("rack-{}", number / pool.rack).into()]),
            };
            members.push(id.clone());
            upstreams.insert(id, upstream);
        }
        pools.push(members);
    }
    (upstreams, pools)
}
