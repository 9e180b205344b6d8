//! Invalid inputs are reported with all errors and their locations.

use lagoonnotch::document::parse_document;
use lagoonnotch::settings::parse_settings;
use proptest::prelude::*;

fn example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the example exists")
}

#[test]
fn all_settings_errors_are_reported() {
    let text = example("settings/five-faults.json");

    let findings = parse_settings(&text).expect_err("the settings are wrong");

    insta::assert_snapshot!(findings);
}

#[test]
fn example_settings_are_valid() {
    for index in 1..=6 {
        let text = example(&format!("settings/entry-{index}.json"));

        let settings = parse_settings(&text);

        assert!(settings.is_ok(), "{settings:?}");
    }
}

#[test]
fn example_documents_are_valid() {
    for name in ["bronach.json", "deepmala.json"] {
        let document = parse_document(&example(name));

        assert!(document.is_ok(), "{document:?}");
    }
}

#[test]
fn all_document_errors_are_reported() {
    let text = r#"{
        "document": "two words",
        "extra": 1,
        "changes": [
            { "section": "team/one", "previous": 0,
              "value": { "kind": "team", "share": 0, "limit": { "cpu_milli": "many", "memory_mib": 1 } } },
            { "section": "group/one", "previous": -1,
              "value": { "kind": "queue", "open": true, "teams": [], "max_waiting": 1 } },
            { "section": "key/one", "previous": 0,
              "value": { "kind": "key", "team": "one", "sha256": "short" } },
            { "section": "workload/one", "previous": 0,
              "value": { "kind": "workload", "class": "slow", "queue": "q", "deadline_ms": 1,
                         "size": { "cpu_milli": 1 }, "idempotent": "yes" } }
        ]
    }"#;

    let findings = parse_document(text).expect_err("the document is wrong");

    insta::assert_snapshot!(findings);
}

/// Guards against a stack overflow on deep nesting, and crashes on long or out-of-range input.
#[test]
fn malformed_json_is_rejected() {
    let deep_nesting = "[".repeat(100_000);
    let long_word = "x".repeat(1_000_000);

    for text in [
        deep_nesting.as_str(),
        long_word.as_str(),
        "",
        "{\"document\":1e400}",
    ] {
        let findings = parse_document(text).expect_err("the text is not a document");

        assert_eq!(findings.findings.len(), 1);
        assert_eq!(findings.findings[0].code, "json_syntax");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn parsers_do_not_panic_on_arbitrary_text(text in ".{0,400}", cut in 0..2000_usize) {
        let _ = parse_document(&text);
        let _ = parse_settings(&text);
        let sample = example("bronach.json");
        let part: String = sample.chars().take(cut).chain(text.chars()).collect();
        let _ = parse_document(&part);
    }
}
