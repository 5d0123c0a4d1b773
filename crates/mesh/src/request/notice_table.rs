//! What upstreams of other hosts said about themselves, as this node knows it from their answers.
//!
//! A node that starts again has forgotten what its upstream said. The nodes that passed on such
//! answers repeat it with each request that they forward, so that it is known before the first of
//! them reaches the upstream.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::version::UpstreamInstance;
use http::{HeaderMap, HeaderName, HeaderValue};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Header of a forwarded request and of its response: what the upstream said about itself.
pub(crate) const NOTICE_HEADER: HeaderName = HeaderName::from_static("firspindle-upstream");

/// Hash of the id and the start of an upstream instance.
type InstanceHash = u64;

/// Returns the hash of an instance.
pub(super) fn hash_instance(instance: &UpstreamInstance) -> InstanceHash {
    xxh3_64_with_seed(instance.id.as_bytes(), instance.born_ms)
}

/// What an upstream said, as one node tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ToldNotice {
    /// Instance that said it.
    pub(super) instance: InstanceHash,
    /// Limit that it named.
    pub(super) limit: Option<UpstreamLimit>,
    /// Time for which the teller has known that it leaves.
    pub(super) leaving_for: Option<Duration>,
}

impl ToldNotice {
    /// Encodes the notice: the instance in hexadecimal, thousandths of a request per second or 0, and
    /// milliseconds or `-`.
    pub(super) fn encode(&self) -> Option<HeaderValue> {
        let milli = self.limit.map_or(0, UpstreamLimit::milli);
        let leaving = self.leaving_for.map(|time| time.as_millis().to_string());
        let leaving = leaving.as_deref().unwrap_or("-");
        HeaderValue::from_str(&format!("{:x} {milli} {leaving}", self.instance)).ok()
    }

    /// Takes the notice out of the headers of a request or a response; `None` without a valid one.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(NOTICE_HEADER)?;
        let mut words = value.to_str().ok()?.split(' ');
        let instance = InstanceHash::from_str_radix(words.next()?, 16).ok()?;
        let limit = UpstreamLimit::from_milli(words.next()?.parse().ok()?);
        let leaving_for = match words.next()? {
            "-" => None,
            text => Some(Duration::from_millis(u64::from(text.parse::<u32>().ok()?))),
        };
        Some(Self { instance, limit, leaving_for })
    }
}

#[derive(Debug, Clone, Copy)]
struct NoticeRow {
    instance: InstanceHash,
    limit: Option<UpstreamLimit>,
    leaving_since: Option<Instant>,
    /// Arrival of the last answer that said so.
    noted_at: Instant,
}

/// What upstreams of other hosts said last, sorted by host. Hosts whose upstreams neither name a limit
/// nor leave have no row.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
    rows: Vec<(Box<str>, NoticeRow)>,
}

impl NoticeTable {
    /// Notes what the response of a host's node told, to a request that was forwarded at `sent_at`;
    /// `answered` says whether it is an answer of the upstream.
    pub(super) fn note(
        &mut self,
        host: &str,
        told: Option<ToldNotice>,
        answered: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let found = self.rows.binary_search_by(|row| (*row.0).cmp(host));
        let Some(told) = told else {
            // A node that has just started may not know yet what its upstream said.
            let outdated = |index: &usize| answered && sent_at >= self.rows[*index].1.noted_at;
            if let Some(index) = found.ok().filter(outdated) {
                self.rows.remove(index);
            }
            return;
        };
        let known = found.ok().map(|index| self.rows[index].1);
        let since = known.filter(|row| row.instance == told.instance);
        let since = since.and_then(|row| row.leaving_since);
        let row = NoticeRow {
            instance: told.instance,
            limit: told.limit,
            leaving_since: since.or(told.leaving_for.map(|_| now)),
            noted_at: now,
        };
        match found {
            Ok(index) => self.rows[index].1 = row,
            Err(index) => self.rows.insert(index, (host.into(), row)),
        }
    }

    /// Returns what to tell the node of a host about its upstream.
    pub(super) fn told(&self, host: &str, now: Instant) -> Option<ToldNotice> {
        let index = self.rows.binary_search_by(|row| (*row.0).cmp(host)).ok()?;
        let row = &self.rows[index].1;
        let leaving_for = row.leaving_since.map(|at| now.saturating_duration_since(at));
        Some(ToldNotice { instance: row.instance, limit: row.limit, leaving_for })
    }
}
