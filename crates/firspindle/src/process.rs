//! Everything that lives as long as the process: command line, settings, threads and control state.

mod admin_service;
mod check_command;
mod check_report;
mod command_line;
mod control_event;
mod control_thread;
mod lease_cell;
mod log_client;
mod log_reader;
mod metrics_set;
mod node_process;
mod node_settings;
mod peer_socket;
mod process_error;
mod publish_command;
mod record_writer;
mod stall_watch;
mod status_page;
mod story_command;

pub use firspindle_edge::{BootClock, LogLimiter, unix_ms};

pub use command_line::CommandLine;
pub use control_event::{AnnounceBody, ControlEvent};
pub use lease_cell::LeaseCell;
pub use log_client::{LogBounds, LogClient, LogError, StoredRecord};
pub use metrics_set::MetricsSet;
pub use node_settings::{AdvertiseSettings, ListenSettings, NodeSettings};
pub use peer_socket::{PeerSocket, listen as listen_for_peers};
pub use process_error::ProcessError;
pub(crate) use process_error::StartSnafu;
pub use stall_watch::wake_up_stalled;
pub use status_page::{MemberStatus, StatusPage};
pub use story_command::RequestTimeline;
