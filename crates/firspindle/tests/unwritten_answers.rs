//! Answers that a server has taken whole but not written when its process stops.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle::connection::serve;
use firspindle_edge::OpenConnections;
use http::Response;
use http_body_util::Full;

/// Length of the answer, beyond what the system takes over for a client that does not read.
const BYTES: usize = 64_000_000;

/// Guards against a process that exits while the answer of a client that reads slowly is in its write buffer: the
/// connection counts as open until the answer is written, also after the server was stopped.
#[test]
fn a_connection_with_an_unwritten_answer_counts_as_open() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("the socket is valid");
    let address = listener.local_addr().expect("it is bound");
    let answer = |_, _| async { Response::new(Full::new(Bytes::from(vec![b'x'; BYTES]))) };
    let connections = OpenConnections::default();
    let stop = serve(&listener, 1, &connections, answer).expect("the server starts");
    let mut stream = TcpStream::connect(address).expect("the server accepts connections");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n").expect("the request is sent");
    let mut part = [0; 1_024];
    let begun = stream.read(&mut part).expect("the answer begins");
    stop();
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(connections.count(), 1, "the answer is not written yet");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the connection ends without a reset");
    assert!(begun + rest.len() >= BYTES, "{} of {BYTES} bytes", begun + rest.len());
    let until = Instant::now() + Duration::from_secs(2);
    while connections.count() > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(connections.count(), 0);
}
