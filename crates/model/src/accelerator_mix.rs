//! A load that exceeds the accelerators at times.

use lagoonnotch_fleet::model::{PolicyTiming, ResourceSize};

use crate::submission_kind::{
    LogNormal, gang_kind, ledger_kind, long_running_kind, map_kind, urgent_kind,
};
use crate::{Burst, LoadMix, PoolShape, SubmissionKind};

/// Start of the burst after the start of the load, in milliseconds.
const BURST_START_MS: u64 = 8000;

/// Length of the burst, in milliseconds.
const BURST_MS: u64 = 8000;

impl LoadMix {
    /// Returns the load of a site whose accelerators are the scarce resource: short urgent
    /// `check`s, batch `ledger`s, `images` gangs and `map` tasks on accelerators, and long-running
    /// `watch` tasks. The gangs and the accelerator batch need nine tenths of the accelerators in
    /// the mean, and arrive `burst_factor` times as often for 8 s.
    #[must_use]
    pub fn accelerator_site(burst_factor: f64) -> Self {
        let burst = |kind| Burst {
            kind,
            start_ms: BURST_START_MS,
            duration_ms: BURST_MS,
            rate_factor: burst_factor,
        };
        Self {
            name: "accelerator",
            pools: vec![
                PoolShape {
                    name: "operations",
                    upstream_count: 252,
                    capacity: ResourceSize::new(16_000, 65_536, 0),
                    capacity_factors: &[0.5, 1.0, 2.0],
                    speed_factors: &[1.0, 1.0, 1.3],
                    rack_size: 12,
                },
                PoolShape {
                    name: "imaging",
                    upstream_count: 98,
                    capacity: ResourceSize::new(64_000, 131_072, 8),
                    capacity_factors: &[1.0],
                    speed_factors: &[1.0],
                    rack_size: 7,
                },
            ],
            kinds: vec![
                check_kind(),
                batch_kind(),
                images_kind(),
                watch_kind(),
                accelerator_batch_kind(),
            ],
            bursts: vec![burst("images"), burst("map")],
        }
    }
}

/// Returns a policy service with these costs, in milliseconds.
fn policy_service(decision_ms: f64, per_upstream_ms: f64) -> PolicyTiming {
    PolicyTiming {
        decision_ms,
        per_upstream_ms,
        valid_ms: 2000,
    }
}

fn check_kind() -> SubmissionKind {
    SubmissionKind {
        work_ms: LogNormal(700.0, 0.5, 1750.0),
        policy_service: policy_service(21.0, 0.3),
        ..urgent_kind("check", 41.0, 0.6, 10.0, 2700.0, 5700.0)
    }
}

fn batch_kind() -> SubmissionKind {
    SubmissionKind {
        policy_service: policy_service(208.0, 3.0),
        ..ledger_kind(
            "ledger",
            2.3,
            4.6,
            LogNormal(18.0, 0.8, 108.0),
            4500.0,
            12_000.0,
            5600.0,
        )
    }
}

fn images_kind() -> SubmissionKind {
    SubmissionKind {
        max_gang_accelerators: 64,
        work_ms: LogNormal(4500.0, 0.5, 11_250.0),
        policy_service: policy_service(715.0, 10.3),
        ..gang_kind("images", 4.5, 3.5, 4.0, 31_000.0, 32_000.0, 715.0)
    }
}

fn watch_kind() -> SubmissionKind {
    SubmissionKind {
        policy_service: policy_service(728.0, 10.4),
        ..long_running_kind("watch", 0.25, 2.8, 15.0, 3700.0, 9000.0)
    }
}

fn accelerator_batch_kind() -> SubmissionKind {
    SubmissionKind {
        policy_service: policy_service(195.0, 2.7),
        ..map_kind(
            "map",
            5.1,
            2.4,
            LogNormal(16.0, 0.8, 96.0),
            2800.0,
            4100.0,
            3000.0,
        )
    }
}
