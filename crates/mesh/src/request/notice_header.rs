//! Header of forwarded requests and of their responses with what the upstream said about itself.

use std::fmt::Write;
use std::str::SplitWhitespace;
use std::time::Duration;

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::request::{
    InstanceHash, QueueForecast, RequestRank, StartForecast, ToldNotice,
};
use firspindle_core::version::{CELLS, CellIndex};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Header of a forwarded request and of its response: what the upstream said about itself.
pub(crate) const NOTICE_HEADER: HeaderName = HeaderName::from_static("firspindle-upstream");

/// Encodes a notice: the instance in hexadecimal, thousandths of a request per second or 0, and
/// milliseconds since when it leaves or `-`. From an upstream's node, the milliseconds until one more
/// request could start follow, by class, and those of a run; in a request, cells and the number of
/// requests for them that were refused. Of a full upstream without a limit there follow `w`, a rank, `=` and
/// the milliseconds until a request of this rank or a later one could start, `l` for one that can only be late, and `r`, those of a run, `/` and
/// the microseconds between two starts; earlier versions ignore these words.
pub(super) fn encode_notice(told: &ToldNotice) -> Option<HeaderValue> {
    let mut text = String::new();
    write_notice(told, &mut text).ok()?;
    HeaderValue::from_str(&text).ok()
}

fn write_notice(told: &ToldNotice, text: &mut String) -> std::fmt::Result {
    let milli = told.limit.map_or(0, UpstreamLimit::milli);
    write!(text, "{:x} {milli} ", told.instance)?;
    match told.leaving_for {
        Some(time) => write!(text, "{}", time.as_millis())?,
        None => text.push('-'),
    }
    if let Some(forecast) = told.forecast {
        for time in forecast.start_in.iter().chain([&forecast.run_time]) {
            write!(text, " {}", time.as_millis())?;
        }
    }
    if let Some(queue) = &told.queue {
        write!(text, " r{}/{}", queue.run_time.as_millis(), queue.spacing.as_micros())?;
        for (letter, rows) in [('w', &queue.start_in), ('l', &queue.late_in)] {
            for (rank, time) in rows {
                write!(text, " {letter}{}={}", rank.number(), time.as_millis())?;
            }
        }
    }
    for (cell, count) in &told.refused {
        write!(text, " {cell}:{count}")?;
    }
    Ok(())
}

/// Takes the notice out of the headers of a request or a response; `None` without a valid one.
pub(super) fn take_notice(headers: &mut HeaderMap) -> Option<ToldNotice> {
    let value = headers.remove(NOTICE_HEADER)?;
    let mut words = value.to_str().ok()?.split_whitespace();
    let instance = InstanceHash::from_str_radix(words.next()?, 16).ok()?;
    let limit = UpstreamLimit::from_milli(words.next()?.parse().ok()?);
    let leaving_for = match words.next()? {
        "-" => None,
        text => Some(parse_ms(text)?),
    };
    let forecast = parse_forecast(&mut words.clone());
    let queue = parse_queue(&words);
    let refused = words.filter_map(parse_refused).collect();
    Some(ToldNotice { instance, limit, leaving_for, forecast, queue, refused })
}

fn parse_queue(words: &SplitWhitespace<'_>) -> Option<QueueForecast> {
    let (run_time, spacing) =
        words.clone().find_map(|word| word.strip_prefix('r')?.split_once('/'))?;
    let rows = |letter: char| {
        let row = |word: &str| {
            let (rank, time) = word.strip_prefix(letter)?.split_once('=')?;
            Some((RequestRank::from_number(rank.parse().ok()?), parse_ms(time)?))
        };
        let mut rows: Vec<_> = words.clone().filter_map(row).collect();
        rows.sort_unstable();
        rows.dedup_by_key(|row| row.0);
        rows
    };
    let (start_in, late_in) = (rows('w'), rows('l'));
    let spacing = Duration::from_micros(spacing.parse::<u32>().ok()?.into());
    Some(QueueForecast { start_in, late_in, run_time: parse_ms(run_time)?, spacing })
}

fn parse_ms(text: &str) -> Option<Duration> {
    text.parse::<u32>().ok().map(|ms| Duration::from_millis(ms.into()))
}

fn parse_forecast(words: &mut SplitWhitespace<'_>) -> Option<StartForecast> {
    let mut time = || words.next().and_then(parse_ms);
    Some(StartForecast { start_in: [time()?, time()?, time()?], run_time: time()? })
}

fn parse_refused(word: &str) -> Option<(CellIndex, u32)> {
    let (cell, count) = word.split_once(':')?;
    let cell = cell.parse().ok().filter(|cell| *cell < CELLS)?;
    Some((cell, count.parse().ok()?))
}
