//! Distribution of committed entries over a chain of followers behind a root voter.

use std::time::Duration;

use bronzespoke_consensus::feed::{Config, Content, Follower, Input, Output, Request, Response, Source};
use bronzespoke_consensus::{log, membership, message, snapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(index: u64) -> log::Entry {
    let position = log::Position { term: 1, index };
    log::Entry {
        position,
        payload: log::Payload::Command(vec![7; 12].into()),
    }
}

fn snapshot_at(index: u64, bytes: usize) -> snapshot::Snapshot {
    let position = log::Position { term: 1, index };
    snapshot::Snapshot {
        position,
        membership: membership::Membership::default(),
        data: vec![index as u8; bytes].into(),
    }
}

/// A follower with its own clock offset, and the source that serves the next hop.
struct Hop {
    follower: Follower,
    source: Source,
    offset: Duration,
    applied: u64,
}

impl Hop {
    fn new(seed: u64, offset: Duration) -> Self {
        let mut follower = Follower::new(Config::new(seed), Duration::ZERO);
        follower.step(Duration::ZERO, Input::Relay { to: Some(1) }, &mut Vec::new());
        Self {
            follower,
            source: Source::new(2_000),
            offset,
            applied: 0,
        }
    }

    fn step(&mut self, now: Duration, input: Input) -> Option<Request> {
        let mut out = Vec::new();
        self.follower.step(now + self.offset, input, &mut out);
        let mut sent = None;
        for output in out {
            match output {
                Output::Apply(entry) => {
                    assert_eq!(
                        entry.position.index,
                        self.applied + 1,
                        "applied entries are consecutive"
                    );
                    self.applied += 1;
                    self.source.push(&entry);
                }
                Output::Install(snapshot) => {
                    assert!(
                        snapshot.position.index > self.applied,
                        "the state never goes back"
                    );
                    self.applied = snapshot.position.index;
                    self.source.install(snapshot);
                }
                Output::Send { request, .. } => sent = Some(request),
                Output::TimedOut { .. } => {}
            }
        }
        if self.source.needs_snapshot() {
            self.source.install(snapshot_at(self.applied, 150_000));
        }
        sent
    }
}

/// Guards against a follower that overstates its freshness or whose state goes back. Messages over two hops are lost,
/// delayed and duplicated, and the clocks have different offsets.
#[test]
fn freshness_is_never_overstated() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut root = Source::new(2_000);
        let mut hops = [Hop::new(seed, ms(7_000)), Hop::new(seed + 1, ms(90_000))];
        let mut committed: Vec<Duration> = Vec::new();
        let mut requests: Vec<(Duration, usize, Request)> = Vec::new();
        let mut responses: Vec<(Duration, usize, Response)> = Vec::new();
        let mut before = [None, None];
        for tick in 0..4_000 {
            let now = ms(tick * 5);
            if rng.random_bool(0.1) {
                committed.push(now);
                root.push(&entry(committed.len() as u64));
                if root.needs_snapshot() {
                    root.install(snapshot_at(committed.len() as u64, 150_000));
                }
            }
            for (_, hop, response) in responses
                .extract_if(.., |response| response.0 <= now)
                .collect::<Vec<_>>()
            {
                let next = hops[hop].step(now, Input::Receive { from: 1, response });
                requests.extend(next.map(|request| (now + ms(rng.random_range(1..60)), hop, request)));
            }
            for (hop, state) in hops.iter_mut().enumerate() {
                let next = state.step(now, Input::Tick);
                requests.extend(next.map(|request| (now + ms(rng.random_range(1..60)), hop, request)));
            }
            for (_, hop, request) in requests
                .extract_if(.., |request| request.0 <= now)
                .collect::<Vec<_>>()
            {
                // The first hop polls the root, whose freshness is the current time. The second hop polls the first.
                let response = match hop {
                    0 => root.respond(now, Some(now), &request),
                    _ => hops[0]
                        .source
                        .respond(now + hops[0].offset, hops[0].follower.freshness(), &request),
                };
                if rng.random_bool(0.9) {
                    responses.push((now + ms(rng.random_range(1..60)), hop, response.clone()));
                }
                if rng.random_bool(0.1) {
                    responses.push((now + ms(rng.random_range(1..3_000)), hop, response));
                }
            }
            for (hop, newest) in hops.iter().zip(&mut before) {
                let freshness = hop.follower.freshness();
                assert!(freshness >= *newest, "seed {seed}: the freshness never goes back");
                *newest = freshness;
                let Some(freshness) = freshness.and_then(|freshness| freshness.checked_sub(hop.offset))
                else {
                    continue;
                };
                let needed = committed.partition_point(|at| *at < freshness) as u64;
                assert!(
                    hop.applied >= needed,
                    "seed {seed}: {} of {needed} at {freshness:?}",
                    hop.applied
                );
            }
        }
        for hop in &hops {
            assert!(
                hop.applied + 100 > committed.len() as u64,
                "seed {seed}: {} applied",
                hop.applied
            );
        }
    }
}

