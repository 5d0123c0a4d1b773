//! Requests of the control thread: for a peer's state, and for the id of the upstream.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderName, Request};
use http_body_util::BodyExt;

use super::{ConnectionPool, OutboundBody};
use crate::version::StateSnapshot;

/// Path under which a node serves its state, on the address for requests of other nodes.
pub const STATE_PATH: &str = "/-/state";

/// Time limit for a request of the control thread.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches the state of the peer at an address; `None` if that fails.
pub async fn fetch_state(address: SocketAddr) -> Option<StateSnapshot> {
    let request = Request::get(STATE_PATH).body(OutboundBody::default()).ok()?;
    let fetch = async {
        let pool = ConnectionPool::default();
        let (response, _connection, _) = pool.send(address, request, Duration::ZERO).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        StateSnapshot::decode(&body.to_bytes())
    };
    tokio::time::timeout(FETCH_TIMEOUT, fetch).await.ok()?
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
