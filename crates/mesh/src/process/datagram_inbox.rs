//! Datagrams of other nodes that wait for the control thread.
//!
//! Load that this answers: a crash of many upstreams, and a relay with a part of a core, which gets more
//! datagrams than it can handle. They wait here, apart from what the store and the upstream say, which goes
//! first. A later datagram makes up for a lost one, so the oldest are dropped when too many wait.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use tokio::net::UdpSocket;

/// Size of the receive buffer: that of the longest datagram, so that none is truncated.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Most datagrams that wait: what a relay of the target size gets in a second.
const MAX_WAITING: usize = 512;

/// Most datagrams that are taken from the socket at once.
const MAX_RECEIVED: usize = 64;

/// A datagram that waits.
#[derive(Debug)]
pub(crate) struct WaitingDatagram {
    pub(crate) bytes: Bytes,
    pub(crate) received_at: Instant,
}

/// Datagrams that wait for the control thread, the oldest first.
pub(crate) struct DatagramInbox {
    socket: Rc<UdpSocket>,
    buffer: Box<[u8]>,
    waiting: VecDeque<WaitingDatagram>,
    dropped: u64,
}

impl DatagramInbox {
    /// Creates an inbox for what arrives at a socket.
    pub(crate) fn new(socket: Rc<UdpSocket>) -> Self {
        let buffer = vec![0; DATAGRAM_BYTES].into_boxed_slice();
        Self { socket, buffer, waiting: VecDeque::new(), dropped: 0 }
    }

    /// Removes the oldest datagram, once there is one. Nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> WaitingDatagram {
        loop {
            self.receive();
            if let Some(datagram) = self.waiting.pop_front() {
                return datagram;
            }
            if let Err(error) = self.socket.readable().await {
                log::debug!(error:%; "waiting for a datagram failed");
            }
        }
    }

    /// Returns how many datagrams wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the number of datagrams that were dropped since the last call.
    pub(crate) const fn take_dropped(&mut self) -> u64 {
        std::mem::replace(&mut self.dropped, 0)
    }

    /// Takes what has arrived from the socket.
    fn receive(&mut self) {
        for _ in 0..MAX_RECEIVED {
            match self.socket.try_recv(&mut self.buffer) {
                Ok(length) => {
                    if self.waiting.len() == MAX_WAITING {
                        self.waiting.pop_front();
                        self.dropped += 1;
                    }
                    let bytes = Bytes::copy_from_slice(&self.buffer[..length]);
                    self.waiting.push_back(WaitingDatagram { bytes, received_at: Instant::now() });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An ICMP error for an earlier send, such as a peer's closed port, is reported here.
                Err(error) => log::debug!(error:%; "receiving a datagram failed"),
            }
        }
    }
}
