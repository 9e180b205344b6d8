//! Log events of an entry host.

use std::sync::OnceLock;

use log::Level;
use serde_json::{Value, json};

use crate::clock::unix_ms;
use crate::event::event_limiter::EventLimiter;

static LIMITER: EventLimiter = EventLimiter::new();
static HOST_NAME: OnceLock<String> = OnceLock::new();

/// Sets the host name that is included in every log line.
pub fn set_host(name: &str) {
    let _ = HOST_NAME.set(name.to_owned());
}

macro_rules! fleet_events {
    ($($(#[$attribute:meta])* $name:ident = $number:literal, $level:ident;)*) => {
        /// A log event with a stable number.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum FleetEvent {
            $($(#[$attribute])* $name,)*
        }

        impl FleetEvent {
            /// All events.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable number of the event.
            #[must_use]
            pub fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the name of the event.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }
        }
    };
}

fleet_events! {
    /// The host listens on its addresses.
    HostStarted = 1000, Info;
    /// A graceful shutdown began.
    HostStopping = 1001, Info;
    /// The graceful shutdown completed.
    HostStopped = 1002, Info;
    /// The settings file was read and validated again after SIGHUP; the running host keeps its
    /// settings.
    SettingsReloaded = 1003, Info;
    /// How long each kind of work kept the thread busy, and how late its timers fired, since the
    /// last such line; written by the owner, and by hosts that are busy for over half of the time.
    WorkReport = 1004, Info;
    /// The store does not respond to this host.
    StoreLost = 1010, Warn;
    /// The store responds to this host again.
    StoreRegained = 1011, Info;
    /// The owner does not respond to this host.
    OwnerLost = 1012, Warn;
    /// The owner responds to this host again.
    OwnerRegained = 1013, Info;
    /// The configuration or the set of evacuated failure domains changed on this host.
    ConfigInForce = 1020, Info;
    /// An item written by the operator could not be parsed.
    OperatorItemUnreadable = 1021, Warn;
    /// A directory entry does not describe a usable upstream.
    DirectoryEntryUnreadable = 1022, Warn;
    /// A submission was stored.
    SubmissionAccepted = 1030, Info;
    /// A request was rejected; no part of it runs.
    RequestRefused = 1031, Info;
    /// The request timed out, or the outcome of its write is unknown; a submission or cancellation
    /// may have been stored.
    RequestUnsettled = 1032, Warn;
    /// A cancellation was stored.
    CancelStored = 1033, Info;
    /// A caller was told how many submissions wait; says in which epoch they were counted, the
    /// maximum age of the count, and at the owner the maximum age of a submission that it may lack.
    WaitingCountReturned = 1034, Info;
    /// The owner may not know all submissions that hosts accepted some seconds ago.
    WaitingCountsIncomplete = 1035, Warn;
    /// The owner knows all submissions that hosts accepted some seconds ago again.
    WaitingCountsComplete = 1036, Info;
    /// This host attempts to become the owner.
    OwnershipClaimed = 1040, Info;
    /// This host became the owner and recovered the fleet's state.
    OwnershipTaken = 1041, Info;
    /// This host is no longer the owner.
    OwnershipEnded = 1042, Warn;
    /// The owner's lease may have expired: nothing is started or renewed.
    StartsSuspended = 1043, Warn;
    /// How long a new owner holds the runs of upstreams that do not answer, and the terms of this
    /// time.
    RecoveryBounded = 1044, Info;
    /// The host that replaces an owner asked it to step down: whether it confirmed this, and
    /// otherwise how long it may act without knowing that it was replaced.
    StepDownRequested = 1045, Info;
    /// An upstream became silent or did not answer after a takeover, and its runs stay allocated
    /// until their leases have expired.
    RunsHeld = 1046, Warn;
    /// The runs of a silent upstream are no longer held; those that do not run on it wait to be
    /// started again.
    HeldRunsReleased = 1047, Info;
    /// No host that could succeed the owner reaches the store: its leases may last longer.
    LeasesExtended = 1048, Info;
    /// The policy service returned a decision: the upstreams that may run a step.
    AdviceTaken = 1050, Info;
    /// The policy service returned no usable decision.
    AdviceFailed = 1051, Warn;
    /// How many hosts query the policy service, and what the steps that need tickets wait for;
    /// written by the owner.
    AdviceLoad = 1052, Info;
    /// What the owner made of the policy service's work, by queue.
    QueryUsage = 1053, Info;
    /// An upstream was ordered to start a task.
    TaskOrdered = 1060, Info;
    /// A start order was rejected, not sent or not answered.
    StartRefused = 1061, Warn;
    /// A run ended.
    RunEnded = 1062, Info;
    /// A run was ordered to stop.
    StopOrdered = 1063, Info;
    /// A lease renewal on an upstream failed, was rejected, or was not sent.
    UpstreamSilent = 1064, Warn;
    /// An upstream crashed while tasks were running there; these may have caused it.
    UpstreamCrashed = 1065, Warn;
    /// A submission failed because upstreams crashed repeatedly while one of its tasks was running.
    SubmissionGivenUp = 1066, Warn;
    /// The directory entry of a draining upstream disappeared: either the upstream has left, or the
    /// entry may have expired and the runs stay allocated.
    DrainingUpstreamUnlisted = 1067, Info;
    /// A delegate gave no receipt or no outcome in time; the owner sends its renewals itself.
    DelegateGivenUp = 1068, Warn;
    /// Another incarnation of an upstream answers; says which orders it may have got that were
    /// meant for the one before.
    UpstreamRestarted = 1069, Warn;
    /// A commit of progress failed or its outcome is unknown.
    CommitFailed = 1070, Warn;
    /// A submission's final state was stored.
    SubmissionEnded = 1071, Info;
    /// An upstream has forgotten finished runs that the owner has not seen.
    FinishedRunsMissing = 1072, Error;
    /// It is known again which incarnation of an upstream executes orders; nothing was started
    /// there meanwhile.
    IncarnationChecked = 1073, Info;
    /// Nothing is placed on an upstream for a while because runs failed or stalled there.
    UpstreamQuarantined = 1074, Warn;
    /// A long-running task that keeps failing is not started again for a while.
    RetryDelayed = 1077, Info;
    /// A quarantine ended early, because a step found no room in a pool that is mostly quarantined
    /// and mostly idle.
    QuarantineShortened = 1078, Info;
    /// The memory for requests is exhausted: requests are refused or closed.
    RequestMemoryFull = 1080, Warn;
    /// A client's connection was closed early.
    ConnectionClosed = 1081, Info;
    /// A request was refused or closed because the memory for requests is exhausted, or too many
    /// requests are handled; nothing ran.
    RequestShed = 1082, Info;
    /// Work of a team begins to be deferred in a pool: it is beyond the team's rate and its share.
    TeamDeferred = 1090, Info;
    /// No work of a team has been deferred in a pool for a second.
    TeamRestored = 1091, Info;
}

impl FleetEvent {
    /// Logs the event with its fields. Fields that are not a JSON object are logged under `detail`.
    pub fn emit(self, fields: Value) {
        if !log::log_enabled!(target: "lagoonnotch", self.level()) {
            return;
        }
        let Some(suppressed) = LIMITER.acquire(self.number()) else {
            return;
        };
        let mut line = json!({
            "time": unix_ms(),
            "host": HOST_NAME.get(),
            "event": self.number(),
            "name": self.name(),
        });
        if let Some(object) = line.as_object_mut() {
            match fields {
                Value::Object(fields) => object.extend(fields),
                Value::Null => {}
                detail => {
                    object.insert("detail".to_owned(), detail);
                }
            }
            if suppressed > 0 {
                object.insert("suppressed".to_owned(), suppressed.into());
            }
        }
        log::log!(target: "lagoonnotch", self.level(), "{line}");
    }
}
