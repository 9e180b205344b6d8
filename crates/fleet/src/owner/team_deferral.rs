//! Deferral: work of a team beyond its rate and its share comes after all other work.
//!
//! The load: a pool is short of a resource while one team sends several times its usual rate. A
//! step of such a submission is deferred as long as its team uses its share of that resource. A
//! team that falls below its share is no longer deferred, so its excess never starves.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use crate::model::{ResourceSize, SubmissionState};
use crate::owner::fleet_view::FleetView;
use crate::owner::placement_schedule::PlacementScope;
use crate::owner::ready_list::ReadyStep;
use crate::owner::slot_claims::StepKey;
use crate::owner::submission_entry::{SubmissionEntry, TaskEntry, TaskPhase};
use crate::owner::team_shares::{PoolShares, SharedResource};
use crate::owner::{OwnerEffect, OwnerMachine};

/// Time between two counts of the teams' claims, in milliseconds. Starts and ends of runs are added
/// at once; a count takes in new submissions and upstreams.
const REFRESH_INTERVAL_MS: u64 = 50;

/// Time without deferred steps after which a team's deferral is reported to have ended, in
/// milliseconds. Around its share a team is deferred and restored with each run that ends.
const RESTORED_AFTER_MS: u64 = 1000;

/// The beginning of the deferral of a team's work in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct DeferralReport {
    /// Name of the team.
    pub team: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Resource of which the pool is short and the team uses its share.
    pub resource: SharedResource,
    /// What the team uses of it, in the resource's unit.
    pub used: u64,
    /// The team's share of it, in the resource's unit.
    pub share: u64,
    /// Weight of the team; also its rate in submissions per second up to which none is deferred.
    pub weight: u64,
    /// Submissions per second that the team has sent in the last seconds.
    pub submissions_per_s: u64,
}

/// The end of the deferral of a team's work in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoreReport {
    /// Name of the team.
    pub team: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// How long work of the team was deferred, in milliseconds.
    pub lasted_ms: u64,
}

/// A time in which work of a team is deferred in a pool.
#[derive(Clone, Copy, Debug)]
struct DeferralPeriod {
    since: u64,
    /// Time of the last count with deferred steps.
    last_seen_at: u64,
}

/// Which teams are deferred where, for reports.
#[derive(Debug, Default)]
pub(super) struct DeferralLog {
    /// By pool and team.
    periods: BTreeMap<(Arc<str>, Arc<str>), DeferralPeriod>,
    /// Number of deferred steps at the last count.
    steps: usize,
}

/// Sort key of a team in a pool: its weighted use, then the scheduling order of its first step.
type TeamOrder = Reverse<(u64, usize)>;

impl OwnerMachine {
    /// Counts the claims of the teams on each pool, if any submission is beyond its team's rate.
    pub(super) fn refresh_shares(&mut self, now: u64, view: &FleetView) {
        if now < self.shares.next_refresh_at {
            return;
        }
        self.shares.next_refresh_at = now + REFRESH_INTERVAL_MS;
        let earlier = std::mem::take(&mut self.shares.pools);
        self.rates.retain_active(&self.active);
        if self.rates.any_beyond() {
            self.count_claims(now, view, &earlier);
            self.mark_awaited_resources();
            if self.shares.pools.values().any(PoolShares::is_short) {
                self.store_decisions();
            }
        }
        self.report_deferrals(now);
    }

