//! What an upstream says about itself in the headers of its answers.

use firspindle_core::connection::UpstreamLimit;
use http::{HeaderMap, HeaderName};

/// What an upstream says about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Limit on the requests that it takes.
    pub limit: LimitNotice,
    /// Whether it leaves.
    pub leaving: bool,
    /// Header with an invalid value, which says nothing.
    pub invalid: Option<&'static str>,
}

/// What an answer says about a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// There is none.
    Unlimited,
    /// The upstream takes no more than this.
    Limited(UpstreamLimit),
    /// Nothing.
    Unknown,
}

impl UpstreamNotice {
    /// Reads the headers with these names of an answer.
    pub fn read(headers: &HeaderMap, limit: &HeaderName, leaving: &HeaderName) -> Self {
        let mut invalid = None;
        let limit = match only_value(headers, limit) {
            Ok(None) => LimitNotice::Unlimited,
            Ok(Some(text)) => {
                UpstreamLimit::parse(text).map_or(LimitNotice::Unknown, LimitNotice::Limited)
            }
            Err(()) => LimitNotice::Unknown,
        };
        if limit == LimitNotice::Unknown {
            invalid = Some("limit");
        }
        let leaving = match only_value(headers, leaving) {
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
