//! Fleets of real processes under kills, pauses, network cuts and outages of the log.
//!
//! Most tests run a fleet of their own under load and check every response against the journals of
//! the upstreams.

mod drains;
mod fleet_checks;
mod limits;
mod log_faults;
mod log_restores;
mod losses;
mod requests;
