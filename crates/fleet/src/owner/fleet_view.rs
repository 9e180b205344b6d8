//! Snapshot of the upstreams for one placement pass.
//!
//! A pass examines many steps, and for each step the upstreams that may run it. The snapshot is
//! built once for each pass, so the cost of a step depends on its number of candidates and not on
//! the number of upstreams.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::OwnerMachine;

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
    /// Whether its runs take much longer than on other upstreams.
    pub slow: bool,
}

impl UpstreamView {
    /// Returns the free capacity that is not reserved for other steps.
    pub fn unreserved(&self) -> ResourceSize {
        self.free.saturating_sub(&self.reserved)
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
}

/// Capacity of the upstreams of a pool that becomes free within a duration.
#[derive(Debug, Default)]
pub(super) struct CapacityForecast {
    /// Capacity that becomes free, by upstream position.
    pub freed: Vec<ResourceSize>,
    /// Upstream positions by the CPU that is free or becomes free, most first. The CPU that is
    /// actually free may be less, because steps are placed after the forecast was made.
    by_free_cpu: Vec<(u64, usize)>,
}

impl CapacityForecast {
    /// Creates the forecast of a pool.
    pub fn new(upstreams: &[UpstreamView], freed: Vec<ResourceSize>) -> Self {
        let mut by_free_cpu: Vec<_> = upstreams
            .iter()
            .zip(&freed)
            .enumerate()
            .map(|(position, (upstream, freed))| {
                (upstream.free.cpu_milli + freed.cpu_milli, position)
            })
            .collect();
        by_free_cpu.sort_unstable_by_key(|(cpu_milli, _)| std::cmp::Reverse(*cpu_milli));
        Self { freed, by_free_cpu }
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

/// Snapshot of the fleet for one placement pass.
#[derive(Debug)]
pub(super) struct FleetView {
    pub pools: HashMap<Arc<str>, PoolView>,
    /// Position in its pool's view, by upstream index.
    positions: Vec<Option<u32>>,
    /// Cached headroom of the teams examined in this pass.
    pub team_headrooms: HashMap<Arc<str>, ResourceSize>,
    /// Number of victim searches that the pass may still make.
    pub preemption_searches_left: u32,
}

impl FleetView {
    /// Returns an upstream's position in the view of its pool, or `None` if it accepts no starts.
    pub fn position_of(&self, index: UpstreamIndex) -> Option<usize> {
        let position = self.positions.get(index.0 as usize).copied().flatten();
        position.map(|position| position as usize)
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

impl OwnerMachine {
    /// Builds the snapshot of all upstreams.
    pub(super) fn fleet_view(&self, now: u64) -> FleetView {
        let mut view = FleetView {
            pools: HashMap::new(),
            positions: vec![None; self.index_count as usize],
            team_headrooms: HashMap::new(),
            preemption_searches_left: super::preemption::MAX_PREEMPTION_SEARCHES,
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
                slow: self.is_slow(entry.slowdown),
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
}
