//! Why a process could not start or go on.

use snafu::Snafu;

/// An error that ends a command.
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
    /// A file was refused.
    #[snafu(display("{path}: {source}"))]
    BadFile {
        /// Path.
        path: Box<str>,
        /// Cause.
        source: firspindle_core::version::SpecError,
    },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address} ({role}): {reason}"))]
    Listen {
        /// Address.
        address: Box<str>,
        /// What it is for.
        role: &'static str,
        /// Cause.
        reason: Box<str>,
    },
    /// The process lacks a resource.
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
    /// A node did not answer.
    #[snafu(display("{url}: {reason}"))]
    NoAnswer {
        /// URL.
        url: Box<str>,
        /// Cause.
        reason: Box<str>,
    },
}
