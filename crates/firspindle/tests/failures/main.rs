//! Real processes under kills, freezes, cuts and outages of the log.
//!
//! Each test runs a fleet of its own under load and checks every answer against the journals of
//! the upstreams.

mod bench_fleet;
mod drains;
mod log_faults;
mod losses;
mod requests;
