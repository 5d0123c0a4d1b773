//! The mesh node: one process on the host of each upstream, for services that are sharded by key
//! range and for services without key ownership.
//!
//! A caller may connect to any node. That entry node finds the route and forwards the request to
//! the node whose upstream is to run it; only that node sends requests to its upstream. One
//! thread owns the control state ([`process`]) and publishes a view ([`version`]) that the traffic
//! thread reads. [`connection`] holds the connections and the limiter in front of the upstream,
//! [`request`] the handling of a single request.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
