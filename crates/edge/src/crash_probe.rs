//! Whether an upstream's process died, asked right after one of its connections broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time between two connections.
const PROBE_GAP: Duration = Duration::from_millis(5);

/// Whether the process at an address is gone or goes within `limit`. A process that dies closes
/// its connections one after the other, its listening socket last or first; on a busy machine
/// that takes tens of milliseconds.
///
/// A connection that a dying process will not accept any more is closed with its listening
/// socket; one that a live process has not looked at stays open.
pub async fn upstream_died(address: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while let Ok(connected) = tokio::time::timeout_at(until, TcpStream::connect(address)).await {
        match connected {
            Ok(stream) => {
                let closed = tokio::time::timeout_at(until, stream.readable()).await;
                if closed.is_err() {
                    return false;
                }
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return true,
            Err(_) => {}
        }
        tokio::time::sleep(PROBE_GAP).await;
    }
    false
}
