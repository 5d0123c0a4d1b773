//! The firspindle node: one process beside each upstream, for services whose keys are divided by
//! hash. It adds sockets, threads and clocks to the state machines of `firspindle_core`.
//!
//! One thread owns the control state ([`process`]) and publishes a view of it ([`version`]) that
//! the traffic threads read. [`request`] holds the handling of a single request, [`connection`]
//! the state that outlives requests: pooled connections, the gates of partitions, and the limit
//! on requests to the upstream.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
