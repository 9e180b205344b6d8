//! Messages between the owner and the hosts that send its renewals.

use std::sync::Arc;

use lagoonnotch_fleet::owner::RenewOrder;
use serde::{Deserialize, Serialize};

use crate::ports::RenewOutcome;

/// A renewal that a delegate sends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedRenewal {
    /// Number of the renewal, unique within the owner's process.
    pub number: u64,
    /// The order.
    pub order: RenewOrder,
}

/// Renewals for one delegate. Without any, the owner only asks for the delegate's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalBatch {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Address to which the outcomes are reported.
    pub owner_address: Arc<str>,
    /// The delegate's process that the batch is meant for; 0 if it is unknown.
    pub instance: u64,
    /// Time after which no renewal of the batch may be sent, in milliseconds of the delegate's
    /// clock.
    pub expires_at: u64,
    /// Renewals.
    pub renewals: Vec<ForwardedRenewal>,
}

/// Acknowledgement of a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchReceipt {
    /// Identifies the delegate's process.
    pub instance: u64,
    /// Reading of the delegate's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the delegate sends the renewals.
    pub accepted: bool,
}

/// Outcome of a renewal at a delegate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DelegatedOutcome {
    /// The renewal was sent, and this came of it.
    Sent(RenewOutcome),
    /// The renewal was not sent, because its time had passed or a later owner is known.
    Dropped,
}

/// A renewal that has come to its end at a delegate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedRenewal {
    /// Number of the renewal.
    pub number: u64,
    /// Outcome.
    pub outcome: DelegatedOutcome,
}

/// Outcomes that a delegate reports together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalReport {
    /// Epoch of the owner that ordered the renewals.
    pub epoch: u64,
    /// Renewals.
    pub renewals: Vec<ReportedRenewal>,
}
