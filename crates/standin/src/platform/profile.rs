//! Numbers and sizes of the upstreams of each deployment.

use lagoonnotch_wire::upstream::ResourceSize;

/// Failure domains and upstreams of a deployment.
#[derive(Clone, Debug)]
pub struct PlatformProfile {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Upstreams without accelerators.
    pub cpu_only: UpstreamGroup,
    /// Upstreams with accelerators.
    pub accelerated: UpstreamGroup,
}

/// A group of upstreams of the same capacity.
#[derive(Clone, Debug)]
pub struct UpstreamGroup {
    /// Prefix of the upstreams' names.
    pub prefix: String,
    /// Number of upstreams.
    pub count: usize,
    /// Capacity of each upstream.
    pub capacity: ResourceSize,
}

impl PlatformProfile {
    /// Returns the profile of the named deployment.
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
    /// Creates a group from the cores, gibibytes of memory and accelerators of each upstream.
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