    fn count_claims(
        &mut self,
        now: u64,
        view: &FleetView,
        earlier: &BTreeMap<Arc<str>, PoolShares>,
    ) {
        let mut pools: BTreeMap<Arc<str>, PoolShares> = BTreeMap::new();
        for (name, pool) in &view.pools {
            let shares = pools.entry(name.clone()).or_default();
            let counted = earlier.get(name);
            shares.full_at = counted.map_or([None; 3], |earlier| earlier.full_at);
            for upstream in &pool.upstreams {
                shares.capacity += upstream.capacity;
                shares.free += upstream.free;
            }
        }
        for entry in self.upstreams.values() {
            let Some(shares) = pools.get_mut(&entry.report.pool) else {
                continue;
            };
            for run in entry.runs.values() {
                if let Some(team) = &run.team {
                    shares.team_mut(team).used += run.allocation;
                }
            }
        }
        for ready in self.ready.known_steps() {
            let waiting = ready.allocation.saturating_mul(self.waiting_tasks(ready));
            if let Some(shares) = pools.get_mut(&ready.queue.pool) {
                match &ready.team {
                    Some(team) => shares.team_mut(team).waiting += waiting,
                    None => shares.waiting_without_team += waiting,
                }
            }
        }
        for shares in pools.values_mut() {
            for (team, claim) in &mut shares.teams {
                let policy = self.config.teams.get(team);
                claim.weight = policy.map_or(0, |policy| policy.weight);
                // What the team's upper limit keeps out does not make the pool short.
                claim.waiting = claim.waiting.min(&self.team_headroom(Some(team)));
            }
            shares.divide(now);
        }
        self.shares.pools = pools;
    }

    fn mark_awaited_resources(&mut self) {
        let mut awaited = Vec::new();
        for ready in self.ready.known_steps() {
            if !self.is_deferred(ready) && self.waiting_tasks(ready) > 0 {
                awaited.push((ready.queue.pool.clone(), ready.allocation));
            }
        }
        for (pool, size) in awaited {
            if let Some(shares) = self.shares.pools.get_mut(&pool) {
                shares.mark_awaited(&size);
            }
        }
    }

    /// Returns the number of tasks of a step that are waiting.
    fn waiting_tasks(&self, ready: &ReadyStep) -> u64 {
        let tasks = self.step_of(ready).map_or(&[][..], |step| &step.tasks);
        tasks.iter().filter(|task| is_waiting_task(task)).count() as u64
    }

    /// Returns whether a step is deferred: its submission is beyond its team's rate, the pool is
    /// short of a resource that it needs, and the team uses its share of that resource. Valid
    /// during a placement pass; includes what the pass has placed so far.
    pub(super) fn is_deferred(&self, ready: &ReadyStep) -> bool {
        self.exhausted_share(ready).is_some()
    }

    fn exhausted_share(&self, ready: &ReadyStep) -> Option<SharedResource> {
        let team = ready.team.as_ref().filter(|_| ready.beyond_rate)?;
        let shares = self.shares.pools.get(&ready.queue.pool)?;
        let resource = shares.exhausted_share(team, &ready.allocation)?;
        (!self.is_restart(ready)).then_some(resource)
    }

    /// Returns whether tasks of a long-running step are to be restarted, now or soon; they must be
    /// back within 9 s. The store keeps no attempt number of a task without a run, so a successor takes the tasks
    /// of a long-running submission that has started for restarted ones.
    fn is_restart(&self, ready: &ReadyStep) -> bool {
        if !ready.submission_is_long_running {
            return false;
        }
        let Some(entry) = self.submissions.get(&ready.submission) else {
            return false;
        };
        let spec = entry.record.steps.get(ready.step as usize);
        if spec.is_none_or(|spec| !spec.long_running) {
            return false;
        }
        let was_restored = entry.known_at <= self.took_over_at;
        let was_started = was_restored && entry.state == SubmissionState::Running;
        let step = self.step_of(ready);
        let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
        was_started || tasks.any(|task| self.awaits_restart(task))
    }

    /// Returns whether a task that has been started waits, or will once the leases on a silent
    /// upstream have expired.
    fn awaits_restart(&self, task: &TaskEntry) -> bool {
        match task.phase {
            TaskPhase::Waiting => task.attempt > 0,
            TaskPhase::Placed => {
                let upstream = task.upstream.as_ref();
                let entry = upstream.and_then(|id| self.upstreams.get(id));
                entry.is_some_and(|entry| entry.held_since.is_some())
            }
            TaskPhase::Done => false,
        }
    }

