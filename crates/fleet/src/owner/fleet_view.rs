//! What one pass over the waiting steps knows of the upstreams.
//!
//! A pass looks at many steps, and each step at the upstreams that may run it. The view is built
//! once for a pass, so that a step costs as much as it has candidates and not as much as there are
//! upstreams.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::OwnerMachine;

/// Number of an upstream during this owner's life; never used for another upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct UpstreamSlot(pub u32);

/// An upstream that can take starts.
#[derive(Debug)]
pub(super) struct SlotView {
    pub slot: UpstreamSlot,
    pub id: Arc<str>,
    /// Its kind and its rack.
    pub labels: Arc<[Arc<str>]>,
    pub capacity: ResourceSize,
    /// What is free now.
    pub free: ResourceSize,
    /// What steps that come first wait for; later steps leave it alone.
    pub held: ResourceSize,
    /// Whether its runs take much longer than elsewhere.
    pub slow: bool,
}

impl SlotView {
    /// Returns what a step may use that did not hold it.
    pub fn open(&self) -> ResourceSize {
        self.free.saturating_sub(&self.held)
    }

    /// Returns the rack.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// The upstreams of one pool that can take starts.
#[derive(Debug, Default)]
pub(super) struct PoolView {
    pub slots: Vec<SlotView>,
    /// What becomes free within a time in milliseconds, by that time and by place.
    pub ending: HashMap<u64, Vec<ResourceSize>>,
}

/// What one pass knows.
#[derive(Debug)]
pub(super) struct FleetView {
    pub pools: HashMap<Arc<str>, PoolView>,
    /// Place of each slot in its pool's view.
    places: Vec<Option<u32>>,
    /// Teams' room, of the teams that were looked at.
    pub team_rooms: HashMap<Arc<str>, ResourceSize>,
    /// Searches for runs that give way which the pass may still make.
    pub searches_left: u32,
}

impl FleetView {
    /// Returns the place of an upstream in the view of its pool, if it can take starts.
    pub fn place_of(&self, slot: UpstreamSlot) -> Option<usize> {
        let place = self.places.get(slot.0 as usize).copied().flatten();
        place.map(|place| place as usize)
    }
}

impl OwnerMachine {
    /// Looks at all upstreams once.
    pub(super) fn fleet_view(&self, now: u64) -> FleetView {
        let mut view = FleetView {
            pools: HashMap::new(),
            places: vec![None; self.slot_count as usize],
            team_rooms: HashMap::new(),
            searches_left: super::preemption::MAX_SEARCHES,
        };
        for (id, entry) in &self.upstreams {
            if self.evacuated.contains(&entry.report.failure_domain)
                || !entry.is_usable(now, self.settings.max_contact_age_ms)
            {
                continue;
            }
            let pool = match view.pools.get_mut(&entry.report.pool) {
                Some(pool) => pool,
                None => view.pools.entry(entry.report.pool.clone()).or_default(),
            };
            view.places[entry.slot.0 as usize] = u32::try_from(pool.slots.len()).ok();
            pool.slots.push(SlotView {
                slot: entry.slot,
                id: id.clone(),
                labels: entry.report.labels.clone(),
                capacity: entry.report.capacity,
                free: entry.free(),
                held: ResourceSize::ZERO,
                slow: self.is_slow(entry.slowness),
            });
        }
        view
    }

    /// Returns what a team may still start, as of this pass.
    pub(super) fn team_room_in(
        &self,
        team: Option<&Arc<str>>,
        view: &mut FleetView,
    ) -> ResourceSize {
        let Some(team) = team else {
            return self.team_room(None);
        };
        if let Some(room) = view.team_rooms.get(team) {
            return *room;
        }
        let room = self.team_room(Some(team));
        view.team_rooms.insert(team.clone(), room);
        room
    }
}
