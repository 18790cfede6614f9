//! Policy measurements of `consensus`.
//!
//! Replicas exchange encoded messages over links with a fixed one-way delay and store with a fixed sync time. Bytes
//! are those of the encoded message with its frame, and for the `wire` rows with the TCP and IP headers of one segment
//! for each message, which is the worst case.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bronzespoke_consensus::replica::{Config, Input, Output, Replica, Restored};
use bronzespoke_consensus::{feed, log, membership, message, write};
use bronzespoke_model::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::measure::{Bound, Length, Row};

/// Length prefix and group of a frame.
const FRAME_BYTES: u64 = 6;
/// IPv4 and TCP headers with timestamps.
const HEADER_BYTES: u64 = 52;
const SYNC: Duration = Duration::from_millis(1);
const ENTRY_BYTES: usize = 12;
/// A configuration change; an assumption, the page gives no size.
const CHANGE_BYTES: usize = 200;
const MISSED_CHANGES: u64 = 1_000;
/// Starts of one zone: 2,500 a second over 17 availability zones.
const STARTS_PER_SECOND: u64 = 150;

const FRESHNESS: &str = "design 2.2: key freshness";
const CONTROL_BYTES: &str = "design 1.7: 24 KB/s control";
const IN_FORCE: &str = "design 1.2 I10: 11 s";
const NO_BOUND: &str = "no figure on the page";

/// Returns the rows of this part.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let trials = match length {
        Length::Short => 60,
        Length::Long => 600,
    };
    let mut rows = leaderless(seed, trials);
    for delay in [1, 12, 3] {
        let name = format!("consensus.commit_latency.one_way_{delay}ms");
        rows.push(Row::new(
            name,
            commit_latency(seed, delay),
            "ms",
            Bound::None,
            NO_BOUND,
        ));
    }
    for batch in [0, 1, 2, 10] {
        let (message, wire) = bytes_per_start(seed, batch);
        let name = format!("consensus.bytes_per_start.batch_{batch}ms");
        rows.push(Row::new(
            format!("{name}.message"),
            message,
            "B",
            Bound::None,
            NO_BOUND,
        ));
        rows.push(Row::new(format!("{name}.wire"), wire, "B", Bound::None, NO_BOUND));
    }
    let budget = Bound::AtMost(24_000.0);
    rows.push(Row::new(
        "consensus.idle.follower.wire",
        idle_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES,
    ));
    rows.push(Row::new(
        "consensus.idle.feed.wire",
        idle_feed_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES,
    ));
    rows.extend(catch_up(seed));
    rows
}

enum Event {
    Deliver {
        from: id::VmId,
        to: id::VmId,
        data: Vec<u8>,
    },
    Wake(id::VmId),
    Synced {
        node: id::VmId,
        through: u64,
    },
}

