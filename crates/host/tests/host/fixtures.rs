//! Ports shared by the tests.

use std::collections::BTreeSet;
use std::future::ready;
use std::sync::Arc;

use lagoonnotch_fleet::model::{StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::QueryOutcome;
use lagoonnotch_host::ports::{
    OperatorState, OrderAnswer, PlatformPorts, RenewOutcome, UpstreamPort, port,
};

use crate::fake_store::FakeStore;

/// Returns ports to an empty store, without upstreams and without a policy service.
pub fn idle_ports() -> PlatformPorts {
    PlatformPorts {
        store: FakeStore::default().port(),
        upstream: UpstreamPort {
            renew_leases: port(|_| ready(RenewOutcome::Failed)),
            start: port(|_| ready(OrderAnswer::without_clock(StartOutcome::Unhealthy))),
            stop: port(|_| ready(OrderAnswer::without_clock(StopOutcome::Accepted))),
            query_policy: port(|_| ready(QueryOutcome::Failed)),
        },
        operator_prefix: "operator/".into(),
        directory_prefix: "directory/".into(),
        parse_operator_items: Arc::new(|_| OperatorState {
            config: None,
            evacuated_domains: BTreeSet::new(),
            findings: Vec::new(),
        }),
        parse_report: Arc::new(|_| Err("no upstream".to_owned())),
        parse_submission: Arc::new(|_| Err("no submission".to_owned())),
    }
}
