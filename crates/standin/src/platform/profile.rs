//! Sizes of the deployments.

use lagoonnotch_wire::upstream::ResourceSize;

/// Number of upstreams without and with accelerators, their sizes and the failure domains.
#[derive(Clone, Debug)]
pub struct CellProfile {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number and size of the plain upstreams.
    pub cpu_only: UpstreamGroup,
    /// Number and size of the upstreams with accelerators.
    pub accelerated: UpstreamGroup,
}

/// A number of equal upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamGroup {
    /// Prefix of the names.
    pub prefix: String,
    /// Number of upstreams.
    pub count: usize,
    /// Capacity of each.
    pub capacity: ResourceSize,
}

impl CellProfile {
    /// Returns the profile of a deployment, if there is one of that name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "bronach" => Some(Self::bronach()),
            "deepmala" => Some(Self::deepmala()),
            _ => None,
        }
    }

    fn bronach() -> Self {
        Self {
            domains: ["west-1", "west-2", "west-3"].map(str::to_owned).to_vec(),
            cpu_only: UpstreamGroup::new("harvest", 35, 32, 128, 0),
            accelerated: UpstreamGroup::new("imaging", 13, 32, 128, 8),
        }
    }

    fn deepmala() -> Self {
        Self {
            domains: ["gujarat-1", "gujarat-2", "gujarat-3"]
                .map(str::to_owned)
                .to_vec(),
            cpu_only: UpstreamGroup::new("bookings", 35, 32, 64, 0),
            accelerated: UpstreamGroup::new("planning", 13, 64, 256, 8),
        }
    }
}

impl UpstreamGroup {
    /// Makes a group from whole cores, gibibytes and accelerators.
    #[must_use]
    pub fn new(prefix: &str, count: usize, cores: u64, memory_gib: u64, accelerators: u64) -> Self {
        let capacity = ResourceSize {
            cpu_milli: cores * 1000,
            memory_mib: memory_gib * 1024,
            accelerators,
        };
        Self {
            prefix: prefix.to_owned(),
            count,
            capacity,
        }
    }
}
