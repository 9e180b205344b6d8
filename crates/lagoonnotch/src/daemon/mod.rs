//! The daemon: a control thread that owns the state, and a runtime for network traffic.

mod cell_view;
mod config_watch;
mod control;
mod control_messages;
mod control_view;
mod effect_runner;
mod gossip;
mod host_clock;
mod host_daemon;
mod peer_server;

pub use cell_view::{CellView, OwnerRoute, RouteTarget};
pub(crate) use config_watch::{log_key, read_log};
pub use control::{ControlActor, ControlHandle};
pub(crate) use control_messages::{PreviewMessage, PreviewOutcome};
pub use host_clock::HostClock;
pub use host_daemon::{HostDaemon, HostListeners};
pub(crate) use peer_server::execute_locally;
