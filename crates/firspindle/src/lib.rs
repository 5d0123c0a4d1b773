//! The node of firspindle: sockets, threads and clocks around `firspindle_core`.
//!
//! One thread holds the control state ([`process`]); others carry traffic and read the view that
//! it publishes ([`version`]). A request enters at [`request`]; what lives as long as a link to
//! an upstream is in [`connection`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
