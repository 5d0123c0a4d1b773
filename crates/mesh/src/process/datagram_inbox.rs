//! Receives the datagrams of other nodes.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

use super::ControlEvent;

/// Size of the receive buffer; longer datagrams are truncated.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// Passes datagrams to the control thread until the process ends.
pub(crate) async fn read_datagrams(socket: Rc<UdpSocket>, tx: UnboundedSender<ControlEvent>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                let _ = tx.send(ControlEvent::Datagram(bytes, Instant::now()));
            }
            // An ICMP error for an earlier send, such as a peer's closed port, is reported here.
            Err(error) => log::debug!(error:%; "receiving a datagram failed"),
        }
    }
}
