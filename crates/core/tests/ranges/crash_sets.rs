//! Requests that crash their upstreams seconds after they ended there.

use std::fmt::Write;
use std::time::{Duration, Instant};

use firspindle_core::request::{CRASH_DELAY, ClearedRequest, CrashSet, CrashSets, EndedRuns};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// The request that crashes upstreams.
const CRASHING: u128 = 0;

/// A harmless request that callers send beside it each time.
const COMPANION: u128 = 1;

/// Time between two tries of the crashing request, and for which a crashed upstream is down.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for which each request runs.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Time after the third crash from which on arrivals count as late, and how many may be.
const CONTACT: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

/// Where a harmless request goes that comes with the crashing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Companion {
    None,
    /// To any upstream.
    Anywhere,
    /// To the same one, as it has the same key.
    Beside,
}

/// What a play is to look like.
#[derive(Debug, Clone, Copy)]
struct Scene {
    /// Time from the answer to the crash.
    delay: Duration,
    upstreams: usize,
    /// Requests a second at each upstream beside the crashing one.
    rate: u32,
    /// Number of different requests among them.
    others: u128,
    companion: Companion,
    tries: u32,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    crashes: usize,
    /// Arrivals of the crashing request that the platform's rule counts.
    late: usize,
    /// Requests refused that crash nothing.
    refused: usize,
}

struct ModelUpstream {
    instance: u64,
    runs: EndedRuns,
    up_at: Instant,
    crash_at: Option<Instant>,
}

/// A generator of choices.
struct Choices(u64);

impl Choices {
    fn below(&mut self, limit: u128) -> u128 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        u128::from(self.0 >> 33) % limit
    }
}

struct Play {
    scene: Scene,
    choices: Choices,
    sets: CrashSets,
    upstreams: Vec<ModelUpstream>,
    next_instance: u64,
    third_crash: Option<Instant>,
    outcome: Outcome,
}

impl Play {
    fn crash_due(&mut self, now: Instant) {
        for row in &mut self.upstreams {
            let Some(crashed_at) = row.crash_at.take_if(|at| *at <= now) else { continue };
            let suspects = row.runs.take_suspects(Some(crashed_at), now);
            self.sets.note_crash(row.instance, &suspects, now);
            self.outcome.crashes += 1;
            if self.outcome.crashes == 3 {
                self.third_crash = Some(now);
            }
            (row.instance, row.up_at) = (self.next_instance, now + PAUSE);
            self.next_instance += 1;
        }
    }

    /// Sends a request to an upstream, which answers it [`RUN_TIME`] later; returns whether it ran.
    fn send(&mut self, fingerprint: u128, upstream: usize, now: Instant) -> bool {
        if self.sets.refusal(fingerprint, now).is_some() {
            self.outcome.refused += usize::from(fingerprint != CRASHING);
            return false;
        }
        let row = &mut self.upstreams[upstream];
        if now < row.up_at {
            return false;
        }
        for outlived in row.runs.note_alive(now) {
            self.sets.clear(outlived, now);
        }
        let ended_at = now + RUN_TIME;
        row.runs.note_ended(fingerprint, ended_at);
        if fingerprint == CRASHING {
            row.crash_at.get_or_insert(ended_at + self.scene.delay);
            let late = self.third_crash.is_some_and(|third| now > third + CONTACT);
            self.outcome.late += usize::from(late);
        }
        true
    }

    fn any_upstream(&mut self) -> usize {
        let count = self.upstreams.len() as u128;
        usize::try_from(self.choices.below(count)).expect("an index")
    }
}

fn play(scene: Scene, seed: u64) -> Outcome {
    let start = Instant::now();
    let upstream = |index: usize| ModelUpstream {
        instance: index as u64,
        runs: EndedRuns::default(),
        up_at: start,
        crash_at: None,
    };
    let mut play = Play {
        scene,
        choices: Choices(seed),
        sets: CrashSets::default(),
        upstreams: (0..scene.upstreams).map(upstream).collect(),
        next_instance: scene.upstreams as u64,
        third_crash: None,
        outcome: Outcome::default(),
    };
    let tick = 10 * MS;
    let ticks_per_try = u32::try_from(PAUSE.as_millis() / tick.as_millis()).expect("a number");
    for round in 0..ticks_per_try * scene.tries {
        let now = start + tick * round;
        play.crash_due(now);
        for upstream in 0..scene.upstreams {
            if play.choices.below(100) < u128::from(scene.rate) {
                let other = 2 + play.choices.below(scene.others);
                play.send(other, upstream, now);
            }
        }
        if round % ticks_per_try == ticks_per_try / 2 {
            let at = play.any_upstream();
            play.send(CRASHING, at, now);
            let beside = match scene.companion {
                Companion::None => continue,
                Companion::Anywhere => play.any_upstream(),
                Companion::Beside => at,
            };
            play.send(COMPANION, beside, now);
        }
    }
    play.outcome
}

const DELAYS_MS: [u32; 9] = [0, 100, 160, 240, 300, 400, 600, 1_000, 2_000];

/// Requests a second at an upstream: idle, as reviewed, and as the platform's sheets have it.
const RATES: [u32; 3] = [0, 15, 44];

