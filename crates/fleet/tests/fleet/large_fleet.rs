//! Tests of a fleet of 1,100 upstreams.

use lagoonnotch_fleet::owner::OwnerSettings;
use lagoonnotch_model::{FleetSimulation, LoadMix, SimulationSettings};

/// Returns the median time to the first start of urgent submissions, in milliseconds.
fn urgent_start_wait_ms(scale: f64, host_count: u32) -> u64 {
    let settings = SimulationSettings {
        host_count,
        load_ms: 4000,
        drain_ms: 1000,
        ..SimulationSettings::baseline(LoadMix::fog_site().scaled(scale), 1)
    };
    let summary = FleetSimulation::new(settings, OwnerSettings::default()).run();
    summary.kinds[0].start_wait_quantile_ms(0.5)
}

/// Guards against urgent steps that wait for the next pass over the whole fleet, once before their
/// query to the policy service and once before their start.
#[test]
fn urgent_start_does_not_wait_for_full_passes() {
    let small_ms = urgent_start_wait_ms(1.0, 6);

    let large_ms = urgent_start_wait_ms(23.0, 147);

    let longest_ms = small_ms + 20;
    assert!(
        large_ms <= longest_ms,
        "{large_ms} ms, at most {longest_ms} ms expected"
    );
}
