//! Rate at which the receiver of a body takes it.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Rate at which the receiver of a body takes it: its link may be slower than the sender's.
pub(super) struct SendPace {
    /// Bytes a second, at least 1.
    rate: u64,
    next_at: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl SendPace {
    /// A pace of `rate` bytes a second.
    pub(super) fn new(rate: u64) -> Self {
        Self { rate: rate.max(1), next_at: Instant::now(), sleep: None }
    }

    /// Completes once the next part may be sent.
    pub(super) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.next_at {
            return Poll::Ready(());
        }
        let next_at = self.next_at;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(next_at)));
        if sleep.deadline() != next_at {
            sleep.as_mut().reset(next_at);
        }
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(())
    }

    /// Notes that a part was sent. Parts that could have been sent before are not made up for.
    pub(super) fn sent(&mut self, bytes: usize) {
        #[allow(clippy::cast_precision_loss)]
        let time = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.next_at = self.next_at.max(Instant::now()) + time;
    }
}
