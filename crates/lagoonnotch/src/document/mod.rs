//! Approved documents: validation, signatures and the configuration built from them.

mod approved_config;
mod document_check;
mod document_log;
mod policy;
mod signature;

pub use approved_config::{ApprovedConfig, rendezvous_weight};
pub use document_check::parse_document;
pub use document_log::{DocumentLog, LogUpdate, LoggedDocument};
pub use policy::{DomainPolicy, KeyGrant, QueuePolicy, TeamPolicy, WorkClass, WorkloadPolicy};
pub use signature::{decode_hex, encode_hex, parse_public_key, sign_document, verify_document};
