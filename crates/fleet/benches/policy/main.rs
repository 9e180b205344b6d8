//! Plays the users' loads against the owner's policy, and prints what came of them.
//!
//! `cargo bench -p lagoonnotch-fleet --bench policy [-- NAME]` plays the cases whose names contain
//! NAME, or all.

mod cases;

use lagoonnotch_fleet::owner::OwnerSettings;
use lagoonnotch_model::{FleetModel, FleetOutcome};

fn main() {
    let wanted: Vec<_> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    println!(
        "case                  worth  in time by kind                          waits p50/p95 ms by kind"
    );
    for case in cases::all() {
        if !wanted.is_empty() && !wanted.iter().any(|name| case.name.contains(name.as_str())) {
            continue;
        }
        let outcome = FleetModel::new(case.settings, OwnerSettings::default()).play();
        print_outcome(&case.name, &outcome);
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn print_outcome(name: &str, outcome: &FleetOutcome) {
    let kinds: Vec<_> = outcome
        .kinds
        .iter()
        .map(|kind| {
            let part = f64::from(kind.in_time) / f64::from(kind.submitted.max(1));
            format!(
                "{} {part:.2} ({} late, {} useless, {} failed)",
                kind.name, kind.late, kind.useless, kind.failed
            )
        })
        .collect();
    let waits: Vec<_> = outcome
        .kinds
        .iter()
        .map(|kind| format!("{}/{}", kind.wait_ms(0.5), kind.wait_ms(0.95)))
        .collect();
    println!(
        "{name:<20} {:>6.3}  {:<40}  {}",
        outcome.worth(),
        kinds.join(", "),
        waits.join(", ")
    );
    let cost = outcome.cost;
    println!(
        "{:<20} {} starts, {} stopped, {} questions; packing {}; unfairness {:.2}; owner {:.0} ms in all, {:.1} us a start, {:.1} ms longest tick of {}",
        "",
        outcome.starts,
        outcome.stopped,
        outcome.questions.0,
        outcome
            .packing
            .iter()
            .map(|(pool, part)| format!("{pool} {part:.2}"))
            .collect::<Vec<_>>()
            .join(", "),
        outcome.unfairness,
        cost.total.as_secs_f64() * 1e3,
        cost.total.as_secs_f64() * 1e6 / outcome.starts.max(1) as f64,
        cost.longest_tick.as_secs_f64() * 1e3,
        cost.tick_count,
    );
}
