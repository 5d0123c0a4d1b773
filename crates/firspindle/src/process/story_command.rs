//! `firspindle story`: what logs tell of one request, in order, with the state it was decided by.

use std::collections::BTreeSet;
use std::fmt;

/// Messages that say by which state a node decided; the newest before a decision is shown.
const STATE_MESSAGES: [&str; 8] = [
    "manifest in force",
    "plan folded",
    "upstream heard",
    "upstream drains",
    "upstream leaves",
    "upstream silent",
    "store answers",
    "node started",
];

/// Longest text of a line of state.
const STATE_CHARS: usize = 160;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    /// Time as written, in the one form that sorts as text.
    time: Box<str>,
    /// Host; the name of its log, unless one log holds those of several.
    host: Box<str>,
    message: Box<str>,
}

/// The story of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    lines: Vec<LogLine>,
    left_out: u64,
}

impl LogLine {
    /// Reads `TEXT [TIME LEVEL MODULE] MESSAGE`; `TEXT` ends with the host's name, if there is
    /// one.
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

    /// The kind of state that the line tells of.
    fn state(&self) -> Option<&'static str> {
        STATE_MESSAGES.into_iter().find(|state| self.message.starts_with(state))
    }

    fn left_out(&self) -> u64 {
        let count = self.message.split(' ').find_map(|word| word.strip_prefix("left_out="));
        count.and_then(|count| count.parse().ok()).unwrap_or(0)
    }
}

impl RequestTimeline {
    /// The story of an id, from logs given as name and text.
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

    /// Whether no log tells of the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Newest line of each kind of state that a host's node told before.
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
            let cut = message.char_indices().nth(STATE_CHARS).map_or(message.len(), |(at, _)| at);
            let more = if cut < message.len() { " ..." } else { "" };
            writeln!(f, "{time} {host}: {}{more}", &message[..cut])?;
        }
        if self.left_out > 0 {
            writeln!(f, "({} lines of decisions were left out before these)", self.left_out)?;
        }
        Ok(())
    }
}
