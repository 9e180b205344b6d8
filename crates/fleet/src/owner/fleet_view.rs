//! Snapshot of the upstreams for placement passes.
//!
//! A pass examines many steps, and for each step the upstreams that may run it. The snapshot is
//! built for each full pass, so the cost of a step depends on its number of candidates and not on
//! the number of upstreams. The passes in between, which examine few steps, reuse it and update
//! only the upstreams whose runs or reports have changed. An upstream that can no longer be used may stay in
//! it until the next full pass; a planned run is checked again before it is started.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::OwnerMachine;
use crate::owner::deferred_queries::DeferredQueries;
use crate::owner::ready_list::ReadyStep;

/// Index of an upstream in this owner; never reused for another upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct UpstreamIndex(pub u32);

/// An upstream that accepts starts.
#[derive(Debug)]
pub(super) struct UpstreamView {
    pub index: UpstreamIndex,
    pub id: Arc<str>,
    /// Kind and rack.
    pub labels: Arc<[Arc<str>]>,
    pub capacity: ResourceSize,
    /// Capacity that is not allocated.
    pub free: ResourceSize,
    /// Capacity reserved for earlier steps; later steps must not use it.
    pub reserved: ResourceSize,
    /// Whether it has no runs.
    pub is_empty: bool,
    /// Whether its runs take much longer than on other upstreams.
    pub slow: bool,
    /// Whether its runs would be held for longer than long-running tasks may be away if it were lost.
    pub holds_long: bool,
}

impl UpstreamView {
    /// Returns the free capacity that is not reserved for other steps.
    pub fn unreserved(&self) -> ResourceSize {
        self.free.saturating_sub(&self.reserved)
    }

    /// Returns the free capacity that is not reserved for other steps, once an amount has become
    /// free.
    pub fn free_with(&self, freed: &ResourceSize) -> ResourceSize {
        (self.free + *freed).saturating_sub(&self.reserved)
    }

    /// Returns the upstream's rack.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// The upstreams of one pool that accept starts.
#[derive(Debug, Default)]
pub(super) struct PoolView {
    pub upstreams: Vec<UpstreamView>,
    /// Capacity that becomes free within a duration in milliseconds, by duration.
    pub forecasts: HashMap<u64, CapacityForecast>,
    /// Capacity that the gangs examined so far in the pass wait for without a claim.
    pub awaited_by_gangs: ResourceSize,
}

/// Capacity of the upstreams of a pool that becomes free within a duration.
#[derive(Debug, Default)]
pub(super) struct CapacityForecast {
    /// Capacity that becomes free, by upstream position.
    pub freed: Vec<ResourceSize>,
    /// CPU that is free or becomes free, by upstream position.
    free_cpu: Vec<u64>,
    /// Upstream positions by the CPU that is free or becomes free, most first. The CPU that is
    /// actually free may be less, because steps are placed after the forecast was made.
    by_free_cpu: Vec<(u64, usize)>,
}

impl CapacityForecast {
    /// Creates the forecast of a pool.
    pub fn new(upstreams: &[UpstreamView], freed: Vec<ResourceSize>) -> Self {
        let free_cpu: Vec<_> = upstreams
            .iter()
            .zip(&freed)
            .map(|(upstream, freed)| upstream.free.cpu_milli + freed.cpu_milli)
            .collect();
        let mut by_free_cpu: Vec<_> = free_cpu.iter().copied().zip(0..).collect();
        by_free_cpu.sort_unstable_by_key(|(cpu_milli, _)| std::cmp::Reverse(*cpu_milli));
        Self {
            freed,
            free_cpu,
            by_free_cpu,
        }
    }

    /// Returns whether an upstream is among those of `positions_with_cpu`.
    pub fn has_cpu(&self, position: usize, cpu_milli: u64) -> bool {
        self.free_cpu[position] >= cpu_milli
    }

    /// Returns the positions of the upstreams that may have this much CPU, and possibly others.
    pub fn positions_with_cpu(&self, cpu_milli: u64) -> impl Iterator<Item = usize> {
        let roomy = self
            .by_free_cpu
            .iter()
            .take_while(move |(free_cpu_milli, _)| *free_cpu_milli >= cpu_milli);
        roomy.map(|(_, position)| *position)
    }
}

/// Part of a placement pass, by the tasks that it places.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PassPart {
    /// All but those that keep failing.
    Regular,
    /// Long-running tasks that keep failing; only free capacity is used for them.
    Yielding,
}

