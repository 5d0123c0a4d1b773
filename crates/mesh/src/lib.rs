//! The mesh node: one process beside each upstream, for services that are divided by key ranges
//! or not at all.
//!
//! A caller reaches any node. The entry node finds the route and the node beside the upstream
//! that is to run the request; that node alone talks to its upstream. One thread holds the
//! control state ([`process`]) and publishes a view ([`version`]) that the traffic thread reads.
//! Connections and the gate before the upstream live in [`connection`], what lives for one
//! request in [`request`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
