//! Codes of the events of a host that schedules a fleet.

use std::sync::OnceLock;

use log::Level;
use serde_json::{Value, json};

use crate::clock::unix_ms;
use crate::event::event_limiter::EventLimiter;

static BUDGET: EventLimiter = EventLimiter::new();
static HOST: OnceLock<String> = OnceLock::new();

/// Sets the name of the host that each line carries.
pub fn set_host(name: &str) {
    let _ = HOST.set(name.to_owned());
}

macro_rules! fleet_events {
    ($($(#[$note:meta])* $name:ident = $number:literal, $level:ident;)*) => {
        /// An event of the log; each has a fixed number.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum FleetEvent {
            $($(#[$note])* $name,)*
        }

        impl FleetEvent {
            /// Every event.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the fixed number of the event.
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
    /// The host serves its addresses.
    HostStarted = 1000, Info;
    /// A graceful shutdown began.
    HostStopping = 1001, Info;
    /// The graceful shutdown is complete.
    HostStopped = 1002, Info;
    /// The settings were read again.
    SettingsReloaded = 1003, Info;
    /// The store does not answer this host.
    StoreLost = 1010, Warn;
    /// The store answers this host again.
    StoreRegained = 1011, Info;
    /// The owner does not answer this host.
    OwnerLost = 1012, Warn;
    /// The owner answers this host again.
    OwnerRegained = 1013, Info;
    /// A configuration came into force on this host.
    ConfigInForce = 1020, Info;
    /// Something that the operator wrote could not be read.
    OperatorItemUnreadable = 1021, Warn;
    /// An entry of the directory names no usable upstream.
    DirectoryEntryUnreadable = 1022, Warn;
    /// A submission was stored.
    SubmissionAccepted = 1030, Info;
    /// A request was refused; nothing of it runs.
    RequestRefused = 1031, Info;
    /// A request got no verdict, since its write has no known outcome.
    RequestUnsettled = 1032, Warn;
    /// A cancelling was stored.
    CancelStored = 1033, Info;
    /// This host tries to become the owner.
    OwnershipClaimed = 1040, Info;
    /// This host owns the fleet and has recovered its state.
    OwnershipTaken = 1041, Info;
    /// This host is no longer the owner.
    OwnershipEnded = 1042, Warn;
    /// The owner's lease may have run out: nothing is started or renewed.
    StartsSuspended = 1043, Warn;
    /// The policy service said which upstreams may run a step.
    AdviceTaken = 1050, Info;
    /// The policy service gave no usable answer.
    AdviceFailed = 1051, Warn;
    /// An upstream was ordered to start a task.
    TaskOrdered = 1060, Info;
    /// An order to start was rejected or got no answer.
    StartRefused = 1061, Warn;
    /// A run ended.
    RunEnded = 1062, Info;
    /// A run was ordered to stop.
    StopOrdered = 1063, Info;
    /// An upstream stopped answering.
    UpstreamSilent = 1064, Warn;
    /// A commit of progress failed or has no known outcome.
    CommitFailed = 1070, Warn;
    /// A submission reached its final state, and the state is stored.
    SubmissionEnded = 1071, Info;
}

impl FleetEvent {
    /// Writes the event with its fields.
    ///
    /// # Panics
    ///
    /// Never: fields that are no object are written under `detail`.
    pub fn emit(self, fields: Value) {
        if !log::log_enabled!(target: "lagoonnotch", self.level()) {
            return;
        }
        let Some(suppressed) = BUDGET.take(self.number()) else {
            return;
        };
        let mut line = json!({
            "time": unix_ms(),
            "host": HOST.get(),
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
