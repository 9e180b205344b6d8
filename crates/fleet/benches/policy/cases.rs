//! Simulated loads and faults.

use lagoonnotch_model::{LoadMix, ModelSettings, UpstreamFault};

/// A load with its faults.
pub struct PolicyCase {
    /// Name of the case.
    pub name: String,
    /// Settings of the simulation.
    pub settings: ModelSettings,
}

/// A fault of a share of the upstreams in the first half of the load.
const FAULT: UpstreamFault = UpstreamFault {
    at_ms: 4000,
    for_ms: 8000,
    share: 0.15,
    slowness: 1.0,
    fails: false,
    cut: false,
};

/// Returns all cases.
pub fn all() -> Vec<PolicyCase> {
    let mut cases = Vec::new();
    for mix in [LoadMix::fog_site(), LoadMix::hire_site()] {
        let site = mix.name;
        let calm = ModelSettings::calm(mix.clone(), 1);
        let mut add = |name: &str, settings: ModelSettings| {
            cases.push(PolicyCase {
                name: format!("{site}-{name}"),
                settings,
            });
        };
        add("calm", calm.clone());
        add(
            "slow",
            ModelSettings {
                faults: vec![UpstreamFault {
                    slowness: 6.0,
                    ..FAULT
                }],
                ..calm.clone()
            },
        );
        add(
            "failing",
            ModelSettings {
                faults: vec![UpstreamFault {
                    fails: true,
                    ..FAULT
                }],
                ..calm.clone()
            },
        );
        add(
            "cut",
            ModelSettings {
                faults: vec![UpstreamFault {
                    cut: true,
                    share: 0.33,
                    ..FAULT
                }],
                ..calm.clone()
            },
        );
        let mut full = calm.clone();
        full.mix = full.mix.with_batch_burst(4.0);
        add("full", full);
        let grown = ModelSettings {
            hosts: 36,
            ..ModelSettings::calm(mix.clone().grown(7.3), 1)
        };
        add("grown", grown.clone());
        add(
            "grown-cut",
            ModelSettings {
                faults: vec![UpstreamFault {
                    cut: true,
                    share: 0.25,
                    ..FAULT
                }],
                ..grown.clone()
            },
        );
        add(
            "grown-takeover",
            ModelSettings {
                take_overs: vec![9000, 13_000, 17_000],
                faults: vec![UpstreamFault {
                    cut: true,
                    share: 0.5,
                    at_ms: 9000,
                    ..FAULT
                }],
                ..grown
            },
        );
    }
    cases
}