/// The moments of a crash by the load beside them; others are different requests, as their paths are.
#[test]
fn a_request_that_crashes_upstreams_up_to_two_seconds_after_its_answer_is_refused() {
    let mut text = String::new();
    for rate in RATES {
        for delay_ms in DELAYS_MS {
            let scene = Scene {
                delay: delay_ms * MS,
                upstreams: 4,
                rate,
                others: 60_000,
                companion: Companion::None,
                tries: 20,
            };
            let outcomes: Vec<_> = (0..20).map(|seed| play(scene, seed)).collect();
            let late = outcomes.iter().map(|row| row.late).max().unwrap_or(0);
            let refused: usize = outcomes.iter().map(|row| row.refused).sum();
            writeln!(text, "{rate}/s, {delay_ms} ms: {late} late, {refused} others refused")
                .expect("writing to a string succeeds");
            assert!(late <= ALLOWED && refused == 0, "{text}");
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn only_runs_that_the_upstream_has_not_outlived_are_suspected() {
    let start = Instant::now();
    let mut runs = EndedRuns::default();
    runs.note_ended(10, start);
    runs.note_ended(11, start + 1_000 * MS);
    // An abandoned run, on which the upstream may work until then.
    runs.note_ended(12, start + 4_000 * MS);
    assert_eq!(runs.note_alive(start + CRASH_DELAY.saturating_sub(MS)), [0_u128; 0]);
    assert_eq!(runs.note_alive(start + CRASH_DELAY), [10]);
    runs.note_ended(11, start + 2_000 * MS);
    assert_eq!(runs.clone().take_suspects(None, start + 3_000 * MS), [12, 11]);
    // Its last connection ended so long after the first of them that this one did not end it.
    let mut late = EndedRuns::default();
    late.note_ended(13, start);
    late.note_ended(14, start + 1_000 * MS);
    let last_end = start + CRASH_DELAY + 500 * MS;
    assert_eq!(late.take_suspects(Some(last_end), last_end), [14]);
}

/// Guards against requests refused that end before the same crashes as another, such as those of a caller
/// that always sends both.
#[test]
fn requests_before_the_same_crashes_are_not_refused_until_they_are_told_apart() {
    let now = Instant::now();
    let mut sets = CrashSets::default();
    (1..=8).for_each(|instance| sets.note_crash(instance, &[CRASHING, COMPANION], now));
    assert_eq!(sets.refusal(CRASHING, now), None);
    sets.clear(COMPANION, now);
    assert_eq!(sets.refusal(COMPANION, now), None);
    assert!(sets.refusal(CRASHING, now).is_some());
}

/// Guards against harmless requests that are refused because so many were cleared before.
#[test]
fn a_request_is_cleared_however_many_were_cleared_before() {
    let now = Instant::now();
    let mut sets = CrashSets::default();
    for crash in 0..6 {
        let requests: Vec<_> = (0..250).map(|number| 1_000 * (crash + 1) + number).collect();
        sets.note_crash(u64::try_from(crash).expect("a number"), &requests, now);
        for request in &requests {
            sets.clear(*request, now);
        }
    }
    (10..13).for_each(|crash| sets.note_crash(crash, &[7], now));
    assert!(sets.refusal(7, now).is_some());
    sets.clear(7, now);
    assert_eq!(sets.refusal(7, now), None);
}

/// Guards against a request that counts as suspected because the word that it was cleared came before the crash.
#[test]
fn what_was_cleared_stays_cleared_if_the_crash_is_told_later() {
    let now = Instant::now();
    let mut node = CrashSets::default();
    node.merge_cleared(&ClearedRequest { request: 7, crashes: vec![1, 2, 3] }, now);
    for instance in 1..=3 {
        node.merge_crash(&CrashSet { instance, requests: vec![7] }, now);
    }
    assert_eq!(node.refusal(7, now), None);
    node.note_crash(4, &[7], now);
    assert!(node.suspects(7), "a later crash counts");
}

/// Lets each node tell the others what it knows.
fn exchange(nodes: &mut [CrashSets], now: Instant) {
    let told: Vec<_> =
        nodes.iter().map(|node| (node.told_crashes(now), node.told_cleared(now))).collect();
    for node in nodes {
        for (crashes, cleared) in &told {
            for set in crashes {
                node.merge_crash(set, now);
            }
            for row in cleared {
                node.merge_cleared(row, now);
            }
        }
    }
}

/// Guards against nodes that refuse different requests.
#[test]
fn nodes_that_told_each_other_refuse_the_same() {
    let now = Instant::now();
    let mut nodes = [CrashSets::default(), CrashSets::default(), CrashSets::default()];
    for (node, crash) in [(0, 1_u64), (1, 2), (2, 3)] {
        nodes[node].note_crash(crash, &[CRASHING, 7, 100 + u128::from(crash)], now);
    }
    // A node tells two crashes at a time.
    (0..2).for_each(|_| exchange(&mut nodes, now));
    assert!(nodes.iter().all(|node| node.refusal(CRASHING, now).is_none()), "7 stands beside it");
    nodes[1].clear(7, now);
    exchange(&mut nodes, now);
    let refused = |node: &CrashSets| {
        [CRASHING, 7, 101].map(|fingerprint| node.refusal(fingerprint, now).is_some())
    };
    assert_eq!(nodes.each_ref().map(refused), [[true, false, false]; 3]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against harmless requests that are refused, whatever their number and the load: frequent ones, rare
    /// ones, and one that callers always send beside the one that crashes upstreams.
    #[test]
    fn no_other_request_is_refused(
        delay_ms in 0_u32..2_000,
        upstreams in 1_usize..12,
        rate in 0_u32..100,
        others in 1_u128..2_000,
        companion in prop_oneof![Just(Companion::None), Just(Companion::Anywhere), Just(Companion::Beside)],
        seed in any::<u64>(),
    ) {
        let scene = Scene { delay: delay_ms * MS, upstreams, rate, others, companion, tries: 20 };
        prop_assert_eq!(play(scene, seed).refused, 0);
    }
}
