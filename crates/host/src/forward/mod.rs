//! Forwarding of lease renewals: other hosts send them to the upstreams in the owner's name.
//!
//! Start and stop orders are always sent by the owner itself. A renewal starts and stops nothing,
//! so one that is sent late is like one that the network delivered late.

mod delegate_gate;
mod delegate_table;
mod forward_messages;
mod renewal_delegate;
mod renewal_forwarder;
mod report_outbox;

pub use delegate_gate::DelegateGate;
pub use delegate_table::{DelegateTable, ForwardPeer};
pub use forward_messages::{
    BatchReceipt, DelegatedOutcome, ForwardedRenewal, RenewalBatch, RenewalReport, ReportedRenewal,
};
pub use renewal_delegate::RenewalDelegate;
pub use renewal_forwarder::{BatchOrder, RenewalForwarder, SettledRenewal};
