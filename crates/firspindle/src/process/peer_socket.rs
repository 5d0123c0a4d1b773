//! Messages between nodes over nng: each node receives on a pull socket and sends on a push socket
//! for each peer.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use firspindle_core::connection::Envelope;
use nng::options::{Options, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};

use super::{ControlEvent, MetricsSet};

/// Messages to a peer that are buffered while they cannot be sent; further ones are dropped.
const SEND_BUFFER_MESSAGES: i32 = 64;

/// Size above which a received message is refused.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Time after which an unused connection is closed, and time between checks for such connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sockets for sending, one for each peer that was sent a message recently.
#[derive(Debug)]
pub struct PeerSocket {
    metrics: Arc<MetricsSet>,
    /// Sorted by address.
    connections: Vec<PeerConnection>,
    sweep_at: Instant,
}

#[derive(Debug)]
struct PeerConnection {
    address: Box<str>,
    socket: Socket,
    used_at: Instant,
}

impl PeerSocket {
    /// Creates a sender without connections.
    pub fn new(metrics: Arc<MetricsSet>) -> Self {
        Self { metrics, connections: Vec::new(), sweep_at: Instant::now() + IDLE_TIMEOUT }
    }

    /// Sends a message without blocking; it is dropped if it cannot be sent or buffered at once.
    pub fn send(&mut self, address: &str, envelope: &Envelope) {
        let Ok(bytes) = postcard::to_stdvec(envelope) else { return };
        self.metrics.messages.inc();
        self.metrics.message_bytes.inc_by(bytes.len() as u64);
        let now = Instant::now();
        self.close_idle(now);
        match self.connection(address, now) {
            Ok(connection) => {
                connection.used_at = now;
                if let Err((_, error)) = connection.socket.try_send(nng::Message::from(&bytes[..]))
                {
                    log::debug!(address, error:%; "message to a peer dropped");
                }
            }
            Err(error) => log::warn!(address, error:%; "opening a socket to a peer failed"),
        }
    }

    fn connection(
        &mut self,
        address: &str,
        now: Instant,
    ) -> Result<&mut PeerConnection, nng::Error> {
        let found =
            self.connections.binary_search_by(|connection| (*connection.address).cmp(address));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let socket = Socket::new(Protocol::Push0)?;
                socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
                socket.dial_async(&format!("tcp://{address}"))?;
                let connection = PeerConnection { address: address.into(), socket, used_at: now };
                self.connections.insert(index, connection);
                index
            }
        };
        Ok(&mut self.connections[index])
    }

    fn close_idle(&mut self, now: Instant) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + IDLE_TIMEOUT;
        self.connections.retain(|connection| now.duration_since(connection.used_at) < IDLE_TIMEOUT);
    }
}

/// Starts a thread that passes messages of peers to the control thread.
///
/// # Errors
///
/// An [`nng::Error`] if the address cannot be listened on.
pub fn listen(address: &str, tx: Sender<ControlEvent>) -> Result<(), nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.listen(&format!("tcp://{address}"))?;
    std::thread::spawn(move || {
        while let Ok(message) = socket.recv() {
            match postcard::from_bytes::<Envelope>(&message) {
                Ok(envelope) => {
                    if tx.send(ControlEvent::Peer(Box::new(envelope))).is_err() {
                        return;
                    }
                }
                Err(error) => log::warn!(error:%; "peer message decoding failed"),
            }
        }
    });
    Ok(())
}