/// Snapshot of the fleet for one placement pass.
#[derive(Debug)]
pub(super) struct FleetView {
    pub pools: HashMap<Arc<str>, PoolView>,
    /// Position in its pool's view, by upstream index.
    positions: Vec<Option<u32>>,
    /// Cached headroom of the teams examined in this pass.
    pub team_headrooms: HashMap<Arc<str>, ResourceSize>,
    /// Demand of each team's tasks for which earlier steps of the pass have reserved capacity.
    reserved_headrooms: HashMap<Arc<str>, ResourceSize>,
    /// Number of victim searches that the pass may still make.
    pub preemption_searches_left: u32,
    pub part: PassPart,
    /// Steps with tasks that keep failing, which are placed at the end of a full pass.
    pub yielding_steps: Vec<ReadyStep>,
    /// Queries that are sent at the end of the pass if hosts are free.
    pub deferred_queries: DeferredQueries,
    /// When the forecasts of the pools were last discarded.
    forecasts_since: u64,
}

/// Longest time for which a long-running task may be held on a lost upstream, in milliseconds; it
/// must be back 9 s after its last run.
const MAX_LONG_RUNNING_HOLD_MS: u64 = 8200;

/// Age from which a forecast is made again, in milliseconds.
const MAX_FORECAST_AGE_MS: u64 = 50;

impl FleetView {
    /// Returns an upstream's position in the view of its pool, or `None` if it accepts no starts.
    pub fn position_of(&self, index: UpstreamIndex) -> Option<usize> {
        let position = self.positions.get(index.0 as usize).copied().flatten();
        position.map(|position| position as usize)
    }

    /// Discards what applied to an earlier pass only.
    fn begin_pass(&mut self, now: u64) {
        self.team_headrooms.clear();
        self.reserved_headrooms.clear();
        self.deferred_queries.clear();
        self.yielding_steps.clear();
        self.preemption_searches_left = super::preemption::MAX_PREEMPTION_SEARCHES;
        let forecasts_expired = now >= self.forecasts_since + MAX_FORECAST_AGE_MS;
        if forecasts_expired {
            self.forecasts_since = now;
        }
        for pool in self.pools.values_mut() {
            if forecasts_expired {
                pool.forecasts.clear();
            }
            pool.awaited_by_gangs = ResourceSize::ZERO;
            for upstream in &mut pool.upstreams {
                upstream.reserved = ResourceSize::ZERO;
            }
        }
    }

    /// Counts the demand of tasks for which capacity is reserved against their team's headroom.
    pub fn reserve_headroom(&mut self, team: Option<&Arc<str>>, demand: ResourceSize) {
        if let Some(team) = team {
            *self.reserved_headrooms.entry(team.clone()).or_default() += demand;
        }
    }

    /// Returns the demand of a team's tasks for which capacity is reserved.
    fn reserved_headroom(&self, team: Option<&Arc<str>>) -> ResourceSize {
        let held = team.and_then(|team| self.reserved_headrooms.get(team));
        held.copied().unwrap_or_default()
    }

    /// Lets no other step use an upstream of a pool.
    pub fn close(&mut self, pool: &str, position: usize) {
        let pool = self.pools.get_mut(pool);
        if let Some(upstream) = pool.and_then(|pool| pool.upstreams.get_mut(position)) {
            upstream.free = ResourceSize::ZERO;
        }
    }

    /// Returns an upstream of a pool, or `None` if it accepts no starts.
    pub fn upstream(&self, pool: &str, index: UpstreamIndex) -> Option<&UpstreamView> {
        let position = self.position_of(index)?;
        let found = self.pools.get(pool)?.upstreams.get(position);
        found.filter(|upstream| upstream.index == index)
    }

    /// Returns an upstream of a pool for changes, or `None` if it accepts no starts.
    pub fn upstream_mut(&mut self, pool: &str, index: UpstreamIndex) -> Option<&mut UpstreamView> {
        let position = self.position_of(index)?;
        let found = self.pools.get_mut(pool)?.upstreams.get_mut(position);
        found.filter(|upstream| upstream.index == index)
    }
}

