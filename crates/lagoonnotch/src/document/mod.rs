//! The approved document: its checks, its signature and the configuration that it forms.

mod approved_config;
mod config_ledger;
mod document_check;
mod policy;
mod signature;

pub use approved_config::{ApprovedConfig, rendezvous_weight};
pub use config_ledger::{ConfigLedger, LedgerSnapshot, LoggedDocument};
pub use document_check::parse_document;
pub use policy::{DomainPolicy, KeyGrant, QueuePolicy, TeamPolicy, WorkClass, WorkloadPolicy};
pub use signature::{hex_text, parse_hex, parse_public_key, sign_document, verify_document};
