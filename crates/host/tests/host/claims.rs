//! Tests of the decision to claim the ownership.

use lagoonnotch_host::ownership::{ClaimEvidence, claim_reason};

/// Returns the evidence about an owner that has just stopped responding.
fn silent_owner() -> ClaimEvidence {
    ClaimEvidence {
        has_record: true,
        since_change_ms: 60_000,
        missed_heartbeats: 3,
        silent_ms: 1350,
        ..ClaimEvidence::default()
    }
}

/// Guards against replacing an owner that is only busy: it answers late, but it commits.
#[test]
fn silent_owner_that_commits_is_not_replaced() {
    let busy = ClaimEvidence {
        no_progress_ms: 300,
        ..silent_owner()
    };

    assert_eq!(claim_reason(&busy), None);
}

/// Guards against waiting for the lease of an owner that is dead: it neither answers nor commits.
#[test]
fn silent_owner_without_commits_is_replaced() {
    let dead = ClaimEvidence {
        no_progress_ms: 1000,
        ..silent_owner()
    };

    assert!(claim_reason(&dead).is_some());
}

/// Guards against keeping an owner that reaches the store but no other host: it learns of new
/// submissions late and can't spread policy queries.
#[test]
fn unreachable_owner_is_replaced_although_it_commits() {
    let unreachable = ClaimEvidence {
        missed_heartbeats: 12,
        silent_ms: 4500,
        no_progress_ms: 50,
        ..silent_owner()
    };

    assert!(claim_reason(&unreachable).is_some());
}

/// Guards against a spiral of takeovers: each one makes the next owner busier, so after several in a
/// row the others wait longer.
#[test]
fn takeovers_in_a_row_slow_down_the_next_claim() {
    let waits_ms: Vec<_> = (0..6)
        .map(|recent_takeovers| {
            (0..20_000)
                .step_by(100)
                .find(|elapsed_ms| {
                    let evidence = ClaimEvidence {
                        since_change_ms: *elapsed_ms,
                        silent_ms: *elapsed_ms,
                        no_progress_ms: *elapsed_ms,
                        recent_takeovers,
                        ..silent_owner()
                    };
                    claim_reason(&evidence).is_some()
                })
                .expect("a dead owner is replaced in the end")
        })
        .collect();

    assert_eq!(waits_ms, vec![1500, 1500, 3000, 6000, 6000, 6000]);
}

/// Guards against replacing an owner because its reply reports an old store response although its
/// commits are stored.
#[test]
fn owner_that_commits_has_not_lost_the_store() {
    let evidence = ClaimEvidence {
        has_record: true,
        since_change_ms: 60_000,
        owner_store_age_ms: 2500,
        no_progress_ms: 200,
        ..ClaimEvidence::default()
    };

    assert_eq!(claim_reason(&evidence), None);
    assert!(
        claim_reason(&ClaimEvidence {
            no_progress_ms: 800,
            ..evidence
        })
        .is_some()
    );
}
