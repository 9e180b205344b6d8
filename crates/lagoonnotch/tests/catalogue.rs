//! Checks that the event and problem lists in `docs/` match the code.

use std::collections::BTreeSet;

use lagoonnotch::event::EventCode;
use lagoonnotch::problem::ProblemCode;

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page exists")
}

#[test]
fn documented_events_match_the_code() {
    let rows: BTreeSet<String> = page("EVENTS.md")
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| {
            line.split('|')
                .skip(1)
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();

    let events: BTreeSet<String> = EventCode::ALL
        .iter()
        .map(|code| {
            format!(
                "E{} {} {}",
                code.number(),
                code.name(),
                code.level().as_str().to_lowercase()
            )
        })
        .collect();

    assert_eq!(rows, events);
}

/// Guards against two events that can't be told apart by their numbers.
#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u32> = EventCode::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), EventCode::ALL.len());
}

#[test]
fn every_problem_code_is_documented() {
    let text = page("PROBLEMS.md");

    let missing: Vec<&str> = ProblemCode::ALL
        .iter()
        .map(|code| code.as_str())
        .filter(|code| !text.contains(&format!("`{code}`")))
        .collect();

    assert!(missing.is_empty(), "{missing:?}");
}
