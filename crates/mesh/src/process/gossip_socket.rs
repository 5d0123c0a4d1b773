//! Datagrams between nodes.

use std::rc::Rc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

use super::ControlEvent;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// Passes datagrams on until the process ends.
pub(crate) async fn read_datagrams(socket: Rc<UdpSocket>, tx: UnboundedSender<ControlEvent>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                let _ = tx.send(ControlEvent::Datagram(bytes));
            }
            // A peer's closed port shows up here as an error of an earlier send.
            Err(error) => log::debug!(error:%; "datagram not read"),
        }
    }
}
