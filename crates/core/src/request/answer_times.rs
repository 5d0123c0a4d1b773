//! How long requests of a route take to their answer, for a node that is about to end: it accepts what it can
//! answer before.
//!
//! Load that this answers: orders whose work takes seconds and that come late in the grace time. Their deadlines
//! mostly lie beyond it, so a refusal by deadline would turn all orders away, also those that take a tenth of a
//! second.

use std::collections::VecDeque;
use std::time::Duration;

use crate::version::RouteId;

/// Answers of a route that count.
const KEPT_ANSWERS: usize = 64;

/// Answers of a route below which nothing is expected of the next one.
const MIN_ANSWERS: usize = 8;

/// Most routes with times of their own.
const MAX_ROUTES: usize = 256;

/// Times to the last answers, by route.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    rows: Vec<(RouteId, VecDeque<Duration>)>,
}

impl AnswerTimes {
    /// Notes how long a request took to its answer, or how long it was waited for.
    pub fn note(&mut self, route: RouteId, time: Duration) {
        let index = match self.rows.binary_search_by_key(&route, |row| row.0) {
            Ok(index) => index,
            Err(_) if self.rows.len() >= MAX_ROUTES => return,
            Err(index) => {
                self.rows.insert(index, (route, VecDeque::new()));
                index
            }
        };
        let times = &mut self.rows[index].1;
        if times.len() == KEPT_ANSWERS {
            times.pop_front();
        }
        times.push_back(time);
    }

    /// Returns the longest time of the last answers of a route; `None` while there are too few.
    pub fn longest(&self, route: RouteId) -> Option<Duration> {
        let index = self.rows.binary_search_by_key(&route, |row| row.0).ok()?;
        let times = &self.rows[index].1;
        if times.len() < MIN_ANSWERS {
            return None;
        }
        times.iter().max().copied()
    }
}
