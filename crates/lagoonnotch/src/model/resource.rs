//! Amounts of resources.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use lagoonnotch_wire::{caller, document, upstream};
use serde::{Deserialize, Serialize};

/// An amount of each resource that is scheduled.
///
/// It serializes as a list of the three amounts, in messages between the system's own processes and
/// in the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct ResourceSize {
    /// Processor capacity, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    pub accelerators: u64,
}

impl ResourceSize {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount from thousandths of a core, mebibytes and a number of accelerators.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether this amount fits into `available` in every resource.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the difference, with 0 where the other amount is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the amount multiplied by `factor`, saturating at the numeric bounds.
    #[must_use]
    pub fn saturating_mul(&self, factor: u64) -> Self {
        self.map(|amount| amount.saturating_mul(factor))
    }

    /// Returns the amount divided by `divisor`, rounded down. A divisor of 0 counts as 1.
    #[must_use]
    pub fn divided_by(&self, divisor: u64) -> Self {
        self.map(|amount| amount / divisor.max(1))
    }

    /// Returns how many items of the given size fit into this amount. A resource that the size does
    /// not use sets no bound.
    #[must_use]
    pub fn slots_for(&self, size: &Self) -> u64 {
        let fit = |available: u64, needed: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        let cpu = fit(self.cpu_milli, size.cpu_milli);
        let memory = fit(self.memory_mib, size.memory_mib);
        let accelerators = fit(self.accelerators, size.accelerators);
        cpu.min(memory).min(accelerators)
    }

    /// Returns the dominant share: the largest fraction of `total` that this amount takes in any
    /// resource.
    #[must_use]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let cpu = share_of(self.cpu_milli, total.cpu_milli);
        let memory = share_of(self.memory_mib, total.memory_mib);
        let accelerators = share_of(self.accelerators, total.accelerators);
        cpu.max(memory).max(accelerators)
    }

    fn zip(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_milli: combine(self.cpu_milli, other.cpu_milli),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }

    fn map(&self, change: impl Fn(u64) -> u64) -> Self {
        Self {
            cpu_milli: change(self.cpu_milli),
            memory_mib: change(self.memory_mib),
            accelerators: change(self.accelerators),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn share_of(amount: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        amount as f64 / total as f64
    }
}

impl Add for ResourceSize {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.zip(&other, u64::saturating_add)
    }
}

impl AddAssign for ResourceSize {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for ResourceSize {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        debug_assert!(other.fits(&self), "cannot subtract {other:?} from {self:?}");
        self.saturating_sub(&other)
    }
}

impl SubAssign for ResourceSize {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl From<[u64; 3]> for ResourceSize {
    fn from([cpu_milli, memory_mib, accelerators]: [u64; 3]) -> Self {
        Self::new(cpu_milli, memory_mib, accelerators)
    }
}

impl From<ResourceSize> for [u64; 3] {
    fn from(size: ResourceSize) -> Self {
        [size.cpu_milli, size.memory_mib, size.accelerators]
    }
}

impl From<upstream::ResourceSize> for ResourceSize {
    fn from(size: upstream::ResourceSize) -> Self {
        Self::new(size.cpu_milli, size.memory_mib, size.accelerators)
    }
}

impl From<document::TeamLimit> for ResourceSize {
    fn from(size: document::TeamLimit) -> Self {
        Self::new(size.cpu_milli, size.memory_mib, size.accelerators)
    }
}

impl From<caller::TaskSize> for ResourceSize {
    fn from(size: caller::TaskSize) -> Self {
        Self::new(size.cpu_milli, size.memory_mib, size.accelerators)
    }
}

impl From<ResourceSize> for upstream::ResourceSize {
    fn from(size: ResourceSize) -> Self {
        Self {
            cpu_milli: size.cpu_milli,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }
    }
}
