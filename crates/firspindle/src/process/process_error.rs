//! Errors that end a command.

use snafu::Snafu;

/// Errors that end a command or keep a node from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// A file could not be read.
    #[snafu(display("{path}: {source}"))]
    ReadFile {
        /// Path of the settings file, manifest or log that could not be read.
        path: Box<str>,
        /// Error from reading the file, or from text in it that is not valid UTF-8.
        source: std::io::Error,
    },
    /// A settings file or manifest is invalid.
    #[snafu(display("{path}: {source}"))]
    BadFile {
        /// Path of the settings file or manifest.
        path: Box<str>,
        /// Line of the file and what is wrong there.
        source: firspindle_core::version::SpecError,
    },
    /// A manifest of mesh nodes is refused, or the manifest to compare with is not usable.
    #[snafu(display("{place}: {reason}"))]
    Unusable {
        /// File or URL, as given on the command line.
        place: Box<str>,
        /// What is wrong with it, with line and column where these are known.
        reason: Box<str>,
    },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address} for {role}: {reason}"))]
    Listen {
        /// Socket address from the settings, as `ip:port`.
        address: Box<str>,
        /// What the address is for: `traffic`, `forward`, `admin` or `peer`.
        role: &'static str,
        /// Error text of the operating system.
        reason: Box<str>,
    },
    /// Starting a runtime, a server or the signal handler failed.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Error from starting the runtime, the server or the signal handler.
        source: std::io::Error,
    },
    /// A mesh node cannot start.
    #[snafu(display("{source}"))]
    Mesh {
        /// Which part of the node failed to start, and why.
        source: firspindle_mesh::process::NodeError,
    },
    /// A node gave no usable status.
    #[snafu(display("{url}: {reason}"))]
    NoStatus {
        /// URL of the node, as given on the command line.
        url: Box<str>,
        /// What failed: the URL, the connection, the timeout or the content of the response.
        reason: Box<str>,
    },
}