    /// Returns how many tasks of a step may be placed at once: as many as fit into the team's
    /// share, but at least one. The others wait until the step's place in the order is known again.
    pub(super) fn max_tasks_at_once(&self, ready: &ReadyStep) -> u64 {
        let Some(team) = ready.team.as_ref().filter(|_| ready.beyond_rate) else {
            return u64::MAX;
        };
        let Some(shares) = self.shares.pools.get(&ready.queue.pool) else {
            return u64::MAX;
        };
        if self.is_deferred(ready) || self.is_restart(ready) {
            return u64::MAX;
        }
        shares.items_in_share(team, &ready.allocation).max(1)
    }

    /// Returns whether the next start of a step beyond the rate would bring its team beyond its
    /// share. If such steps came in the order of their deadlines, teams with older work would
    /// together keep another one below its share, each by less than one task.
    fn exceeds_share(&self, ready: &ReadyStep) -> bool {
        let Some(team) = ready.team.as_ref().filter(|_| ready.beyond_rate) else {
            return false;
        };
        let shares = self.shares.pools.get(&ready.queue.pool);
        shares.is_some_and(|shares| shares.exceeds_share(team, &ready.start_size))
            && !self.is_restart(ready)
    }

    /// Places steps in scheduling order, but those that would exceed their teams' shares after the
    /// others, and deferred ones last; these two by the weighted use of their teams. Deferred steps
    /// are placed only in full passes.
    pub(super) fn place_steps(
        &mut self,
        now: u64,
        ready: Vec<Arc<ReadyStep>>,
        scope: PlacementScope,
        view: &mut FleetView,
    ) {
        let (mut exceeding, mut deferred) = (Vec::new(), Vec::new());
        for step in ready {
            if !self.is_deferred(&step) && !self.exceeds_share(&step) {
                self.place_step(now, &step, view);
            }
            if self.is_deferred(&step) {
                deferred.push(step);
            } else if self.exceeds_share(&step) {
                exceeding.push(step);
            }
        }
        if !exceeding.is_empty() {
            deferred.extend(self.place_by_use(now, exceeding, true, view));
        }
        self.send_deferred_queries(now, view);
        if scope == PlacementScope::All && !deferred.is_empty() {
            deferred.sort_by_cached_key(|step| step.scheduling_key(now));
            self.place_by_use(now, deferred, false, view);
            self.send_deferred_queries(now, view);
        }
    }

    /// Returns whether a step holds no capacity while it waits: it is deferred, and steps that are
    /// not wait for the resource of which its team uses its share.
    pub(super) fn yields_capacity(&self, ready: &ReadyStep) -> bool {
        let (true, Some(team)) = (self.is_deferred(ready), &ready.team) else {
            return false;
        };
        let shares = self.shares.pools.get(&ready.queue.pool);
        shares.is_some_and(|shares| shares.is_share_awaited(team, &ready.allocation))
    }

    /// Returns whether a run of a submission is part of what its team sends beyond its rate and
    /// uses beyond its share.
    pub(super) fn is_excess_run(
        &self,
        submission: &SubmissionEntry,
        pool: &str,
        allocation: &ResourceSize,
    ) -> bool {
        let is_beyond = submission.rate.is_some_and(|rate| rate.beyond);
        let Some(team) = submission.record.team.as_ref().filter(|_| is_beyond) else {
            return false;
        };
        let shares = self.shares.pools.get(pool);
        shares.is_some_and(|shares| shares.exhausted_share(team, allocation).is_some())
    }

    /// Withdraws the claims of deferred gangs on capacity that others wait for.
    pub(super) fn withdraw_claims(&mut self, ready: &[Arc<ReadyStep>]) {
        for step in ready {
            if step.holds_capacity && self.yields_capacity(step) {
                self.claims.take(&StepKey::from(&**step));
            }
        }
    }

