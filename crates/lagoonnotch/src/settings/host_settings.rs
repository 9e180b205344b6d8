//! Validated settings of one entry host.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;
use lagoonnotch_wire::SETTINGS_SCHEMA;
use lagoonnotch_wire::settings::{CallerLimits, DaemonSettings};
use serde_json::Value;

use crate::document::parse_public_key;
use crate::finding::{Finding, FindingList, SchemaCheck};
use crate::model::{DomainName, HostName};

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum duration of a quick request.
    pub request_time: Duration,
    /// Delay between failing the readiness check and refusing new work during a shutdown.
    pub drain_notice: Duration,
}

impl From<CallerLimits> for RequestLimits {
    fn from(limits: CallerLimits) -> Self {
        Self {
            body_bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
            header_bytes: usize::try_from(limits.header_bytes).unwrap_or(usize::MAX),
            connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
            request_time: Duration::from_millis(limits.request_ms),
            drain_notice: Duration::from_millis(limits.drain_notice_ms),
        }
    }
}

impl Default for RequestLimits {
    fn default() -> Self {
        let limits = serde_json::from_str::<CallerLimits>("{}").expect("all limits have defaults");
        Self::from(limits)
    }
}

/// Validated settings of one entry host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of the entry host.
    pub host: HostName,
    /// Failure domain of the entry host.
    pub domain: DomainName,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Listen address for operators.
    pub admin_address: SocketAddr,
    /// Address of the store and of the platform's host list.
    pub store_address: SocketAddr,
    /// Peer addresses of the entry hosts contacted at startup.
    pub seeds: Vec<SocketAddr>,
    /// Public keys of the approvers whose document signatures are accepted.
    pub approvers: Vec<VerifyingKey>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// Parses and validates a settings file.
///
/// # Errors
/// Returns all findings, each with its JSON pointer.
pub fn parse_settings(text: &str) -> Result<HostSettings, FindingList> {
    static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
    let check = CHECK.get_or_init(|| SchemaCheck::new(SETTINGS_SCHEMA, "DaemonSettings"));
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let finding = Finding::new("json_syntax", "", error.to_string(), "well-formed JSON");
        FindingList {
            findings: vec![finding],
        }
    })?;
    let mut list = check.check(&value);
    check_addresses(&value, &mut list);
    check_approvers(&value, &mut list);
    list.into_result(())?;
    convert_settings(text)
}

/// Adds a finding for each address that is not an IP address and port, and one if two listen
/// addresses are the same (not checked if any uses port 0, which selects a free port).
fn check_addresses(value: &Value, list: &mut FindingList) {
    let names = [
        "caller_address",
        "peer_address",
        "admin_address",
        "store_address",
    ];
    for name in names {
        check_address(&value[name], &format!("/{name}"), list);
    }
    for (index, seed) in value["seeds"].as_array().into_iter().flatten().enumerate() {
        check_address(seed, &format!("/seeds/{index}"), list);
    }
    let listen_addresses = names
        .iter()
        .take(3)
        .filter_map(|name| value[*name].as_str());
    let mut listen_addresses: Vec<&str> = listen_addresses.collect();
    let count = listen_addresses.len();
    listen_addresses.sort_unstable();
    listen_addresses.dedup();
    if listen_addresses.len() < count
        && !listen_addresses
            .iter()
            .any(|address| address.ends_with(":0"))
    {
        let expected = "different addresses for callers, peers and operators";
        list.push(Finding::new(
            "same_address",
            "",
            "one address used twice",
            expected,
        ));
    }
}

fn check_address(value: &Value, place: &str, list: &mut FindingList) {
    let Some(text) = value.as_str() else {
        return;
    };
    if text.parse::<SocketAddr>().is_err() {
        let expected = "an IP address and port, as in 10.0.0.1:8080";
        list.push(Finding::new(
            "wrong_address",
            place,
            format!("\"{text}\""),
            expected,
        ));
    }
}

fn check_approvers(value: &Value, list: &mut FindingList) {
    for (index, approver) in value["approvers"]
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
    {
        // Keys of another length are reported by the schema check.
        let Some(text) = approver.as_str().filter(|text| text.len() == 64) else {
            continue;
        };
        if parse_public_key(text).is_none() {
            let place = format!("/approvers/{index}");
            list.push(Finding::new(
                "wrong_key",
                place,
                format!("\"{text}\""),
                "an Ed25519 public key",
            ));
        }
    }
}

fn convert_settings(text: &str) -> Result<HostSettings, FindingList> {
    let settings: DaemonSettings = serde_json::from_str(text).map_err(|error| FindingList {
        findings: vec![Finding::new(
            "json_syntax",
            "",
            error.to_string(),
            "settings of this schema",
        )],
    })?;
    let address = |text: &str| text.parse().expect("address was validated");
    Ok(HostSettings {
        host: HostName::from(settings.host),
        domain: DomainName::from(settings.failure_domain),
        caller_address: address(&settings.caller_address),
        peer_address: address(&settings.peer_address),
        admin_address: address(&settings.admin_address),
        store_address: address(&settings.store_address),
        seeds: settings.seeds.iter().map(|seed| address(seed)).collect(),
        approvers: settings
            .approvers
            .iter()
            .filter_map(|key| parse_public_key(key))
            .collect(),
        limits: settings.limits.map(RequestLimits::from).unwrap_or_default(),
    })
}
