//! What an upstream reports of its load in the headers of its answers.

use std::num::NonZeroU32;
use std::time::Duration;

use firspindle_core::connection::LoadReport;
use http::{HeaderMap, HeaderName};
use snafu::Snafu;

/// Range of the pace that counts as one, in percent.
const PACE_RANGE: std::ops::RangeInclusive<u32> = 10..=10_000;

/// Why a header holds no report.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReportError {
    /// The header occurs twice or is no text.
    #[snafu(display("the header occurs twice or is no text"))]
    NoText,
    /// The value does not consist of the expected number of whole numbers, separated by commas.
    #[snafu(display("not a list of whole numbers of the expected length"))]
    NoFigures,
    /// There are no slots, or the pace is out of range.
    #[snafu(display("a figure is out of range"))]
    OutOfRange,
}

/// Reads the load in the header with this name of an answer; `None` if there is none.
///
/// # Errors
///
/// If the value is malformed or out of range.
pub fn read_load(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<LoadReport>, ReportError> {
    let Some(text) = only_value(headers, name)? else { return Ok(None) };
    let figures: Result<Vec<_>, _> = text.split(',').map(|text| figure(text.trim())).collect();
    let (running, waiting, slots, pace) = match figures?[..] {
        [running, waiting, slots] => (running, waiting, slots, None),
        [running, waiting, slots, pace] => (running, waiting, slots, Some(pace)),
        _ => return Err(ReportError::NoFigures),
    };
    let slots = NonZeroU32::new(slots).ok_or(ReportError::OutOfRange)?;
    if pace.is_some_and(|pace| !PACE_RANGE.contains(&pace)) {
        return Err(ReportError::OutOfRange);
    }
    let pace_percent = pace.and_then(NonZeroU32::new);
    Ok(Some(LoadReport { running, waiting, slots, pace_percent }))
}

/// Reads the time for which an upstream stays cold; `None` without the header.
///
/// # Errors
///
/// If the value is no whole number of milliseconds.
pub fn read_cold_time(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<Duration>, ReportError> {
    let Some(text) = only_value(headers, name)? else { return Ok(None) };
    Ok(Some(Duration::from_millis(u64::from(figure(text.trim())?))))
}

/// Parses digits only: the standard parser accepts a sign too.
fn figure(text: &str) -> Result<u32, ReportError> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits).ok_or(ReportError::NoFigures)
}

/// Returns the value of a header; `None` without it.
fn only_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, ReportError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match values.next() {
        Some(_) => Err(ReportError::NoText),
        None => value.to_str().map(Some).map_err(|_| ReportError::NoText),
    }
}
