//! Connections to other nodes and to the upstream, each for one request at a time.
//!
//! Connections may fall silent without a reset. Each has a bound on unacknowledged bytes and
//! short keep-alive probes, so that a silent one ends by itself; a connection that was left in
//! the middle of an answer is never used again.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpSocket;
use tokio::time::Instant;

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which sent bytes may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between keep-alive probes, and before the first.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection ends.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Time that a connection may take to be usable again after an answer has ended.
const REUSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request over a link.
pub type OutboundRequest = Request<Full<Bytes>>;

/// The head of an answer over a link.
pub type OutboundResponse = Response<Incoming>;

type RequestSender = SendRequest<Full<Bytes>>;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// Nothing listens there.
    Refused,
    /// The request was not sent.
    NotSent,
    /// The connection broke after the request was given to it.
    Broken,
}

struct IdleConnection {
    sender: RequestSender,
    since: Instant,
}

struct PoolRow {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// Connections by address.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    rows: Rc<RefCell<Vec<PoolRow>>>,
}

/// A link whose answer is still to be read; returns to the pool once it was.
pub struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: RequestSender,
}

impl PooledConnection {
    /// The answer was read whole.
    pub fn finish(self) {
        tokio::task::spawn_local(async move {
            let Self { pool, address, mut sender } = self;
            let ready = tokio::time::timeout(REUSE_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.put(address, sender);
            }
        });
    }
}

impl ConnectionPool {
    /// Sends a request on a connection that was idle for less than `idle_limit`, or a new one.
    /// The bool says whether the connection is new.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the request may have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: OutboundRequest,
        idle_limit: Duration,
    ) -> Result<(OutboundResponse, PooledConnection, bool), SendError> {
        let mut request = request;
        while let Some(sender) = self.take(address, idle_limit) {
            match self.send_on(address, sender, request).await {
                Ok((response, connection)) => return Ok((response, connection, false)),
                Err(None) => return Err(SendError::Broken),
                Err(Some(unsent)) => request = *unsent,
            }
        }
        let sender = self.connect(address).await?;
        match self.send_on(address, sender, request).await {
            Ok((response, connection)) => Ok((response, connection, true)),
            Err(None) => Err(SendError::Broken),
            Err(Some(_)) => Err(SendError::NotSent),
        }
    }

    /// Gives the request back if it was not sent.
    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: RequestSender,
        request: OutboundRequest,
    ) -> Result<(OutboundResponse, PooledConnection), Option<Box<OutboundRequest>>> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                Ok((response, PooledConnection { pool: self.clone(), address, sender }))
            }
            Err(mut error) => Err(error.take_message().map(Box::new)),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<RequestSender, SendError> {
        let socket = TcpSocket::new_v4().map_err(|_| SendError::NotSent)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(SendError::NotSent),
        };
        set_socket_options(&stream);
        let (sender, driver) =
            Builder::new().handshake(TokioIo::new(stream)).await.map_err(|_| SendError::NotSent)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!(address:%, error:%; "link ended");
            }
        });
        Ok(sender)
    }

    fn take(&self, address: SocketAddr, idle_limit: Duration) -> Option<RequestSender> {
        let mut rows = self.rows.borrow_mut();
        let index = rows.binary_search_by_key(&address, |row| row.address).ok()?;
        let idle = &mut rows[index].idle;
        idle.retain(|connection| !connection.sender.is_closed());
        let newest = idle.last()?;
        if newest.since.elapsed() > idle_limit {
            return None;
        }
        idle.pop().map(|connection| connection.sender)
    }

    fn put(&self, address: SocketAddr, sender: RequestSender) {
        let mut rows = self.rows.borrow_mut();
        let index = match rows.binary_search_by_key(&address, |row| row.address) {
            Ok(index) => index,
            Err(index) => {
                rows.insert(index, PoolRow { address, idle: Vec::new() });
                index
            }
        };
        let idle = &mut rows[index].idle;
        if idle.len() >= MAX_IDLE_PER_ADDRESS {
            idle.remove(0);
        }
        idle.push(IdleConnection { sender, since: Instant::now() });
    }

    /// Closes connections that were idle for longer than a time.
    pub fn close_idle(&self, idle_limit: Duration) {
        for row in self.rows.borrow_mut().iter_mut() {
            row.idle.retain(|connection| {
                !connection.sender.is_closed() && connection.since.elapsed() <= idle_limit
            });
        }
    }
}

/// Bounds the silence of a connection.
pub(super) fn set_socket_options(stream: &tokio::net::TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = prepared {
        log::warn!(error:%; "socket options not set");
    }
}
