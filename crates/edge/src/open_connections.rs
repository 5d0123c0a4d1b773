//! Connections that a server has accepted, and their orderly end.
//!
//! An HTTP library drops the body of an answer when it has taken the last part into its write buffer. What
//! shows that the answer was written is the end of its connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time between checks for open connections while they close.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Most bytes that are read from a connection after its last answer.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Time for which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of open connections, shared by the servers of a process.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(OpenConnections);

impl OpenConnections {
    /// Counts a connection that was accepted.
    pub fn enter(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Returns how many connections are open.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Blocks until no connection is open, until `deadline` at most, and logs how many are left then. The
    /// servers must have been told to close theirs.
    pub fn wait_until_closed(&self, deadline: Instant) {
        while self.count() > 0 && Instant::now() < deadline {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        if self.count() > 0 {
            log::warn!(connections = self.count(); "answers not written before the exit");
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Ends the own side of a connection and reads what the client still sends, within limits: the system resets
/// a connection that is closed with unread bytes, and drops what it has not sent of an answer.
pub async fn discard_unread(stream: &mut TcpStream) {
    let mut buffer = [0; 4_096];
    if stream.try_read(&mut buffer).map_or(true, |length| length == 0) {
        return;
    }
    let discard = async {
        stream.shutdown().await?;
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                length => left = left.saturating_sub(length),
            }
        }
        std::io::Result::Ok(())
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}