    /// Places steps, those of the teams with the smallest weighted use first. With `leaves_deferred`
    /// returns those that are or become deferred, and does not place these any further.
    fn place_by_use(
        &mut self,
        now: u64,
        steps: Vec<Arc<ReadyStep>>,
        leaves_deferred: bool,
        view: &mut FleetView,
    ) -> Vec<Arc<ReadyStep>> {
        let mut left = Vec::new();
        let mut numbers = BTreeMap::new();
        let mut teams: Vec<VecDeque<Arc<ReadyStep>>> = Vec::new();
        for step in steps {
            let key = (step.queue.pool.clone(), step.team.clone());
            let number = *numbers.entry(key).or_insert(teams.len());
            if number == teams.len() {
                teams.push(VecDeque::new());
            }
            teams[number].push_back(step);
        }
        let mut heap: BinaryHeap<TeamOrder> = BinaryHeap::new();
        for (number, steps) in teams.iter().enumerate() {
            heap.extend(steps.front().map(|step| self.team_order(step, number)));
        }
        while let Some(Reverse((_, number))) = heap.pop() {
            let Some(step) = teams[number].pop_front() else {
                continue;
            };
            if !leaves_deferred || !self.is_deferred(&step) {
                self.place_step(now, &step, view);
            }
            if leaves_deferred && self.is_deferred(&step) {
                left.push(step);
            }
            let next = teams[number].front();
            heap.extend(next.map(|step| self.team_order(step, number)));
        }
        left
    }

    fn team_order(&self, step: &ReadyStep, number: usize) -> TeamOrder {
        let shares = self.shares.pools.get(&step.queue.pool);
        let weighted_use = shares.zip(step.team.as_ref()).and_then(|(shares, team)| {
            let claim = shares.teams.get(team)?;
            Some(claim.weighted_use(&shares.capacity))
        });
        Reverse((weighted_use.unwrap_or(0), number))
    }

    /// Reports the teams of which work begins to be deferred, or no longer is.
    fn report_deferrals(&mut self, now: u64) {
        let mut found = BTreeMap::new();
        let mut steps = 0;
        for ready in self.ready.known_steps().filter(|step| step.beyond_rate) {
            if let (Some(resource), Some(team)) = (self.exhausted_share(ready), &ready.team) {
                steps += 1;
                found
                    .entry((ready.queue.pool.clone(), team.clone()))
                    .or_insert(resource);
            }
        }
        self.deferrals.steps = steps;
        for ((pool, team), resource) in found {
            let period = DeferralPeriod {
                since: now,
                last_seen_at: now,
            };
            let key = (pool.clone(), team.clone());
            if let Some(known) = self.deferrals.periods.get_mut(&key) {
                known.last_seen_at = now;
                continue;
            }
            self.deferrals.periods.insert(key, period);
            let shares = self.shares.pools.get(&pool);
            let claim = shares.and_then(|shares| shares.teams.get(&team));
            let claim = claim.cloned().unwrap_or_default();
            self.effects
                .push(OwnerEffect::ReportDeferral(DeferralReport {
                    submissions_per_s: self.rates.submissions_per_s(&team),
                    team,
                    pool,
                    resource,
                    used: resource.of(&claim.used),
                    share: resource.of(&claim.share),
                    weight: claim.weight,
                }));
        }
        let effects = &mut self.effects;
        self.deferrals.periods.retain(|(pool, team), period| {
            let lasts = now < period.last_seen_at + RESTORED_AFTER_MS;
            if !lasts {
                effects.push(OwnerEffect::ReportRestore(RestoreReport {
                    team: team.clone(),
                    pool: pool.clone(),
                    lasted_ms: period.last_seen_at - period.since,
                }));
            }
            lasts
        });
    }

    /// Reports the ends of deferrals while no step may start, so that no claims are counted.
    pub(super) fn end_deferrals(&mut self, now: u64) {
        if self.ready.known_steps().next().is_none() {
            self.shares.pools.clear();
            self.report_deferrals(now);
        }
    }

    /// Returns the numbers of deferred steps, and of teams with such steps in the last second.
    #[must_use]
    pub fn deferred_counts(&self) -> (usize, usize) {
        let teams = self.deferrals.periods.keys().map(|(_, team)| team);
        let teams: BTreeSet<_> = teams.collect();
        (self.deferrals.steps, teams.len())
    }
}

fn is_waiting_task(task: &TaskEntry) -> bool {
    task.phase == TaskPhase::Waiting
}
