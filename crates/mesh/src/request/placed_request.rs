//! A request whose service is known.

use std::time::Instant;

use bytes::Bytes;
use firspindle_core::version::{CellIndex, PriorityClass, RequestKind};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// Header of the facts that the entry node found, between nodes.
pub(crate) const FACTS_HEADER: HeaderName = HeaderName::from_static("firspindle-facts");

/// Header of the verdict on an answer, between nodes.
pub(crate) const VERDICT_HEADER: HeaderName = HeaderName::from_static("firspindle-verdict");

/// Header of the reason why a request did not run, between nodes.
pub(crate) const REASON_HEADER: HeaderName = HeaderName::from_static("firspindle-reason");

/// A request whose service is known.
#[derive(Debug, Clone)]
pub(crate) struct PlacedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers that the upstream gets, but for those that the owner sets.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) cell: Option<CellIndex>,
    pub(crate) kind: RequestKind,
    pub(crate) class: PriorityClass,
    /// Service of the host where the request began.
    pub(crate) caller_service: Box<str>,
    /// Time after which the answer is of no use.
    pub(crate) deadline: Instant,
    /// Time until which it may wait for an owner.
    pub(crate) hold_until: Instant,
    /// Time until which the answer earns its full worth.
    pub(crate) aim_at: Instant,
}

impl PlacedRequest {
    /// Facts for another node; times as milliseconds left.
    pub(crate) fn facts(&self, now: Instant) -> Option<HeaderValue> {
        let left = |at: Instant| at.saturating_duration_since(now).as_millis();
        let kind = match self.kind {
            RequestKind::Idempotent => 'i',
            RequestKind::NonIdempotent => 'n',
            RequestKind::Download => 'd',
        };
        let cell = self.cell.map_or(String::from("-"), |cell| cell.to_string());
        let class = self.class as u8;
        let (service, caller) = (&self.service, &self.caller_service);
        let (deadline, hold, aim) = (left(self.deadline), left(self.hold_until), left(self.aim_at));
        let text = format!("{service} {caller} {cell} {kind} {class} {deadline} {hold} {aim}");
        HeaderValue::from_str(&text).ok()
    }
}

/// Facts that another node sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestFacts {
    pub(crate) service: Box<str>,
    pub(crate) caller_service: Box<str>,
    pub(crate) cell: Option<CellIndex>,
    pub(crate) kind: RequestKind,
    pub(crate) class: PriorityClass,
    pub(crate) deadline: Instant,
    pub(crate) hold_until: Instant,
    pub(crate) aim_at: Instant,
}

impl RequestFacts {
    /// Facts of a header.
    pub(crate) fn parse(text: &str, now: Instant) -> Option<Self> {
        let mut words = text.split(' ');
        let service = words.next()?.into();
        let caller_service = words.next()?.into();
        let cell = match words.next()? {
            "-" => None,
            cell => Some(cell.parse().ok().filter(|cell| *cell < firspindle_core::version::CELLS)?),
        };
        let kind = match words.next()? {
            "i" => RequestKind::Idempotent,
            "d" => RequestKind::Download,
            "n" => RequestKind::NonIdempotent,
            _ => return None,
        };
        let class = match words.next()? {
            "0" => PriorityClass::High,
            "1" => PriorityClass::Normal,
            _ => PriorityClass::Background,
        };
        let mut time = || {
            let left: u32 = words.next()?.parse().ok()?;
            Some(now + std::time::Duration::from_millis(u64::from(left)))
        };
        let (deadline, hold_until, aim_at) = (time()?, time()?, time()?);
        Some(Self { service, caller_service, cell, kind, class, deadline, hold_until, aim_at })
    }
}
