//! Decoding and encoding of a platform's messages.
//!
//! An upstream sends heartbeats to the node on its host. What a heartbeat carries is decoded into an
//! [`UpstreamReport`]; the response to the heartbeat carries a [`GrantReply`].

use std::net::SocketAddr;

use bytes::Bytes;
use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::RouteManifest;
use snafu::Snafu;

use super::HeaderNames;

/// Where in a message an error is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodePlace {
    /// Position in the text.
    Text {
        /// Line, counted from 1.
        line: usize,
        /// Column in bytes, counted from 1.
        column: usize,
    },
    /// Row of a table.
    Row {
        /// Name of the table in the message.
        table: &'static str,
        /// Index of the row, counted from 0.
        index: usize,
    },
}

/// Why a message could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct DecodeError {
    /// Name of the field in the platform's message, or of the part of the message that contains it.
    pub field: Box<str>,
    /// What is wrong with the field.
    pub reason: Box<str>,
    /// Where in the message, if that is known.
    pub place: Option<DecodePlace>,
}

impl DecodeError {
    /// Creates an error about a field.
    pub fn new(field: &str, reason: impl std::fmt::Display) -> Self {
        Self { field: field.into(), reason: reason.to_string().into(), place: None }
    }

    /// Adds where in the message the error is.
    #[must_use]
    pub fn at(self, place: DecodePlace) -> Self {
        Self { place: Some(place), ..self }
    }
}

/// Decodes and encodes the messages of a platform.
pub trait PlatformCodec: Clone + Send + Sync + 'static {
    /// Returns the names of the platform's headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the key under which operators write manifests to their topic.
    fn manifest_key(&self) -> &'static str;

    /// Returns the prefix of the keys of evacuations, in the manifests' topic. The name of a data centre
    /// follows it; the data centre is evacuated until the key is deleted.
    fn evacuation_prefix(&self) -> &'static str;

    /// Decodes a manifest from the value of a record.
    ///
    /// # Errors
    ///
    /// If the value is not a valid manifest.
    fn decode_manifest(&self, value: &[u8]) -> Result<RouteManifest, DecodeError>;

    /// Decodes the report that a heartbeat carries. `id` is the upstream's id from the path of the
    /// request, `body` the body of the request.
    ///
    /// # Errors
    ///
    /// If the id or the body is not valid, or not of the upstream at that address.
    fn decode_report(
        &self,
        id: &str,
        body: &[u8],
        upstream: SocketAddr,
    ) -> Result<UpstreamReport, DecodeError>;

    /// Encodes the body of the response to a heartbeat. Without a `reply`, the response renews no
    /// grants.
    fn encode_reply(&self, reply: Option<&GrantReply>) -> Bytes;

    /// Returns the path prefix of heartbeats, which carry the reports, and of the requests with which
    /// an upstream leaves; the upstream's id follows it.
    fn report_path(&self) -> &'static str;
}
