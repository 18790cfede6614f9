//! Followers of the feed: bytes, catch-up and the age of their basis.

use std::time::Duration;

use bronzespoke_consensus::{feed, log};

use super::world::World;
use super::{CHANGE_BYTES, FRAME_BYTES, FRESHNESS, HEADER_BYTES, MISSED_CHANGES, ms, registry};
use crate::measure::{Bound, Row};

/// A follower of the feed and its source over one link.
struct Feed {
    now: Duration,
    follower: feed::Follower,
    bytes: u64,
}

impl Feed {
    fn new(seed: u64) -> Self {
        let follower = feed::Follower::new(feed::Config::new(seed), Duration::ZERO);
        Self {
            now: Duration::ZERO,
            follower,
            bytes: 0,
        }
    }

    fn run_until(&mut self, source: &feed::Source, done: impl Fn(&Self) -> bool) {
        let mut out = Vec::new();
        let mut input = feed::Input::Relay { to: Some(1) };
        while !done(self) {
            self.follower.step(self.now, input, &mut out);
            input = feed::Input::Tick;
            let sent = out.drain(..).find_map(|output| match output {
                feed::Output::Send { request, .. } => Some(request),
                _ => None,
            });
            let Some(request) = sent else {
                self.now = self.follower.next_wake().max(self.now + ms(1));
                continue;
            };
            let arrived = self.now + ms(12);
            let answer = source.respond(arrived, Some(arrived), &request);
            self.count(&request);
            self.count(&answer);
            self.now = arrived + ms(12);
            input = feed::Input::Receive {
                from: 1,
                response: answer,
            };
        }
    }

    fn count<T: serde::Serialize>(&mut self, value: &T) {
        let bytes = postcard::to_stdvec(value).expect("plain data is encoded").len() as u64;
        let segments = bytes.div_ceil(1_400);
        self.bytes += bytes + FRAME_BYTES + segments * HEADER_BYTES;
    }
}

fn changes(count: u64) -> feed::Source {
    let mut source = feed::Source::new(4 * 1024 * 1024);
    for index in 1..=count {
        let payload = log::Payload::Command(vec![0; CHANGE_BYTES].into());
        source.push(&log::Entry {
            position: log::Position { term: 1, index },
            payload,
        });
    }
    source
}

pub(super) fn idle_feed_bytes(seed: u64) -> f64 {
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(0), |feed| feed.now >= ms(60_000));
    feed.bytes as f64 / feed.now.as_secs_f64()
}

/// A message of the feed on its way: arrival, hop, content.
enum Travel {
    Request(Duration, usize, feed::Request),
    Answer(Duration, usize, feed::Response),
}

/// One-way delay of each hop.
const HOPS: [Duration; 2] = [ms(12), ms(1)];

fn send(now: Duration, hop: usize, out: &mut Vec<feed::Output>, travels: &mut Vec<Travel>) {
    for output in out.drain(..) {
        if let feed::Output::Send { request, .. } = output {
            travels.push(Travel::Request(now + HOPS[hop], hop, request));
        }
    }
}

/// Largest ages of the basis on an idle root group: at a voter, at a relay 12 ms away that asks it, and at a VM that
/// asks the relay 1 ms away. At most `lost` answers to the relay are lost, 10 s apart.
fn worst_ages(seed: u64, lost: u64) -> [f64; 3] {
    let mut world = World::new(seed, 3, None, registry);
    let leader = world.wait_for_leader();
    let voter = if leader == 3 { 2 } else { 3 };
    let begin = world.now;
    let source = feed::Source::new(1);
    let mut hops = [1, 2].map(|hop| feed::Follower::new(feed::Config::new(seed + hop), begin));
    let mut travels = Vec::new();
    let mut out = Vec::new();
    let mut worst = [0.0_f64; 3];
    let mut answered = 0;
    for hop in &mut hops {
        hop.step(begin, feed::Input::Relay { to: Some(1) }, &mut out);
    }
    out.clear();
    while world.now < begin + ms(40_000) {
        world.run_for(ms(1));
        let now = world.now;
        for travel in std::mem::take(&mut travels) {
            match travel {
                Travel::Request(at, hop, request) if at <= now => {
                    let basis = if hop == 0 {
                        world.replicas[&voter].freshness(now)
                    } else {
                        hops[0].freshness()
                    };
                    let answer = source.respond(now, basis, &request);
                    answered += u64::from(hop == 0);
                    let drop = hop == 0 && answered % 20 == 0 && answered / 20 <= lost;
                    if !drop {
                        travels.push(Travel::Answer(now + HOPS[hop], hop, answer));
                    }
                }
                Travel::Answer(at, hop, answer) if at <= now => {
                    hops[hop].step(
                        now,
                        feed::Input::Receive {
                            from: 1,
                            response: answer,
                        },
                        &mut out,
                    );
                    send(now, hop, &mut out, &mut travels);
                }
                waiting => travels.push(waiting),
            }
        }
        for (hop, follower) in hops.iter_mut().enumerate() {
            follower.step(now, feed::Input::Tick, &mut out);
            send(now, hop, &mut out, &mut travels);
        }
        if now > begin + ms(5_000) {
            let bases = [
                world.replicas[&voter].freshness(now),
                hops[0].freshness(),
                hops[1].freshness(),
            ];
            for (worst, basis) in worst.iter_mut().zip(bases) {
                let age = basis.map_or(f64::INFINITY, |basis| now.saturating_sub(basis).as_secs_f64());
                *worst = worst.max(age);
            }
        }
    }
    worst
}

pub(super) fn basis_age(seed: u64) -> Vec<Row> {
    let bound = Bound::AtMost(3.0);
    let [voter, relay, follower] = worst_ages(seed, 0);
    let [_, _, after_loss] = worst_ages(seed, 2);
    vec![
        Row::new("consensus.basis_age.voter.worst", voter, "s", bound, FRESHNESS),
        Row::new("consensus.basis_age.relay.worst", relay, "s", bound, FRESHNESS),
        Row::new(
            "consensus.basis_age.follower.worst",
            follower,
            "s",
            bound,
            FRESHNESS,
        ),
        Row::new(
            "consensus.basis_age.follower.one_loss",
            after_loss,
            "s",
            bound,
            FRESHNESS,
        ),
    ]
}

/// Time and bytes until a follower that is 12 ms away has the changes that it missed.
pub(super) fn catch_up(seed: u64) -> (f64, f64) {
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(MISSED_CHANGES), |feed| {
        feed.follower.applied() >= MISSED_CHANGES
    });
    (feed.now.as_secs_f64(), feed.bytes as f64)
}