struct Timed(Duration, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A group in simulated time.
struct World {
    now: Duration,
    replicas: BTreeMap<id::VmId, Replica>,
    /// Members that neither receive nor act.
    down: Vec<id::VmId>,
    /// Zone of each VM, from which the delay follows.
    delay: fn(id::VmId, id::VmId) -> Duration,
    queue: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    /// Bytes and messages between each pair.
    traffic: BTreeMap<(id::VmId, id::VmId), (u64, u64)>,
    committed: Vec<(u64, Duration)>,
}

impl World {
    fn new(seed: u64, voters: u64, batch: Duration, delay: fn(id::VmId, id::VmId) -> Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members = membership::Membership::of_voters(1..=voters);
        let mut world = Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            down: Vec::new(),
            delay,
            queue: BinaryHeap::new(),
            sequence: 0,
            traffic: BTreeMap::new(),
            committed: Vec::new(),
        };
        for vm in 1..=voters {
            let mut config = Config::new(vm, id::GroupId::Root, rng.random());
            config.batch_delay = batch;
            let replica = Replica::new(config, Restored::bootstrap(members.clone()), Duration::ZERO);
            world.schedule(replica.next_wake(), Event::Wake(vm));
            world.replicas.insert(vm, replica);
        }
        world
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Timed(at, self.sequence, event)));
    }

    fn leader(&self) -> Option<id::VmId> {
        let mut live = self.replicas.iter().filter(|(vm, _)| !self.down.contains(vm));
        live.find(|(_, replica)| replica.holds_lease(self.now))
            .map(|(vm, _)| *vm)
    }

    fn wait_for_leader(&mut self) -> id::VmId {
        loop {
            match self.leader() {
                Some(leader) => return leader,
                None => self.run_for(Duration::from_millis(1)),
            }
        }
    }

    fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.0 > end {
                break;
            }
            let Some(Reverse(Timed(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, data } => {
                let message = postcard::from_bytes(&data).expect("the message was encoded here");
                self.input(to, Input::Receive { from, message });
            }
            Event::Wake(vm) => {
                let due = self
                    .replicas
                    .get(&vm)
                    .is_some_and(|replica| replica.next_wake() <= self.now);
                if due {
                    self.input(vm, Input::Tick);
                }
            }
            Event::Synced { node, through } => self.input(node, Input::Persisted { through }),
        }
    }

    fn input(&mut self, vm: id::VmId, input: Input) {
        if self.down.contains(&vm) {
            return;
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(replica) = self.replicas.get_mut(&vm) else {
                return;
            };
            let mut out = Vec::new();
            replica.step(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Persist(write::Write { sequence, .. }) => {
                        self.schedule(
                            self.now + SYNC,
                            Event::Synced {
                                node: vm,
                                through: sequence,
                            },
                        );
                    }
                    Output::Send { to, message } => self.send(vm, to, &message),
                    Output::Apply(entry) => inputs.push(Input::Applied {
                        index: entry.position.index,
                    }),
                    Output::Install(snapshot) => inputs.push(Input::Applied {
                        index: snapshot.position.index,
                    }),
                    Output::Committed { id, .. } => self.committed.push((id, self.now)),
                    Output::Rejected { .. } | Output::Role(_) => {}
                }
            }
        }
        let wake = self.replicas[&vm]
            .next_wake()
            .max(self.now + Duration::from_micros(10));
        self.schedule(wake, Event::Wake(vm));
    }

    fn send(&mut self, from: id::VmId, to: id::VmId, message: &message::Message) {
        let data = postcard::to_stdvec(message).expect("plain data is encoded");
        let sum = self.traffic.entry((from, to)).or_default();
        sum.0 += data.len() as u64 + FRAME_BYTES;
        sum.1 += 1;
        let at = self.now + (self.delay)(from, to);
        self.schedule(at, Event::Deliver { from, to, data });
    }

    /// Bytes and messages in both directions between two members since the last call of `traffic.clear`.
    fn between(&self, left: id::VmId, right: id::VmId) -> (u64, u64) {
        let there = self.traffic.get(&(left, right)).copied().unwrap_or_default();
        let back = self.traffic.get(&(right, left)).copied().unwrap_or_default();
        (there.0 + back.0, there.1 + back.1)
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Two zones 1 ms apart, further ones 12 ms away, as the registry's topology today.
fn registry(left: id::VmId, right: id::VmId) -> Duration {
    if left <= 2 && right <= 2 { ms(1) } else { ms(12) }
}

/// Time from the crash of a leader to a leader that holds a lease, hence commits and serves reads.
fn leaderless(seed: u64, trials: u64) -> Vec<Row> {
    let mut times = Vec::new();
    for trial in 0..trials {
        let mut world = World::new(seed.wrapping_add(trial), 3, Duration::ZERO, registry);
        let leader = world.wait_for_leader();
        world.run_for(ms(500 + (trial * 37) % 100));
        world.down.push(leader);
        let crash = world.now;
        world.wait_for_leader();
        times.push(world.now.saturating_sub(crash).as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    let bound = Bound::AtMost(3.0);
    vec![
        Row::new(
            "consensus.leaderless.median",
            times[times.len() / 2],
            "s",
            bound,
            FRESHNESS,
        ),
        Row::new(
            "consensus.leaderless.worst",
            times[times.len() - 1],
            "s",
            bound,
            FRESHNESS,
        ),
    ]
}

/// Median time from a proposal to its commit on the leader, with a store that syncs in 1 ms.
fn commit_latency(seed: u64, delay: u64) -> f64 {
    let link: fn(id::VmId, id::VmId) -> Duration = match delay {
        1 => |_, _| ms(1),
        3 => |_, _| ms(3),
        _ => |_, _| ms(12),
    };
    let mut world = World::new(seed, 3, Duration::ZERO, link);
    let leader = world.wait_for_leader();
    let mut times = Vec::new();
    for proposal in 0..200 {
        let begin = world.now;
        world.input(
            leader,
            Input::Propose {
                id: proposal,
                data: vec![0; ENTRY_BYTES].into(),
            },
        );
        world.run_for(ms(97));
        let committed = world.committed.iter().find(|(id, _)| *id == proposal);
        times.push(committed.map_or(f64::INFINITY, |(_, at)| {
            at.saturating_sub(begin).as_secs_f64() * 1e3
        }));
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Bytes of one follower's link, both directions, for each committed start.
fn bytes_per_start(seed: u64, batch: u64) -> (f64, f64) {
    const SECONDS: u64 = 20;
    let mut world = World::new(seed, 3, ms(batch), |_, _| ms(1));
    let leader = world.wait_for_leader();
    world.run_for(ms(500));
    world.traffic.clear();
    let starts = SECONDS * STARTS_PER_SECOND;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut left = starts;
    while left > 0 {
        // Starts come in the bursts of scheduling rounds.
        let burst = rng.random_range(1..=6).min(left);
        for _ in 0..burst {
            world.input(
                leader,
                Input::Propose {
                    id: left,
                    data: vec![0; ENTRY_BYTES].into(),
                },
            );
            left -= 1;
        }
        world.run_for(Duration::from_micros(burst * 1_000_000 / STARTS_PER_SECOND));
    }
    let follower = if leader == 1 { 2 } else { 1 };
    let (bytes, messages) = world.between(leader, follower);
    let committed = world.committed.len() as f64;
    (
        bytes as f64 / committed,
        (bytes + messages * HEADER_BYTES) as f64 / committed,
    )
}

/// Bytes of an idle follower's link, both directions, in a second.
fn idle_bytes(seed: u64) -> f64 {
    let mut world = World::new(seed, 3, Duration::ZERO, registry);
    let leader = world.wait_for_leader();
    world.run_for(ms(1_000));
    world.traffic.clear();
    world.run_for(ms(10_000));
    let follower = if leader == 1 { 2 } else { 1 };
    let (bytes, messages) = world.between(leader, follower);
    (bytes + messages * HEADER_BYTES) as f64 / 10.0
}

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
            let answer = source.answer(arrived, Some(arrived), &request);
            self.count(&request);
            self.count(&answer);
            self.now = arrived + ms(12);
            input = feed::Input::Receive { from: 1, answer };
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

fn idle_feed_bytes(seed: u64) -> f64 {
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(0), |feed| feed.now >= ms(60_000));
    feed.bytes as f64 / feed.now.as_secs_f64()
}

/// Bytes and time until a member, and a follower of the feed, has the changes that it missed, 12 ms away.
fn catch_up(seed: u64) -> Vec<Row> {
    let mut world = World::new(seed, 3, Duration::ZERO, |_, _| ms(12));
    let leader = world.wait_for_leader();
    let missing = if leader == 3 { 2 } else { 3 };
    world.down.push(missing);
    for change in 0..MISSED_CHANGES {
        world.input(
            leader,
            Input::Propose {
                id: change,
                data: vec![0; CHANGE_BYTES].into(),
            },
        );
        world.run_for(ms(5));
    }
    world.run_for(ms(1_000));
    world.traffic.clear();
    world.down.clear();
    let begin = world.now;
    let last = world.replicas[&leader].status().commit;
    while world.replicas[&missing].status().applied < last {
        world.run_for(ms(1));
    }
    let time = world.now.saturating_sub(begin).as_secs_f64();
    let (bytes, messages) = world.between(leader, missing);
    let wire = bytes + bytes.div_ceil(1_400).max(messages) * HEADER_BYTES;
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(MISSED_CHANGES), |feed| {
        feed.follower.applied() >= MISSED_CHANGES
    });
    let bound = Bound::AtMost(11.0);
    vec![
        Row::new("consensus.catch_up_1000.member.time", time, "s", bound, IN_FORCE),
        Row::new(
            "consensus.catch_up_1000.member.wire",
            wire as f64,
            "B",
            Bound::None,
            NO_BOUND,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.time",
            feed.now.as_secs_f64(),
            "s",
            bound,
            IN_FORCE,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.wire",
            feed.bytes as f64,
            "B",
            Bound::None,
            NO_BOUND,
        ),
    ]
}
