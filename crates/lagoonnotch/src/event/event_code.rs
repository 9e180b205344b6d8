//! Event codes.

use log::Level;

macro_rules! event_codes {
    ($($(#[$note:meta])* $name:ident = $number:literal, $level:ident;)*) => {
        /// A log event with a fixed number.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum EventCode {
            $($(#[$note])* $name,)*
        }

        impl EventCode {
            /// All events.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's fixed number.
            #[must_use]
            pub fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the event's name.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns the log level of the event.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }
        }
    };
}

event_codes! {
    /// The daemon listens on all its addresses.
    DaemonStarted = 100, Info;
    /// A graceful shutdown began.
    ShutdownBegun = 101, Info;
    /// The graceful shutdown is complete.
    ShutdownDone = 102, Info;
    /// Ownership of a shard entered another phase.
    OwnershipPhase = 200, Info;
    /// A shard owner was replaced by a newer one and stepped down.
    OwnerDeposed = 201, Warn;
    /// The store stopped responding to the owner.
    StoreLost = 202, Warn;
    /// The store responds to the owner again. Currently not logged.
    StoreBack = 203, Info;
    /// The store lease expired and was acquired again in the same epoch.
    LeaseReclaimed = 204, Info;
    /// The owner suspended task starts because it holds neither a valid store lease nor peer
    /// promises (peers' assurances not to take over). Currently not logged.
    StartsSuspended = 205, Warn;
    /// A journal snapshot was written.
    SnapshotWritten = 206, Debug;
    /// An upstream accepted the owner's fence.
    UpstreamFenced = 300, Debug;
    /// An upstream stopped responding.
    UpstreamSilent = 301, Warn;
    /// The leases of an unresponsive upstream have expired.
    UpstreamLost = 302, Warn;
    /// An upstream restarted and lost its tasks. Currently not logged.
    UpstreamRestarted = 303, Warn;
    /// It is unknown whether a task ran.
    TaskUnknown = 304, Warn;
    /// An upstream reported an attempt that its owner did not start.
    AttemptAdopted = 305, Debug;
    /// A newer revision of the configuration is in force.
    DocumentInForce = 400, Info;
    /// A document was refused, or its submission failed.
    DocumentRefused = 401, Warn;
    /// A document in the log could not be parsed.
    DocumentUnreadable = 402, Error;
    /// The allotment of a team changed.
    AllotmentChanged = 500, Debug;
    /// An entry host was seen for the first time, or again after a silence.
    MemberJoined = 600, Info;
    /// An entry host stopped sending heartbeats.
    MemberSilent = 601, Warn;
    /// This host can no longer tell whether newer documents exist.
    ConfigStale = 602, Warn;
    /// This host has the newest documents again.
    ConfigFresh = 603, Info;
    /// A request failed with a server error.
    RequestFailed = 700, Warn;
}

impl EventCode {
    /// Writes the event to the log.
    pub fn log(self, detail: &str) {
        log::log!(target: "lagoonnotch", self.level(), "E{} {}: {detail}", self.number(), self.name());
    }
}
