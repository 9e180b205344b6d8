//! The daemon: a control thread that owns the state, and a runtime that serves requests and makes
//! calls.

mod config_watch;
mod control;
mod control_messages;
mod control_view;
mod effect_runner;
mod gossip;
mod host_clock;
mod host_daemon;
mod host_view;
mod peer_server;

pub(crate) use config_watch::{log_key, read_log};
pub use control::{ControlActor, ControlHandle};
pub(crate) use control_messages::{PreviewMessage, PreviewOutcome};
pub use host_clock::HostClock;
pub use host_daemon::{HostDaemon, HostListeners};
pub use host_view::{HostView, OwnerRoute, RouteTarget};
pub(crate) use peer_server::execute_locally;
