//! `firspindle story`: prints the log lines about one request in order of time, with the state by
//! which each node decided.

use std::collections::BTreeSet;
use std::fmt;

/// Messages about the state by which a node decides. Before each decision, the newest line of each
/// that the same host logged earlier is shown. No other message may begin with one of these.
const STATE_MESSAGES: [&str; 13] = [
    "manifest in force",
    "plan applied",
    "evacuation in force",
    "evacuation ended",
    "home regions do not match the settings",
    "store was restored from an older copy",
    "reading changed",
    "upstream registered",
    "upstream draining",
    "upstream leave requested",
    "upstream heartbeats timed out",
    "store reachability changed",
    "node started",
];

/// Characters of a message that are printed; longer ones are cut.
const MESSAGE_CHARS: usize = 160;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    /// Timestamp as written: fixed-width and in UTC, so it sorts as text.
    time: Box<str>,
    /// Host as named on the line, else the name of the log.
    host: Box<str>,
    message: Box<str>,
}

/// Log lines about one request, with the state lines that precede them, in order of time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    lines: Vec<LogLine>,
    left_out: u64,
}

impl LogLine {
    /// Parses `TEXT [TIME LEVEL MODULE] MESSAGE`; the last word of `TEXT` is the host's name, if
    /// there is one.
    fn parse(text: &str, log: &str) -> Option<Self> {
        let (before, rest) = text.split_once('[')?;
        let (head, message) = rest.split_once("] ")?;
        let time = head.split_whitespace().next()?;
        let host = before.split_whitespace().last().unwrap_or(log);
        Some(Self { time: time.into(), host: host.into(), message: message.into() })
    }

    fn is_about(&self, id: &str) -> bool {
        let named = |word: &str| word.strip_prefix("request=").is_some_and(|value| value == id);
        self.message.split(' ').any(named)
    }

    /// Returns the state message that the line begins with, if any.
    fn state(&self) -> Option<&'static str> {
        STATE_MESSAGES.into_iter().find(|state| self.message.starts_with(state))
    }

    fn left_out(&self) -> u64 {
        let count = self.message.split(' ').find_map(|word| word.strip_prefix("left_out="));
        count.and_then(|count| count.parse().ok()).unwrap_or(0)
    }
}

impl RequestTimeline {
    /// Reads the timeline of the request with this id from logs given as name and text.
    pub fn read<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let lines = logs.into_iter().flat_map(|(name, text)| {
            text.lines().filter_map(move |line| LogLine::parse(line, name))
        });
        let mut lines: Vec<LogLine> = lines.collect();
        lines.sort();
        let mut shown = BTreeSet::new();
        let mut left_out = 0;
        for (index, line) in lines.iter().enumerate().filter(|(_, line)| line.is_about(id)) {
            shown.insert(index);
            left_out += line.left_out();
            shown.extend(state_before(&lines[..index], &line.host));
        }
        let lines = shown.into_iter().map(|index| lines[index].clone()).collect();
        Self { lines, left_out }
    }

    /// Whether no log line is about the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Returns the index of a host's newest line of each state message among `lines`.
fn state_before(lines: &[LogLine], host: &str) -> Vec<usize> {
    let mut found = Vec::new();
    let mut kinds: Vec<&str> = Vec::new();
    for (index, line) in lines.iter().enumerate().rev().filter(|(_, line)| &*line.host == host) {
        let Some(state) = line.state().filter(|state| !kinds.contains(state)) else { continue };
        kinds.push(state);
        found.push(index);
    }
    found
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for LogLine { time, host, message } in &self.lines {
            let cut = message.char_indices().nth(MESSAGE_CHARS).map_or(message.len(), |(at, _)| at);
            let more = if cut < message.len() { " ..." } else { "" };
            writeln!(f, "{time} {host}: {}{more}", &message[..cut])?;
        }
        if self.left_out > 0 {
            writeln!(f, "({} lines of decisions were left out before these)", self.left_out)?;
        }
        Ok(())
    }
}
