//! A request after routing, and the metadata of it that nodes send each other.

use std::rc::Rc;
use std::time::Instant;

use firspindle_core::request::{RequestRank, SlotClaim, ToldNotice};
use firspindle_core::version::{CellIndex, PriorityClass, RequestKind, RouteId};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

use super::notice_header::take_notice;
use super::response_step::strip_hop_by_hop_headers;
use super::{RequestBody, RequestProgress, TrafficContext};

/// Header of a forwarded request with the routing result of the entry node.
pub(crate) const METADATA_HEADER: HeaderName = HeaderName::from_static("firspindle-facts");

/// Header of a response between nodes: whether the request may have run.
pub(crate) const VERDICT_HEADER: HeaderName = HeaderName::from_static("firspindle-verdict");

/// Header of a response between nodes: why the request did not run.
pub(crate) const REASON_HEADER: HeaderName = HeaderName::from_static("firspindle-reason");

/// Header of a response between nodes: milliseconds from the arrival of the request at the owner
/// to this response.
pub(crate) const OWNER_TIME_HEADER: HeaderName = HeaderName::from_static("firspindle-owner-ms");

/// Longest time before its arrival at which a forwarded request counts as first tried, in milliseconds.
const MAX_TRIED_MS: u32 = 10_000;

/// A request whose service and deadlines are known.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers for the upstream, without those that the owner sets.
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) cell: Option<CellIndex>,
    pub(crate) kind: RequestKind,
    pub(crate) class: PriorityClass,
    pub(crate) rank: RequestRank,
    pub(crate) route_id: RouteId,
    /// Regions that the request may reach, sorted; empty if it may reach any. Only the entry node, which
    /// chooses the owner, knows them.
    pub(crate) homes: Vec<Box<str>>,
    /// When the caller first sent the request, as far as that is known; at the latest its arrival.
    pub(crate) first_try_at: Instant,
    /// Whether the caller has tried before.
    pub(crate) returned: bool,
    /// Service of the host where the request originated.
    pub(crate) caller_service: Box<str>,
    /// Time after which the caller no longer needs the response.
    pub(crate) deadline: Instant,
    /// Time until which the request may wait for an available owner.
    pub(crate) owner_wait_until: Instant,
    /// Time by which the response meets the route's latency objective.
    pub(crate) objective_at: Instant,
    /// Whether the response leaves over this host's link, to another node.
    pub(crate) over_link: bool,
    /// What the node that forwarded the request knows of the upstream.
    pub(crate) told: Option<ToldNotice>,
    /// How far this node has got with the request.
    pub(crate) progress: Rc<RequestProgress>,
}

impl RoutedRequest {
    /// The request as a claim for a slot, from a node at which it arrived at `arrived`.
    pub(crate) fn slot_claim(&self, arrived: Instant) -> SlotClaim {
        SlotClaim {
            rank: self.rank,
            route: self.route_id,
            arrived,
            returned_from: self.returned.then_some(self.first_try_at),
            objective_at: self.objective_at,
            deadline: self.deadline,
        }
    }

    /// A request that another node forwarded, or for which it asks for room.
    pub(super) fn forwarded(
        context: &TrafficContext,
        head: http::request::Parts,
        metadata: RequestMetadata,
        body: RequestBody,
        progress: Rc<RequestProgress>,
    ) -> Self {
        let mut headers = head.headers;
        headers.remove(METADATA_HEADER);
        let told = take_notice(&mut headers);
        strip_hop_by_hop_headers(&mut headers);
        let id = headers.get(&context.headers.request_id).and_then(|value| value.to_str().ok());
        let id: Box<str> = id.unwrap_or_default().into();
        progress.identify(&id);
        Self {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            id,
            service: metadata.service,
            cell: metadata.cell,
            kind: metadata.kind,
            class: metadata.class,
            rank: metadata.rank,
            route_id: metadata.route_id,
            homes: Vec::new(),
            first_try_at: metadata.first_try_at,
            returned: metadata.returned,
            caller_service: metadata.caller_service,
            deadline: metadata.deadline,
            owner_wait_until: metadata.owner_wait_until,
            objective_at: metadata.objective_at,
            over_link: true,
            told,
            progress,
        }
    }

    /// Encodes the metadata for another node. Times are sent as milliseconds left. `None` if the
    /// text is not a valid header value.
    pub(crate) fn metadata(&self, now: Instant) -> Option<HeaderValue> {
        let left = |at: Instant| at.saturating_duration_since(now).as_millis();
        let kind = match self.kind {
            RequestKind::Idempotent => 'i',
            RequestKind::NonIdempotent => 'n',
            RequestKind::Download => 'd',
            RequestKind::Upload => 'u',
        };
        let cell = self.cell.map_or(String::from("-"), |cell| cell.to_string());
        let class = self.class as u8;
        let (service, caller) = (&self.service, &self.caller_service);
        let (deadline, owner_wait, objective) =
            (left(self.deadline), left(self.owner_wait_until), left(self.objective_at));
        let tried = now.saturating_duration_since(self.first_try_at).as_millis();
        let (rank, route, returned) = (self.rank.number(), self.route_id, u8::from(self.returned));
        let text = format!(
            "{service} {caller} {cell} {kind} {class} {deadline} {owner_wait} {objective} {rank} \
             {route} {tried} {returned}"
        );
        HeaderValue::from_str(&text).ok()
    }
}

/// Metadata of a request that another node forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestMetadata {
    pub(crate) service: Box<str>,
    pub(crate) caller_service: Box<str>,
    pub(crate) cell: Option<CellIndex>,
    pub(crate) kind: RequestKind,
    pub(crate) class: PriorityClass,
    pub(crate) rank: RequestRank,
    pub(crate) route_id: RouteId,
    pub(crate) first_try_at: Instant,
    pub(crate) returned: bool,
    pub(crate) deadline: Instant,
    pub(crate) owner_wait_until: Instant,
    pub(crate) objective_at: Instant,
}

impl RequestMetadata {
    /// Parses a [`METADATA_HEADER`]; times are counted from `now`.
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
            // A kind that only a later version knows is treated as the one that allows least.
            _ => RequestKind::Upload,
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
        let (deadline, owner_wait_until, objective_at) = (time()?, time()?, time()?);
        // Earlier versions do not send the rest.
        let mut number = || words.next().and_then(|word| word.parse::<u32>().ok());
        let rank = number().unwrap_or(class as u32 + 1);
        let route_id = number().unwrap_or(0);
        let tried = number().unwrap_or(0).min(MAX_TRIED_MS);
        let tried = std::time::Duration::from_millis(tried.into());
        let returned = number() == Some(1);
        Some(Self {
            service,
            caller_service,
            cell,
            kind,
            class,
            rank: RequestRank::from_number(rank),
            route_id,
            first_try_at: now.checked_sub(tried).unwrap_or(now),
            returned,
            deadline,
            owner_wait_until,
            objective_at,
        })
    }
}