/// Guards against a lagging relay that reverts the state of a follower, and against unsolicited responses.
#[test]
fn older_snapshot_is_refused() {
    let mut follower = Follower::new(Config::new(1), ms(0));
    let mut out = Vec::new();
    follower.step(ms(0), Input::Relay { to: Some(1) }, &mut out);
    let mut source = Source::new(1_000);
    source.install(snapshot_at(50, 10));
    let mut behind = Source::new(1_000);
    behind.install(snapshot_at(20, 10));
    for (millis, source) in [(1, &source), (600, &behind)] {
        let Some(Output::Send { request, .. }) = out.pop() else {
            panic!("a request is sent: {out:?}")
        };
        // The response to the first request of an empty follower, as a faulty relay would send it.
        let empty = Request {
            after: 0,
            partial: None,
            ..request
        };
        let response = source.respond(ms(millis), Some(ms(millis)), &empty);
        follower.step(
            ms(millis),
            Input::Receive {
                from: 1,
                response: response.clone(),
            },
            &mut out,
        );
        follower.step(ms(millis), Input::Receive { from: 1, response }, &mut out);
        follower.step(ms(millis + 550), Input::Tick, &mut out);
        assert_eq!(follower.applied(), 50);
    }
    let installs = out
        .iter()
        .filter(|output| matches!(output, Output::Install(_)))
        .count();
    assert_eq!(installs, 1);
}

/// Guards against a follower that makes no progress on a link where all responses arrive after the time-out.
#[test]
fn late_responses_are_accepted() {
    let mut source = Source::new(1_000_000);
    (1..=10_000).for_each(|index| source.push(&entry(index)));
    let mut follower = Follower::new(Config::new(1), ms(0));
    let mut responses = Vec::new();
    let mut input = Input::Relay { to: Some(1) };
    let mut requests = 0;
    for now in (0..12_000).map(ms) {
        let mut out = Vec::new();
        follower.step(now, input, &mut out);
        for output in out {
            if let Output::Send { request, .. } = output {
                requests += 1;
                responses.push((
                    now + ms(900),
                    source.respond(now + ms(450), Some(now + ms(450)), &request),
                ));
            }
        }
        let due = responses.first().is_some_and(|(at, _)| *at <= now);
        input = if due {
            Input::Receive {
                from: 1,
                response: responses.remove(0).1,
            }
        } else {
            Input::Tick
        };
    }
    assert_eq!(follower.applied(), 10_000);
    assert!(
        follower.freshness() >= Some(ms(9_000)),
        "{:?}",
        follower.freshness()
    );
    assert!(
        requests < 40,
        "a slow link is not filled with requests: {requests}"
    );
}

/// Guards against messages that do not survive a round trip through the encoding, and against needlessly large entries.
#[test]
fn messages_round_trip_in_postcard() {
    let items: Vec<_> = (1..=10)
        .map(|index| message::Item::from_entry(entry(index)))
        .collect();
    let response = Response {
        token: 1,
        through: 10,
        age: Some(5),
        content: Content::Entries(items),
    };
    let bytes = postcard::to_stdvec(&response).expect("plain data is encoded");
    assert_eq!(postcard::from_bytes::<Response>(&bytes), Ok(response));
    assert!(
        bytes.len() <= 10 * 15 + 8,
        "12 bytes, a tag, a term and a length each: {}",
        bytes.len()
    );
    let entry = entry(300);
    assert_eq!(message::Item::from_entry(entry.clone()).into_entry(300), entry);
}
