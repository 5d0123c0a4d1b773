//! Large request bodies that their receiver does not read for a while.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use firspindle_mesh::connection::{ConnectionPool, OutboundBody};
use http::Request;
use socket2::SockRef;

/// Length of the body, beyond what the sockets of both sides hold.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time for which the receiver reads nothing.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Receive buffer of the receiver.
const BUFFER_BYTES: usize = 4 * 1024;

/// Answers a request once it has read its body, of which it reads nothing for [`PAUSE`]. Returns the
/// length of the body.
fn serve_slowly(listener: TcpListener) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        SockRef::from(&listener).set_recv_buffer_size(BUFFER_BYTES).expect("the socket is valid");
        let (mut stream, _) = listener.accept().expect("a connection");
        std::thread::sleep(PAUSE);
        let mut received = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        let head_end = |bytes: &[u8]| bytes.windows(4).position(|part| part == b"\r\n\r\n");
        while head_end(&received).is_none_or(|head| received.len() < head + 4 + BODY_BYTES) {
            match stream.read(&mut buffer) {
                Ok(length @ 1..) => received.extend_from_slice(&buffer[..length]),
                Ok(0) | Err(_) => break,
            }
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let _ = stream.shutdown(Shutdown::Write);
        received.len() - head_end(&received).map_or(0, |head| head + 4)
    })
}

async fn upload(address: SocketAddr) -> Option<u16> {
    let body = OutboundBody::whole(vec![b'x'; BODY_BYTES].into());
    let request = Request::post("/a").header("content-length", BODY_BYTES).body(body);
    let pool = ConnectionPool::default();
    let sent = pool.send(address, request.expect("a valid request"), Duration::ZERO).await;
    sent.ok().map(|(response, ..)| response.status().as_u16())
}

/// Guards against uploads that are cut off because the upstream reads nothing for a while.
#[test]
fn a_body_that_stays_unread_for_a_while_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = serve_slowly(listener);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let tasks = tokio::task::LocalSet::new();
    let status = tasks.block_on(&runtime.expect("a runtime"), upload(address));
    let length = server.join().expect("the server ends");
    assert_eq!((status, length), (Some(200), BODY_BYTES));
}
