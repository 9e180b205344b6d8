//! Validation and replication of configuration documents.

use ed25519_dalek::SigningKey;
use lagoonnotch::document::{DocumentLog, LogUpdate, LoggedDocument, sign_document};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 3;

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn document_log() -> DocumentLog {
    DocumentLog::new(vec![key().verifying_key()])
}

fn document(name: &str, share: u64, previous: u64) -> String {
    let limit = r#"{ "cpu_milli": 1, "memory_mib": 1 }"#;
    format!(
        r#"{{ "document": "{name}", "changes": [ {{ "section": "team/one", "previous": {previous},
            "value": {{ "kind": "team", "share": {share}, "limit": {limit} }} }} ] }}"#
    )
}

/// Returns a log in which each document replaces the section written by the previous one.
fn log(length: u64) -> Vec<LoggedDocument> {
    (1..=length)
        .map(|revision| {
            let text = document(&format!("document-{revision}"), 1 + revision, revision - 1);
            LoggedDocument {
                revision,
                signed: sign_document(&text, &key()),
            }
        })
        .collect()
}

/// Guards against a lost update when two documents change the same section.
#[test]
fn concurrent_document_is_rejected_with_the_changed_section() {
    let mut document_log = document_log();
    document_log.apply(&log(1)[0]);
    let late = sign_document(&document("late", 9, 0), &key());

    let findings = document_log
        .preview(&late)
        .expect_err("the section changed since");

    insta::assert_snapshot!(findings);
}

/// Guards against a document that nobody allowed to approve has signed.
#[test]
fn document_of_an_unknown_approver_is_rejected() {
    let unknown_approver = SigningKey::from_bytes(&[8; 32]);
    let signed = sign_document(&document("first", 1, 0), &unknown_approver);

    let findings = document_log()
        .preview(&signed)
        .expect_err("the approver is unknown");

    assert_eq!(findings.findings[0].code, "unknown_approver");
}

/// Guards against a document changed after approval.
#[test]
fn altered_document_is_rejected() {
    let mut signed = sign_document(&document("first", 1, 0), &key());
    signed.text = signed.text.replace("\"share\": 1", "\"share\": 2");

    let findings = document_log()
        .preview(&signed)
        .expect_err("the signature does not match");

    assert_eq!(findings.findings[0].code, "wrong_signature");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a configuration that goes back to an older revision. Documents arrive late,
    /// twice, out of order and with gaps, and hosts catch up from each other.
    #[test]
    fn promise_configuration_never_reverts(
        length in 1..12_u64,
        steps in proptest::collection::vec((0..HOSTS, 0..HOSTS, 0..12_usize, any::<bool>()), 0..80),
    ) {
        let log = log(length);
        let mut hosts: Vec<DocumentLog> = (0..HOSTS).map(|_| document_log()).collect();
        for (to, from, index, from_peer) in steps {
            let before = hosts[to].config().revision;
            if from_peer {
                let update = hosts[from].update_since(before);
                hosts[to].merge(&update);
            } else if let Some(logged) = log.get(index) {
                hosts[to].apply(logged);
            }
            prop_assert!(hosts[to].config().revision >= before);
        }
        for host in &mut hosts {
            host.merge(&LogUpdate { config: None, documents: log.clone() });
            prop_assert_eq!(host.config().revision, length);
            prop_assert_eq!(u64::from(host.config().teams["one"].share), 1 + length);
        }
    }
}
