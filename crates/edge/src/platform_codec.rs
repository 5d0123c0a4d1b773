//! How a platform's messages are read and written.

use bytes::Bytes;
use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::RouteManifest;
use snafu::Snafu;

use super::HeaderNames;

/// Why a message was not understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct DecodeError {
    /// Field.
    pub field: Box<str>,
    /// Reason.
    pub reason: Box<str>,
}

impl DecodeError {
    /// An error of a field.
    pub fn new(field: &str, reason: impl std::fmt::Display) -> Self {
        Self { field: field.into(), reason: reason.to_string().into() }
    }
}

/// Reads and writes messages in a platform's words.
pub trait PlatformCodec: Clone + Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Key of the newest manifest on its topic.
    fn manifest_key(&self) -> &'static str;

    /// Manifest of a record's value.
    ///
    /// # Errors
    ///
    /// If it is none.
    fn decode_manifest(&self, value: &[u8]) -> Result<RouteManifest, DecodeError>;

    /// Heartbeat of the upstream whose id stands in the path.
    ///
    /// # Errors
    ///
    /// If it is none.
    fn decode_report(&self, id: &str, body: &[u8]) -> Result<UpstreamReport, DecodeError>;

    /// Answer to a heartbeat; without a reply, one that renews nothing.
    fn encode_reply(&self, reply: Option<&GrantReply>) -> Bytes;

    /// Path under which heartbeats come; the id follows it.
    fn report_path(&self) -> &'static str;
}
