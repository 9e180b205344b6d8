//! Documents on many hosts.

use ed25519_dalek::SigningKey;
use lagoonnotch::document::{DocumentLog, LogUpdate, LoggedDocument, sign_document};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 3;

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn ledger() -> DocumentLog {
    DocumentLog::new(vec![key().verifying_key()])
}

fn document(name: &str, share: u64, previous: u64) -> String {
    let limit = r#"{ "cpu_milli": 1, "memory_mib": 1 }"#;
    format!(
        r#"{{ "document": "{name}", "changes": [ {{ "section": "team/one", "previous": {previous},
            "value": {{ "kind": "team", "share": {share}, "limit": {limit} }} }} ] }}"#
    )
}

/// Returns a log in which each document replaces the section that the one before wrote.
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

#[test]
fn racing_document_is_refused_with_the_section_that_changed() {
    let mut ledger = ledger();
    ledger.apply(&log(1)[0]);
    let late = sign_document(&document("late", 9, 0), &key());

    let findings = ledger
        .preview(&late)
        .expect_err("the section changed since");

    insta::assert_snapshot!(findings);
}

#[test]
fn document_of_a_stranger_is_refused() {
    let stranger = SigningKey::from_bytes(&[8; 32]);
    let signed = sign_document(&document("first", 1, 0), &stranger);

    let findings = ledger()
        .preview(&signed)
        .expect_err("the approver is unknown");

    assert_eq!(findings.findings[0].code, "unknown_approver");
}

#[test]
fn document_that_was_altered_is_refused() {
    let mut signed = sign_document(&document("first", 1, 0), &key());
    signed.text = signed.text.replace("\"share\": 1", "\"share\": 2");

    let findings = ledger()
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

    /// Documents arrive late, twice, out of order and with gaps; hosts catch up from each other.
    #[test]
    fn promise_configuration_never_reverts(
        length in 1..12_u64,
        moves in proptest::collection::vec((0..HOSTS, 0..HOSTS, 0..12_usize, any::<bool>()), 0..80),
    ) {
        let log = log(length);
        let mut hosts: Vec<DocumentLog> = (0..HOSTS).map(|_| ledger()).collect();
        for (to, from, index, by_peer) in moves {
            let before = hosts[to].config().revision;
            if by_peer {
                let missing = hosts[from].since(before);
                hosts[to].merge(&missing);
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
