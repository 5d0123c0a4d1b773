//! A large request body that has not been read yet, or not to its end.
//!
//! It stays with its sender until there is room for it. It is then either read whole, at the node
//! beside the upstream, or passed on as it arrives.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use firspindle_core::connection::SenderMeter;
use hyper::body::{Body, Incoming};
use tokio::time::Sleep;

use super::{BodyFault, RoomGuard};

/// Bytes of a body that are still read after its request was refused, so that the sender reads the
/// refusal before its connection is closed.
const DRAINED_BYTES: usize = 64 * 1024;

/// Time limit for that.
const DRAIN_TIME: Duration = Duration::from_secs(1);

struct UploadState {
    /// What was read and not passed on.
    prefix: Bytes,
    rest: Option<Incoming>,
    /// Bytes received, the prefix included.
    received: u64,
    meter: SenderMeter,
    /// When the receiver last stopped to read.
    paused_at: Option<Instant>,
    sleep: Option<Pin<Box<Sleep>>>,
    /// The body once it was read whole, with the memory that it takes.
    whole: Option<(Bytes, RoomGuard)>,
}

/// A large request body that has not been read yet, or not to its end.
pub struct UploadBody {
    /// Length in bytes, if its sender named it.
    pub length: Option<u64>,
    /// Most bytes that it may have.
    limit: u64,
    state: RefCell<UploadState>,
    /// Whether a part of it was passed on.
    taken: Cell<bool>,
    ended: Cell<bool>,
    aborted: Cell<bool>,
    fault: Cell<Option<BodyFault>>,
}

impl std::fmt::Debug for UploadBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UploadBody").field("length", &self.length).finish_non_exhaustive()
    }
}

impl UploadBody {
    /// A body of which nothing was read.
    pub fn new(body: Incoming, limit: u64) -> Self {
        let state = UploadState {
            prefix: Bytes::new(),
            received: 0,
            meter: SenderMeter::new(Instant::now()),
            paused_at: None,
            sleep: None,
            whole: None,
            rest: None,
        };
        Self {
            length: body.size_hint().exact(),
            limit,
            state: RefCell::new(UploadState { rest: Some(body), ..state }),
            taken: Cell::new(false),
            ended: Cell::new(false),
            aborted: Cell::new(false),
            fault: Cell::new(None),
        }
    }

    /// Whether the request can still be sent: nothing of its body was passed on, or it is held whole.
    pub fn is_available(&self) -> bool {
        self.whole().is_some() || (!self.taken.get() && self.fault.get().is_none())
    }

    /// Whether a part of the body was passed on.
    pub fn is_taken(&self) -> bool {
        self.taken.get()
    }

    /// Why the body did not arrive whole.
    pub fn fault(&self) -> Option<BodyFault> {
        self.fault.get()
    }

    /// The body, if it was read whole.
    pub fn whole(&self) -> Option<Bytes> {
        self.state.borrow().whole.as_ref().map(|whole| whole.0.clone())
    }

    /// Ends the passing on: the receiver must not take the body for complete.
    pub fn abort(&self) {
        self.aborted.set(true);
    }

    /// Reads until at least `bytes` are there or the body has ended; returns the body in the second
    /// case.
    ///
    /// # Errors
    ///
    /// If the body does not arrive whole.
    pub async fn read_prefix(&self, bytes: usize) -> Result<Option<Bytes>, BodyFault> {
        let mut read = BytesMut::new();
        while read.len() <= bytes {
            let Some(data) = poll_fn(|cx| self.poll_received(cx)).await else {
                return Ok(Some(read.freeze()));
            };
            read.extend_from_slice(&data?);
        }
        self.state.borrow_mut().prefix = read.freeze();
        Ok(None)
    }

    /// Reads the body whole into memory that is reserved for it, and keeps both.
    ///
    /// # Errors
    ///
    /// If the body does not arrive whole.
    pub async fn read_whole(&self, guard: RoomGuard) -> Result<Bytes, BodyFault> {
        let length = self.length.and_then(|length| usize::try_from(length).ok());
        let mut read = BytesMut::with_capacity(length.unwrap_or(0));
        while let Some(data) = poll_fn(|cx| self.poll_data(cx)).await {
            let data = data?;
            if !guard.arrived(data.len()) {
                self.fault.set(Some(BodyFault::NoMemory));
                return Err(BodyFault::NoMemory);
            }
            read.extend_from_slice(&data);
        }
        guard.complete();
        let read = read.freeze();
        self.state.borrow_mut().whole = Some((read.clone(), guard));
        Ok(read)
    }

    /// Reads a little more of a body whose request was refused, and gives the rest up, which closes the
    /// connection. Returns whether anything was left to read.
    pub fn drain(self: Rc<Self>) -> bool {
        self.abort();
        let is_read = self.state.borrow().rest.as_ref().is_none_or(Body::is_end_stream);
        if self.ended.get() || is_read {
            return false;
        }
        tokio::task::spawn_local(async move {
            let mut left = DRAINED_BYTES;
            let drain = async {
                while let Some(Ok(data)) = poll_fn(|cx| self.poll_received(cx)).await {
                    left = left.saturating_sub(data.len());
                    if left == 0 {
                        break;
                    }
                }
            };
            let _ = tokio::time::timeout(DRAIN_TIME, drain).await;
            self.state.borrow_mut().rest = None;
        });
        true
    }

    /// Returns the next part of the body; `None` at its end.
    pub(super) fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        if self.aborted.get() {
            return Poll::Ready(Some(Err(self.fault.get().unwrap_or(BodyFault::CutShort))));
        }
        let mut state = self.state.borrow_mut();
        if !self.taken.replace(true) {
            // The time until there was room is not the sender's, and short bodies may take theirs.
            state.meter = SenderMeter::new(Instant::now());
            state.paused_at = None;
        }
        let prefix = std::mem::take(&mut state.prefix);
        drop(state);
        if !prefix.is_empty() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        self.poll_received(cx)
    }

    fn poll_received(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let polled = self.poll_state(&mut self.state.borrow_mut(), cx);
        match &polled {
            Poll::Ready(Some(Err(fault))) => self.fault.set(Some(*fault)),
            Poll::Ready(None) => self.ended.set(true),
            _ => {}
        }
        polled
    }

    fn poll_state(
        &self,
        state: &mut UploadState,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let now = Instant::now();
        if let Some(paused_at) = state.paused_at.take() {
            state.meter.skip(now - paused_at);
        }
        let Some(body) = &mut state.rest else { return Poll::Ready(None) };
        loop {
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not passed on.
                    let Ok(data) = frame.into_data() else { continue };
                    let bytes = u64::try_from(data.len()).unwrap_or(u64::MAX);
                    state.received += bytes;
                    if state.received > self.limit {
                        return Poll::Ready(Some(Err(BodyFault::TooLarge)));
                    }
                    state.meter.note(bytes, now);
                    state.paused_at = Some(now);
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(BodyFault::CutShort)));
                }
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => break,
            }
        }
        if !self.taken.get() {
            return Poll::Pending;
        }
        let cut_at = state.meter.cut_at().into();
        let sleep = state.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(cut_at)));
        if sleep.deadline() != cut_at {
            sleep.as_mut().reset(cut_at);
        }
        sleep.as_mut().poll(cx).map(|()| Some(Err(BodyFault::TooSlow)))
    }
}
