//! Rate at which data really arrives over a link.

/// Bodies whose rates are kept.
const KEPT_RATES: usize = 4;

/// The stated rate over the lowest estimate.
const MAX_SLOWDOWN: u64 = 16;

/// Part of the estimate by which senders exceed it.
const RAISE_DIVISOR: u64 = 16;

/// Rate at which data really arrives over a link, in bytes a second.
///
/// One slow sender does not make the link slow, so the highest of the last rates counts.
#[derive(Debug, Clone)]
pub struct LinkEstimate {
    stated: u64,
    /// Rates of the last bodies, in a ring.
    rates: [u64; KEPT_RATES],
    next: usize,
}

impl LinkEstimate {
    /// A link that has its stated rate, at least 1, until something else is measured.
    pub fn new(stated: u64) -> Self {
        let stated = stated.max(1);
        Self { stated, rates: [stated; KEPT_RATES], next: 0 }
    }

    /// Notes the rate at which data arrived while a body was on the link.
    pub fn note(&mut self, rate: u64) {
        self.rates[self.next] = rate.min(self.stated);
        self.next = (self.next + 1) % KEPT_RATES;
    }

    /// Rate at which data is expected to arrive.
    pub fn rate(&self) -> u64 {
        self.bounded(self.highest())
    }

    /// Rate at which a body may be sent. It is above the estimate, which could not rise again if all
    /// senders kept to it.
    pub fn send_rate(&self) -> u64 {
        let highest = self.highest();
        self.bounded(highest + highest / RAISE_DIVISOR)
    }

    fn highest(&self) -> u64 {
        self.rates.iter().copied().max().unwrap_or(self.stated)
    }

    fn bounded(&self, rate: u64) -> u64 {
        rate.clamp(self.stated.div_ceil(MAX_SLOWDOWN), self.stated)
    }
}
