//! Answers whose status is none, and heads without end.

use std::net::SocketAddr;
use std::time::Duration;

use firspindle_mesh::connection::{ConnectionPool, OutboundBody, SendError};
use http::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Time after which the test gives an exchange up: half of the shortest deadline of callers.
const PATIENCE: Duration = Duration::from_millis(600);

/// Bytes after which a head ends after all.
const ENDLESS_BYTES: usize = 256 * 1024 * 1024;

/// Writes `head`, then `part` again and again until the connection is closed.
async fn write_answer(stream: TcpStream, head: String, part: String) {
    // The socket may be reported as readable before the request arrives; bytes before it would be no answer.
    loop {
        stream.readable().await.expect("a request arrives");
        match stream.try_read(&mut [0; 4_096]) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => break,
        }
    }
    let parts = part.repeat((64 * 1024 / part.len().max(1)).max(1)).into_bytes();
    let mut bytes = head.into_bytes();
    let mut left = if part.is_empty() { 0 } else { ENDLESS_BYTES };
    loop {
        while !bytes.is_empty() {
            let Ok(()) = stream.writable().await else { return };
            match stream.try_write(&bytes) {
                Ok(length) => drop(bytes.drain(..length)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            tokio::task::yield_now().await;
        }
        if left == 0 {
            return;
        }
        left = left.saturating_sub(parts.len());
        bytes.clone_from(&parts);
    }
}

/// Starts a server on a thread of its own that answers each connection so.
fn start_server(head: &str, part: &str) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    listener.set_nonblocking(true).expect("the socket is valid");
    let (head, part) = (head.to_owned(), part.to_owned());
    std::thread::spawn(move || {
        block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(write_answer(stream, head.clone(), part.clone()));
            }
        });
    });
    address
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

/// Sends a request; returns the status of the answer, `None` if there was none in time.
async fn send(address: SocketAddr) -> Option<Result<u16, SendError>> {
    let pool = ConnectionPool::default();
    let request = Request::get("/a").body(OutboundBody::default()).expect("a valid request");
    let sent = tokio::time::timeout(PATIENCE, pool.send(address, request, Duration::ZERO)).await;
    Some(sent.ok()?.map(|(response, ..)| response.status().as_u16()))
}

/// Guards against a status that is none and is passed on as an answer.
#[test]
fn a_status_of_less_than_100_is_no_answer() {
    for status in ["000", "099", "0", "-1", "20", "1000", "abc"] {
        let address =
            start_server(&format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n"), "");
        assert_eq!(block_on(send(address)), Some(Err(SendError::Broken)), "{status}");
    }
}

/// Guards against heads without end that are read without end: a line, headers, and interim heads.
#[test]
fn a_head_without_end_is_given_up() {
    for (head, part) in [
        ("HTTP/1.1 200 O", "K"),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
        ("", "no answer"),
    ] {
        let address = start_server(head, part);
        assert_eq!(block_on(send(address)), Some(Err(SendError::Broken)), "{part:?}");
    }
}

/// Guards against interim heads without end that take the thread from all other requests.
#[test]
fn others_get_turns_while_interim_heads_arrive() {
    let address = start_server("", "HTTP/1.1 100 Continue\r\n\r\n");
    let longest = block_on(async {
        for _ in 0..6 {
            spawn_local(async move { while send(address).await.is_some() {} });
        }
        let mut longest = Duration::ZERO;
        for _ in 0..200 {
            let due = tokio::time::Instant::now() + Duration::from_millis(1);
            tokio::time::sleep_until(due).await;
            longest = longest.max(due.elapsed());
        }
        longest
    });
    // Half of the shortest deadline, that of calls between upstreams.
    assert!(longest < Duration::from_millis(150), "{longest:?}");
}
