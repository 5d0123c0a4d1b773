//! Messages between nodes: each is the body of one HTTP request to the receiver's peer address.
//!
//! A peer may end, freeze or fall silent at any moment, and none of that may hold up the control
//! thread or the messages to other peers. So one thread sends for all peers, with a task and a
//! bounded queue for each. A message that is not taken within [`SEND_TIMEOUT`] is lost together
//! with its connection, and the next one opens a new connection: every message is repeated by its
//! sender for as long as it matters.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::Bytes;
use firspindle_core::connection::Envelope;
use firspindle_edge::OpenConnections;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::sync::mpsc;

use super::{ControlEvent, MetricsSet, ProcessError, StartSnafu};
use crate::connection::{ConnectionPool, OutboundRequest, StopServer, serve};

/// Messages to one peer that wait to be sent; further ones are dropped.
const SEND_BUFFER_MESSAGES: usize = 64;

/// Size above which a received message is refused.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Time within which a peer is to take a message; its connection is closed after that.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without messages after which the task of a peer ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Path of the requests that carry messages.
const MESSAGE_PATH: &str = "/message";

/// An encoded message and the address of its receiver.
struct OutgoingMessage {
    address: Box<str>,
    bytes: Bytes,
}

/// Sends messages to peers, on a thread of its own.
#[derive(Debug)]
pub struct PeerSocket {
    metrics: Arc<MetricsSet>,
    tx: mpsc::UnboundedSender<OutgoingMessage>,
}

impl PeerSocket {
    /// Starts a sender without connections.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Start`] if its runtime cannot be started.
    pub fn start(metrics: Arc<MetricsSet>) -> Result<Self, ProcessError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(StartSnafu)?;
        let (tx, rx) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            tokio::task::LocalSet::new().block_on(&runtime, distribute_messages(rx));
        });
        Ok(Self { metrics, tx })
    }

    /// Sends a message without blocking; it is dropped if too many wait for the same peer.
    pub fn send(&self, address: &str, envelope: &Envelope) {
        let Ok(bytes) = postcard::to_stdvec(envelope) else { return };
        self.metrics.messages.inc();
        self.metrics.message_bytes.inc_by(bytes.len() as u64);
        let message = OutgoingMessage { address: address.into(), bytes: bytes.into() };
        if self.tx.send(message).is_err() {
            log::error!(address; "the thread that sends to peers has ended");
        }
    }
}

/// Queue of the messages to one peer.
struct PeerQueue {
    address: Box<str>,
    tx: mpsc::Sender<Bytes>,
}

/// Passes each message to the queue of its peer.
async fn distribute_messages(mut rx: mpsc::UnboundedReceiver<OutgoingMessage>) {
    // Sorted by address.
    let mut queues: Vec<PeerQueue> = Vec::new();
    while let Some(OutgoingMessage { address, bytes }) = rx.recv().await {
        queues.retain(|queue| !queue.tx.is_closed());
        let index = match queues.binary_search_by(|queue| queue.address.cmp(&address)) {
            Ok(index) => index,
            Err(index) => {
                queues.insert(index, start_queue(address));
                index
            }
        };
        let queue = &queues[index];
        if queue.tx.try_send(bytes).is_err() {
            log::debug!(address = &*queue.address; "message to a peer dropped");
        }
    }
}

fn start_queue(address: Box<str>) -> PeerQueue {
    let (tx, rx) = mpsc::channel(SEND_BUFFER_MESSAGES);
    match format!("http://{address}{MESSAGE_PATH}").parse() {
        Ok(uri) => {
            tokio::task::spawn_local(send_queued(uri, rx));
        }
        Err(error) => log::warn!(address = &*address, error:%; "a peer's address is invalid"),
    }
    PeerQueue { address, tx }
}

/// Sends the messages of one peer in their order, until none came for [`IDLE_TIMEOUT`].
async fn send_queued(uri: Uri, mut rx: mpsc::Receiver<Bytes>) {
    let pool = ConnectionPool::of_thread();
    while let Ok(Some(body)) = tokio::time::timeout(IDLE_TIMEOUT, rx.recv()).await {
        let request = OutboundRequest {
            method: Method::POST,
            uri: uri.clone(),
            headers: HeaderMap::new(),
            body,
        };
        // A request that is dropped unfinished closes its connection.
        match tokio::time::timeout(SEND_TIMEOUT, pool.send(request)).await {
            Ok(Ok(response)) if response.status == StatusCode::NO_CONTENT => {}
            Ok(Ok(response)) => {
                log::warn!(peer:% = uri, status:% = response.status; "a peer refused a message");
            }
            Ok(Err(error)) => log::debug!(peer:% = uri, error:?; "message to a peer lost"),
            Err(_) => log::info!(peer:% = uri; "a peer did not take a message in time"),
        }
    }
}

/// Starts a server that passes messages of peers to the control thread.
///
/// # Errors
///
/// [`ProcessError::Start`] if the server cannot start.
pub fn listen(
    listener: &TcpListener,
    connections: &OpenConnections,
    tx: Sender<ControlEvent>,
) -> Result<StopServer, ProcessError> {
    serve(listener, 1, connections, move |request, _| receive_message(request, tx.clone()))
}

async fn receive_message(
    request: Request<Incoming>,
    tx: Sender<ControlEvent>,
) -> Response<Full<Bytes>> {
    let status = match request.uri().path() {
        MESSAGE_PATH => pass_on(request.into_body(), &tx).await,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn pass_on(body: Incoming, tx: &Sender<ControlEvent>) -> StatusCode {
    let body = match Limited::new(body, MAX_MESSAGE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::warn!(error:%; "peer message not read");
            return StatusCode::BAD_REQUEST;
        }
    };
    match postcard::from_bytes::<Envelope>(&body) {
        Ok(envelope) => {
            let _ = tx.send(ControlEvent::Peer(Box::new(envelope)));
            StatusCode::NO_CONTENT
        }
        Err(error) => {
            log::warn!(error:%; "peer message decoding failed");
            StatusCode::BAD_REQUEST
        }
    }
}
