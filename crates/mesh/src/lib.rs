//! The mesh node: one process beside each upstream, for services that are sharded by key range
//! and for services without key ownership.
//!
//! A caller may connect to any node. That entry node finds the route and forwards the request to
//! the node beside the upstream that is to run it; only that node talks to its upstream. One
//! thread owns the control state ([`process`]) and publishes a view ([`version`]) that the traffic
//! thread reads. [`connection`] holds the connections and the limiter in front of the upstream,
//! [`request`] the handling of a single request.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
