//! New incarnations that are cut off before the directory lists them.

use crate::restarted_upstreams::{
    RESTART_LIMIT_MS, add_spare_upstream, assert_tasks_move_after_cut, cut_off,
    fleet_with_start_after_restart, replace_lost_owner, run_count,
};

/// Guards against a longer lease than the owner counts for a start without a reply.
#[test]
fn start_to_an_unlisted_incarnation_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_start_after_restart(false);
    simulation.first_report_delay_ms = 1500;

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against the same for a successor.
#[test]
fn successor_waits_for_leases_of_an_unlisted_incarnation() {
    let mut simulation = fleet_with_start_after_restart(false);
    simulation.first_report_delay_ms = 1500;

    cut_off(&mut simulation);
    add_spare_upstream(&mut simulation);
    simulation.run_until(simulation.now + 50);
    replace_lost_owner(&mut simulation);
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(run_count(&simulation, "u1"), 1);
}
