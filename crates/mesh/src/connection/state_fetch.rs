//! Short questions of the control thread: a peer's state, who the upstream is.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderName, Request};
use http_body_util::{BodyExt, Full};

use super::ConnectionPool;
use crate::version::StateSnapshot;

/// Path of a node's state, on the address for requests of other nodes.
pub const STATE_PATH: &str = "/-/state";

/// Time for a read of a peer's state.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the state of the peer at an address.
pub async fn fetch_state(address: SocketAddr) -> Option<StateSnapshot> {
    let request = Request::get(STATE_PATH).body(Full::default()).ok()?;
    let fetch = async {
        let pool = ConnectionPool::default();
        let (response, _link, _) = pool.send(address, request, Duration::ZERO).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        StateSnapshot::decode(&body.to_bytes())
    };
    tokio::time::timeout(FETCH_TIMEOUT, fetch).await.ok()?
}

/// Asks who listens at the upstream's address, by a health check; `None` if nobody says.
pub fn fetch_upstream_id(
    address: SocketAddr,
    path: &str,
    id_header: &HeaderName,
) -> impl Future<Output = Option<Box<str>>> + use<> {
    let request = Request::get(path).body(Full::default());
    let id_header = id_header.clone();
    async move {
        let pool = ConnectionPool::default();
        let sent = pool.send(address, request.ok()?, Duration::ZERO);
        let (response, _link, _) = tokio::time::timeout(FETCH_TIMEOUT, sent).await.ok()?.ok()?;
        let id = response.headers().get(id_header)?.to_str().ok()?;
        Some(id.into())
    }
}
