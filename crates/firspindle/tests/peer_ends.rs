//! Sends messages to peers whose processes end all the time, and over connections that go silent.
//!
//! Guards against a sender that ends with its peer: a node once aborted inside its messaging
//! library while it sent to a peer that had just been killed (`docs/incidents/nng-abort.md`).

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use firspindle::process::{ControlEvent, MetricsSet, PeerSocket, listen_for_peers};
use firspindle_core::connection::{Envelope, PeerMessage};
use firspindle_edge::OpenConnections;

/// Peers whose connections end all the time.
const ENDING_PEERS: usize = 400;

/// Time for which messages are sent.
const SEND_TIME: Duration = Duration::from_secs(6);

/// Time within which messages arrive again after a connection fell silent: that of a takeover.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);

/// Greeting of a receiver in the library that nodes used before: protocol 0x51, pull.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Connections that the stand-ins ended, so that the test shows that it tried something.
static ENDED: AtomicU64 = AtomicU64::new(0);

/// Accepts connections and ends each after a few bytes, as a peer does that is killed.
fn run_ending_peer(listener: &TcpListener, stop: &AtomicBool) {
    for (number, stream) in listener.incoming().enumerate() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else { continue };
        std::thread::spawn(move || end_connection(stream, number));
    }
}

fn end_connection(mut stream: TcpStream, number: usize) {
    let _ = stream.write_all(&GREETING);
    let mut bytes = [0; 64];
    for _ in 0..number % 8 {
        let Ok(1..) = stream.read(&mut bytes) else { break };
    }
    // Half of the connections end with unread bytes, which resets them.
    if number.is_multiple_of(2) {
        let _ = stream.shutdown(Shutdown::Both);
    }
    ENDED.fetch_add(1, Ordering::Relaxed);
}

#[test]
fn a_sender_survives_peers_that_end_while_it_sends() {
    let stop = Arc::new(AtomicBool::new(false));
    let mut addresses = Vec::new();
    for _ in 0..ENDING_PEERS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        addresses.push(listener.local_addr().unwrap().to_string());
        let stop = stop.clone();
        std::thread::spawn(move || run_ending_peer(&listener, &stop));
    }
    let socket = PeerSocket::start(Arc::new(MetricsSet::default())).unwrap();
    let until = Instant::now() + SEND_TIME;
    let mut offset = 0;
    while Instant::now() < until {
        for address in &addresses {
            offset += 1;
            let message = PeerMessage::Heartbeat { acked: offset };
            socket.send(address, &Envelope { from: 1, to: 2, next_offset: offset, message });
        }
        std::thread::yield_now();
    }
    stop.store(true, Ordering::Relaxed);
    let ended = ENDED.load(Ordering::Relaxed);
    assert!(ended >= 100, "only {ended} connections ended while messages were sent");
}

/// Forwards connections to a target until it is told to go silent: then the open ones stay open and
/// carry nothing more, while new ones work. Connections of the platform's network do so at times.
struct SilentLink {
    address: SocketAddr,
    /// Number of times that the open connections fell silent.
    silences: Arc<AtomicU64>,
}

impl SilentLink {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let silences = Arc::new(AtomicU64::new(0));
        let counter = silences.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(onward) = TcpStream::connect(target) else { continue };
                let pairs =
                    [(stream.try_clone().unwrap(), onward.try_clone().unwrap()), (onward, stream)];
                for (from, to) in pairs {
                    let silences = counter.clone();
                    std::thread::spawn(move || copy_until_silent(from, to, &silences));
                }
            }
        });
        Self { address, silences }
    }

    fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy_until_silent(mut from: TcpStream, mut to: TcpStream, silences: &AtomicU64) {
    let opened_in = silences.load(Ordering::SeqCst);
    let mut bytes = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        if silences.load(Ordering::SeqCst) != opened_in {
            // Keeps both sockets open without reading or writing.
            std::thread::sleep(Duration::from_secs(60));
            return;
        }
        if to.write_all(&bytes[..length]).is_err() {
            return;
        }
    }
}

fn heartbeat(acked: u64) -> Envelope {
    Envelope { from: 1, to: 2, next_offset: acked, message: PeerMessage::Heartbeat { acked } }
}

/// Returns the number of the next heartbeat that arrives within `limit`.
fn receive(rx: &Receiver<ControlEvent>, limit: Duration) -> Option<u64> {
    match rx.recv_timeout(limit).ok()? {
        ControlEvent::Peer(envelope) => Some(envelope.next_offset),
        _ => None,
    }
}

#[test]
fn messages_arrive_again_after_a_connection_fell_silent() {
    let (tx, rx) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let _listening = listen_for_peers(&listener, &OpenConnections::default(), tx).unwrap();
    let link = SilentLink::start(address);
    let socket = PeerSocket::start(Arc::new(MetricsSet::default())).unwrap();
    socket.send(&link.address.to_string(), &heartbeat(1));
    assert_eq!(receive(&rx, Duration::from_secs(3)), Some(1), "the first message arrives");
    link.silence_open_connections();
    let until = Instant::now() + RECOVERY_LIMIT;
    let mut sent = 1;
    while Instant::now() < until {
        sent += 1;
        socket.send(&link.address.to_string(), &heartbeat(sent));
        if receive(&rx, Duration::from_millis(50)).is_some() {
            return;
        }
    }
    panic!("no message arrived within {RECOVERY_LIMIT:?} on a new connection; {sent} were sent");
}
