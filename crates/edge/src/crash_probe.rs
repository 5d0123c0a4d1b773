//! Detects whether an upstream's process has died, right after one of its connections broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Whether the process that listens at an address is dead or dies within `timeout`. When a process
/// dies, its sockets are closed one after the other, the listening socket first or last; on a busy
/// machine that takes tens of milliseconds.
///
/// A connection that a dying process has not accepted is closed together with its listening
/// socket; one that a live process has not accepted yet stays open.
pub async fn upstream_died(address: SocketAddr, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while let Ok(connected) = tokio::time::timeout_at(deadline, TcpStream::connect(address)).await {
        match connected {
            Ok(stream) => {
                let closed = tokio::time::timeout_at(deadline, stream.readable()).await;
                if closed.is_err() {
                    return false;
                }
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return true,
            Err(_) => {}
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    false
}
