//! Requests of the control thread: for a peer's state, and for the id of the upstream.

use std::net::SocketAddr;
use std::time::Duration;

use firspindle_core::version::LogPosition;
use http::{HeaderName, Request};
use http_body_util::{BodyExt, Limited};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{ConnectionPool, OutboundBody, SendError};
use crate::version::{KnownState, PeerState, StateNews, StateSnapshot};

/// Path under which a node serves its state, on the address for requests of other nodes.
pub const STATE_PATH: &str = "/-/state";

/// Largest state of a peer, in bytes: a plan and a manifest at the store's bound for a record, and
/// the records of 10,000 hosts.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// Time limit for a request of the control thread.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Why the state of a peer was not fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FetchError {
    /// The peer did not answer within [`FETCH_TIMEOUT`].
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The connection failed.
    #[snafu(display("no response: {source}"))]
    NoResponse {
        /// Whether the request was sent.
        source: SendError,
    },
    /// The answer broke off, or is larger than [`MAX_STATE_BYTES`].
    #[snafu(display("the answer broke off or is too large"))]
    Incomplete,
    /// The answer is not a state.
    #[snafu(display("the answer cannot be decoded"))]
    Malformed,
}

impl FetchError {
    /// Returns the name of the cause for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::NoResponse { .. } => "no-response",
            Self::Incomplete => "incomplete",
            Self::Malformed => "malformed",
        }
    }
}

/// Returns the path under which a peer answers with what is newer than a known state.
fn news_path(known: KnownState) -> String {
    let evacuations = known.evacuations.map(|end| format!("&evacuations={end}"));
    let evacuations = evacuations.unwrap_or_default();
    format!("{STATE_PATH}?plan={}&manifest={}{evacuations}", known.plan, known.manifest)
}

/// Parses the query of a request for a peer's state; `None` if it asks for the whole state.
pub fn parse_known_state(query: Option<&str>) -> Option<KnownState> {
    let value = |name: &str| {
        let mut parts = query?.split('&').filter_map(|part| part.split_once('='));
        parts.find(|part| part.0 == name).map(|part| part.1)
    };
    let number = |name: &str| value(name)?.parse().ok();
    let evacuations = value("evacuations").and_then(|text| {
        let (epoch, offset) = text.split_once('/')?;
        Some(LogPosition::new(epoch.parse().ok()?, offset.parse().ok()?))
    });
    Some(KnownState { plan: number("plan")?, manifest: number("manifest")?, evacuations })
}

/// Fetches the state of the peer at an address, the whole of it unless an earlier one is known, and
/// the number of bytes that it took.
///
/// # Errors
///
/// [`FetchError`] says what failed.
pub async fn fetch_state(
    address: SocketAddr,
    known: Option<KnownState>,
) -> Result<(PeerState, usize), FetchError> {
    let path = known.map_or_else(|| STATE_PATH.to_owned(), news_path);
    let fetch = async {
        let request = Request::get(path).body(OutboundBody::default());
        let request = request.ok().context(MalformedSnafu)?;
        let pool = ConnectionPool::default();
        let sent = pool.send(address, request, Duration::ZERO).await;
        let (response, _connection, _) = sent.context(NoResponseSnafu)?;
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES).collect().await;
        let bytes = body.ok().context(IncompleteSnafu)?.to_bytes();
        let state = match known {
            Some(_) => StateNews::decode(&bytes).map(PeerState::News),
            None => StateSnapshot::decode(&bytes).map(PeerState::Whole),
        };
        Ok((state.context(MalformedSnafu)?, bytes.len()))
    };
    tokio::time::timeout(FETCH_TIMEOUT, fetch).await.unwrap_or(Err(FetchError::TimedOut))
}

/// Fetches the id of the upstream at an address by a health check; `None` if the check fails or its
/// response has no id.
pub fn fetch_upstream_id(
    address: SocketAddr,
    path: &str,
    id_header: &HeaderName,
) -> impl Future<Output = Option<Box<str>>> + use<> {
    let request = Request::get(path).body(OutboundBody::default());
    let id_header = id_header.clone();
    async move {
        let pool = ConnectionPool::default();
        let sent = pool.send(address, request.ok()?, Duration::ZERO);
        let (response, _connection, _) =
            tokio::time::timeout(FETCH_TIMEOUT, sent).await.ok()?.ok()?;
        let id = response.headers().get(id_header)?.to_str().ok()?;
        Some(id.into())
    }
}
