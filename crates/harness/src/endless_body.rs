//! Bodies without end: a server that answers with one, and a caller that sends one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Bytes after which a body ends after all, so that a reader without a bound does not fill the
/// machine's memory.
const MAX_SENT_BYTES: u64 = 512 * 1024 * 1024;

/// Data of one chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Time for which a write may wait for the reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A server that answers every request with a body without end.
#[derive(Debug)]
pub struct EndlessServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    sent: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts the server; it runs until the process ends.
    ///
    /// # Panics
    ///
    /// If no port of the loopback address is free.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let sent = Arc::new(AtomicU64::new(0));
        let counter = sent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = counter.clone();
                std::thread::spawn(move || answer(stream, &counter));
            }
        });
        Self { address, sent }
    }

    /// Returns the bytes of bodies that were written so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn answer(mut stream: TcpStream, sent: &AtomicU64) {
    let mut request = [0; 4096];
    if !matches!(stream.read(&mut request), Ok(1..)) {
        return;
    }
    write_endless(&mut stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", sent);
}

/// Sends a request with this head, which ends with the headers, and a body without end; returns the
/// bytes of the body that were written before the receiver closed the connection.
///
/// # Panics
///
/// If nothing listens at the address.
pub fn send_endless_body(address: SocketAddr, head: &str) -> u64 {
    let mut stream = TcpStream::connect(address).expect("the receiver listens");
    let sent = AtomicU64::new(0);
    write_endless(&mut stream, &format!("{head}transfer-encoding: chunked\r\n\r\n"), &sent);
    sent.into_inner()
}

fn write_endless(stream: &mut TcpStream, head: &str, sent: &AtomicU64) {
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', CHUNK_BYTES));
    chunk.extend(b"\r\n");
    let mut written = stream.write_all(head.as_bytes());
    while written.is_ok() && sent.load(Ordering::Relaxed) < MAX_SENT_BYTES {
        written = stream.write_all(&chunk);
        sent.fetch_add(CHUNK_BYTES as u64, Ordering::Relaxed);
    }
}
