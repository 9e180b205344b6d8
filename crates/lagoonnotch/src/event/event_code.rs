//! Codes of events.

use log::Level;

macro_rules! event_codes {
    ($($(#[$note:meta])* $name:ident = $number:literal, $level:ident;)*) => {
        /// An event that the log can show; each has a fixed number.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum EventCode {
            $($(#[$note])* $name,)*
        }

        impl EventCode {
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

event_codes! {
    /// The daemon serves its addresses.
    DaemonStarted = 100, Info;
    /// A graceful shutdown began.
    ShutdownBegun = 101, Info;
    /// The graceful shutdown is complete.
    ShutdownDone = 102, Info;
    /// A shard's ownership changed its phase.
    OwnershipPhase = 200, Info;
    /// An owner was replaced by another and stepped down.
    OwnerDeposed = 201, Warn;
    /// The store stopped answering the owner.
    StoreLost = 202, Warn;
    /// The store answers the owner again.
    StoreBack = 203, Info;
    /// The store's lease ran out, and was taken again in the same epoch.
    LeaseReclaimed = 204, Info;
    /// The owner may start nothing, since neither lease nor promises hold.
    StartsSuspended = 205, Warn;
    /// A snapshot of the journal was written.
    SnapshotWritten = 206, Debug;
    /// An upstream accepted the owner's fence.
    UpstreamFenced = 300, Debug;
    /// An upstream stopped answering.
    UpstreamSilent = 301, Warn;
    /// The leases of a silent upstream have run out.
    UpstreamLost = 302, Warn;
    /// An upstream restarted and lost its tasks.
    UpstreamRestarted = 303, Warn;
    /// A task is not known to have run or not.
    TaskUnknown = 304, Warn;
    /// An upstream reported an attempt that its owner did not start.
    AttemptAdopted = 305, Debug;
    /// A document came into force.
    DocumentInForce = 400, Info;
    /// A document was refused.
    DocumentRefused = 401, Warn;
    /// A document of the log could not be read.
    DocumentUnreadable = 402, Error;
    /// A team's allotment changed.
    AllotmentChanged = 500, Debug;
    /// An entry host was heard for the first time.
    MemberJoined = 600, Info;
    /// An entry host is no longer heard.
    MemberSilent = 601, Warn;
    /// This host can't know whether newer documents exist.
    ConfigStale = 602, Warn;
    /// This host knows the newest documents again.
    ConfigFresh = 603, Info;
    /// A request failed in a way that its caller can't mend.
    RequestFailed = 700, Warn;
}

impl EventCode {
    /// Writes the event to the log.
    pub fn log(self, detail: &str) {
        log::log!(target: "lagoonnotch", self.level(), "E{} {}: {detail}", self.number(), self.name());
    }
}