/// The snapshot of the last pass.
#[derive(Debug, Default)]
pub(super) struct ViewCache {
    /// The snapshot; `None` if it must be built again.
    view: Option<FleetView>,
    /// Upstreams whose runs or reports have changed since then.
    changed: Vec<Arc<str>>,
}

impl ViewCache {
    /// Records a change of an upstream's runs or of its report.
    pub fn mark_changed(&mut self, upstream: &Arc<str>) {
        if self.view.is_some() {
            self.changed.push(upstream.clone());
        }
    }

    /// Keeps the snapshot of a pass, which shows the changes that the pass itself made.
    pub fn store(&mut self, view: FleetView) {
        self.view = Some(view);
    }

    /// Discards the snapshot.
    pub fn clear(&mut self) {
        self.view = None;
        self.changed.clear();
    }
}

impl OwnerMachine {
    /// Returns the snapshot of the last pass, updated, or a new one if there is none.
    pub(super) fn reused_view(&mut self, now: u64) -> FleetView {
        let changed = std::mem::take(&mut self.view_cache.changed);
        let Some(mut view) = self.view_cache.view.take() else {
            return self.fleet_view(now);
        };
        view.begin_pass(now);
        for id in changed {
            if let Some(entry) = self.upstreams.get(&id)
                && let Some(upstream) = view.upstream_mut(&entry.report.pool, entry.index)
            {
                // Nothing is started on an upstream in doubt, so no query is made about it.
                let in_doubt = entry.doubt.is_some();
                upstream.capacity = if in_doubt {
                    ResourceSize::ZERO
                } else {
                    entry.report.capacity
                };
                upstream.is_empty = entry.runs.is_empty();
                upstream.free = if in_doubt || now < entry.isolated_until {
                    ResourceSize::ZERO
                } else {
                    entry.free()
                };
            }
        }
        view
    }

    /// Builds the snapshot of all upstreams.
    pub(super) fn fleet_view(&self, now: u64) -> FleetView {
        let mut view = FleetView {
            pools: HashMap::new(),
            positions: vec![None; self.index_count as usize],
            team_headrooms: HashMap::new(),
            reserved_headrooms: HashMap::new(),
            preemption_searches_left: super::preemption::MAX_PREEMPTION_SEARCHES,
            part: PassPart::Regular,
            yielding_steps: Vec::new(),
            deferred_queries: DeferredQueries::default(),
            forecasts_since: now,
        };
        for (id, entry) in &self.upstreams {
            if self
                .evacuated_domains
                .contains(&entry.report.failure_domain)
                || !entry.is_usable(now, self.settings.max_contact_age_ms)
            {
                continue;
            }
            let pool = match view.pools.get_mut(&entry.report.pool) {
                Some(pool) => pool,
                None => view.pools.entry(entry.report.pool.clone()).or_default(),
            };
            view.positions[entry.index.0 as usize] = u32::try_from(pool.upstreams.len()).ok();
            pool.upstreams.push(UpstreamView {
                index: entry.index,
                id: id.clone(),
                labels: entry.report.labels.clone(),
                capacity: entry.report.capacity,
                free: entry.free(),
                reserved: ResourceSize::ZERO,
                is_empty: entry.runs.is_empty(),
                slow: self.is_slow(entry.slowdown),
                holds_long: entry.former_leases_until > now + MAX_LONG_RUNNING_HOLD_MS,
            });
        }
        view
    }

    /// Returns a team's headroom, computed once for each pass.
    pub(super) fn cached_team_headroom(
        &self,
        team: Option<&Arc<str>>,
        view: &mut FleetView,
    ) -> ResourceSize {
        let Some(team) = team else {
            return self.team_headroom(None);
        };
        if let Some(headroom) = view.team_headrooms.get(team) {
            return *headroom;
        }
        let headroom = self.team_headroom(Some(team));
        view.team_headrooms.insert(team.clone(), headroom);
        headroom
    }

    /// Returns a team's headroom beyond the tasks for which earlier steps of the pass have reserved
    /// capacity.
    pub(super) fn unreserved_headroom(
        &self,
        team: Option<&Arc<str>>,
        view: &mut FleetView,
    ) -> ResourceSize {
        let headroom = self.cached_team_headroom(team, view);
        headroom.saturating_sub(&view.reserved_headroom(team))
    }
}
