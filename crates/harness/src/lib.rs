//! Runs nodes, upstreams and a log service as real processes on loopback, for tests and
//! measurements.
//!
//! Each fleet reserves a block of addresses in 127.0.0.0/8, so several can run at the same time.

mod address_block;
mod endless_body;
mod fleet;
mod fleet_process;
mod http_client;
mod journal_check;
mod load_generator;

pub use address_block::AddressBlock;
pub use endless_body::{EndlessServer, send_endless_body};
pub use fleet::{Fleet, FleetSpec, NodeSpec};
pub use fleet_process::FleetProcess;
pub use http_client::{CallResult, HttpClient, HttpResponse, new_request_id, unix_ms, wait_until};
pub use journal_check::{JournalRow, JournalViolation, check_journals};
pub use load_generator::{LoadGenerator, LoadSpec, RequestOutcome, check_outcomes, longest_gap};
