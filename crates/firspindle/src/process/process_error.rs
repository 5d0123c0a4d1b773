//! Errors that end a command.

use snafu::Snafu;

/// Errors that end a command or keep a node from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// A file could not be read.
    #[snafu(display("{path}: {source}"))]
    ReadFile {
        /// Path.
        path: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// A settings file or manifest is invalid.
    #[snafu(display("{path}: {source}"))]
    BadFile {
        /// Path.
        path: Box<str>,
        /// Cause.
        source: firspindle_core::version::SpecError,
    },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address} for {role}: {reason}"))]
    Listen {
        /// Address.
        address: Box<str>,
        /// What the address is for.
        role: &'static str,
        /// Cause.
        reason: Box<str>,
    },
    /// Starting a runtime, a server or the signal handler failed.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Cause.
        source: std::io::Error,
    },
    /// A mesh node cannot start.
    #[snafu(display("{source}"))]
    Mesh {
        /// Cause.
        source: firspindle_mesh::process::NodeError,
    },
    /// A node gave no usable status.
    #[snafu(display("{url}: {reason}"))]
    NoStatus {
        /// URL of the node.
        url: Box<str>,
        /// Cause.
        reason: Box<str>,
    },
}
