//! Parsing and validation of the settings file.

use std::fmt;
use std::sync::Arc;

use lagoonnotch_fleet::owner::OwnerSettings;
use serde::Deserialize;

use crate::http::TrafficLimits;

/// Descriptors that neither clients' connections nor those to the store for callers' requests use:
/// they are for the host's own calls, upstreams, readiness and metrics.
const RESERVED_DESCRIPTORS: usize = 200;

/// Time bounds imposed by the platform.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct TimeBounds {
    /// Maximum time until a revoked key stops working, in milliseconds.
    pub revoke_ms: u64,
    /// Maximum lease that an upstream grants, in milliseconds.
    pub task_lease_max_ms: u64,
    /// Grace period between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
}

/// Settings of a host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FleetSettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// IP address of the host.
    pub ip: String,
    /// Address that serves callers.
    pub caller_address: String,
    /// Address that serves the load balancer's readiness probe.
    pub readiness_address: String,
    /// Range of ports reserved for calls between hosts, first and last; the host listens on the
    /// first.
    pub peer_ports: (u16, u16),
    /// Address of the store.
    pub store_address: Arc<str>,
    /// Address of the policy service, if the platform has one.
    pub policy_address: Option<Arc<str>>,
    /// CPU capacity of the host, in cores (may be fractional).
    pub processor_share: f64,
    /// Interval between two directory reports of an upstream, in milliseconds.
    #[serde(default = "default_report_interval_ms")]
    pub report_interval_ms: u64,
    /// Minimum lease that the store grants, in milliseconds.
    pub min_store_lease_ms: u64,
    /// Memory of the host, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Maximum number of file descriptors of the process.
    #[serde(default = "default_max_descriptors")]
    pub max_descriptors: usize,
    /// Maximum memory for requests that are not answered yet, in MiB; by default a quarter of the
    /// host's memory.
    pub request_memory_mb: Option<usize>,
    /// Maximum number of connections of callers; by default half of the descriptors that are not
    /// reserved.
    pub max_caller_connections: Option<usize>,
    /// Maximum number of connections of other hosts; by default a quarter of the descriptors that
    /// are not reserved.
    pub max_peer_connections: Option<usize>,
    /// Time bounds imposed by the platform.
    pub bounds: TimeBounds,
}

fn default_memory_mb() -> usize {
    160
}

fn default_max_descriptors() -> usize {
    4096
}

fn default_report_interval_ms() -> u64 {
    OwnerSettings::default().report_interval_ms
}

/// Invalid settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Every finding, prefixed with its location.
    pub findings: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.findings.join("; "))
    }
}

impl std::error::Error for SettingsError {}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns all findings with their locations.
pub fn read_settings(text: &str) -> Result<FleetSettings, SettingsError> {
    let settings: FleetSettings = serde_json::from_str(text).map_err(|error| {
        let message = error.to_string();
        let message = message.split(" at line ").next().unwrap_or_default();
        SettingsError {
            findings: vec![format!(
                "line {}, column {}: {message}",
                error.line(),
                error.column()
            )],
        }
    })?;
    let mut findings = Vec::new();
    if settings.host.is_empty() {
        findings.push("host: must not be empty".to_owned());
    }
    if settings.peer_ports.0 == 0 || settings.peer_ports.0 > settings.peer_ports.1 {
        findings.push("peer_ports: the first must be above 0 and not above the last".to_owned());
    }
    if settings.report_interval_ms == 0 {
        findings.push("report_interval_ms: must be above 0".to_owned());
    }
    if settings.traffic_limits().request_bytes == 0 {
        findings.push("request_memory_mb: must be above 0".to_owned());
    }
    if settings.max_descriptors <= RESERVED_DESCRIPTORS {
        findings.push(format!(
            "max_descriptors: must be above {RESERVED_DESCRIPTORS}"
        ));
    }
    if settings.bounds.grace_s < 1.0 {
        findings.push("bounds.grace_s: must be at least 1".to_owned());
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError { findings })
    }
}

impl FleetSettings {
    /// Returns the address for calls between hosts.
    #[must_use]
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.ip, self.peer_ports.0)
    }

    /// Returns the limits of what clients hold of the host.
    #[must_use]
    pub fn traffic_limits(&self) -> TrafficLimits {
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let request_memory_mb = self.request_memory_mb.unwrap_or(self.memory_mb / 4);
        TrafficLimits {
            request_bytes: request_memory_mb.saturating_mul(1024 * 1024),
            max_caller_connections: self.max_caller_connections.unwrap_or(descriptors / 2),
            max_peer_connections: self.max_peer_connections.unwrap_or(descriptors / 4),
            // Each may need two connections to the store at a time.
            max_handled_requests: (descriptors / 16).max(1),
        }
    }

    /// Returns the CPU capacity of the host, in thousandths of a core.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    pub fn processor_milli(&self) -> u32 {
        (self.processor_share * 1000.0).max(0.0) as u32
    }
}
