//! Runs real nodes, upstreams and a log as processes on loopback, for tests and measurements.
//!
//! Each fleet draws its own addresses in 127.0.0.0/8, so that several run side by side.

mod fleet;
mod fleet_address;
mod fleet_process;
mod http_caller;
mod journal_check;
mod load_probe;

pub use fleet::{Fleet, FleetSpec, NodeSpec};
pub use fleet_address::FleetAddress;
pub use fleet_process::FleetProcess;
pub use http_caller::{CallResult, HttpCaller, Reply, fresh_id, unix_ms, wait_until};
pub use journal_check::{JournalFault, JournalRow, check_journals};
pub use load_probe::{LoadProbe, LoadSpec, OutcomeRow, check_outcomes, longest_gap};
