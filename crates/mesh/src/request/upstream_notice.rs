//! What an upstream says about itself in the headers of its answers.

use firspindle_core::connection::UpstreamLimit;
use firspindle_edge::HeaderNames;
use http::{HeaderMap, HeaderName};

/// What an upstream says about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UpstreamNotice {
    /// Limit on the requests that it takes.
    pub(super) limit: LimitNotice,
    /// Whether it leaves.
    pub(super) leaving: bool,
    /// Header with an invalid value, which says nothing.
    pub(super) invalid: Option<&'static str>,
}

/// What an answer says about a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitNotice {
    /// There is none.
    Unlimited,
    /// The upstream takes no more than this.
    Limited(UpstreamLimit),
    /// Nothing.
    Unknown,
}

impl UpstreamNotice {
    /// Reads the headers of an answer.
    pub(super) fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let mut invalid = None;
        let limit = match only_value(headers, &names.limit) {
            Ok(None) => LimitNotice::Unlimited,
            Ok(Some(text)) => {
                UpstreamLimit::parse(text).map_or(LimitNotice::Unknown, LimitNotice::Limited)
            }
            Err(()) => LimitNotice::Unknown,
        };
        if limit == LimitNotice::Unknown {
            invalid = Some("limit");
        }
        let leaving = match only_value(headers, &names.leaving) {
            Ok(None) => false,
            Ok(Some("1")) => true,
            Ok(Some(_)) | Err(()) => {
                invalid = Some("leaving");
                false
            }
        };
        Self { limit, leaving, invalid }
    }
}

/// Returns the value of a header; an error if it occurs twice or is no text.
fn only_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match values.next() {
        Some(_) => Err(()),
        None => value.to_str().map(Some).map_err(|_| ()),
    }
}
