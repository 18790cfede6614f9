//! Cost of replication, from a group in virtual time: frames and bytes of each member, time per entry, and memory of the
//! log.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bronzespoke_consensus::{feed, membership, message, replica};
use bronzespoke_control::{envelope, zone};
use bronzespoke_daemon::peer::wire;
use bronzespoke_model::{id, stamp, task};
use bytes::Bytes;

use crate::{count, line, state};

/// Bytes of a frame's length prefix.
pub const PREFIX_BYTES: usize = 4;
const STEP: Duration = Duration::from_millis(1);
const SECONDS: u64 = 10;

/// Frames and bytes that one member sends and receives per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Frames sent.
    pub frames_out: f64,
    /// Frames received.
    pub frames_in: f64,
    /// Bytes sent.
    pub bytes_out: f64,
    /// Bytes received.
    pub bytes_in: f64,
}

/// Linear fit of each field of [`Traffic`].
#[derive(Debug, Clone, Copy)]
pub struct Lines {
    frames_out: line::Line,
    frames_in: line::Line,
    bytes_out: line::Line,
    bytes_in: line::Line,
}

impl Lines {
    /// Returns the traffic at `x`.
    pub fn at(&self, x: f64) -> Traffic {
        Traffic {
            frames_out: self.frames_out.at(x),
            frames_in: self.frames_in.at(x),
            bytes_out: self.bytes_out.at(x),
            bytes_in: self.bytes_in.at(x),
        }
    }
}

/// Cost of replication and of the feed.
#[derive(Debug)]
pub struct Fits {
    /// Traffic of the leader and of one follower in a group of three, by entries per second.
    pub loaded: [Lines; 2],
    /// Traffic of the leader and of one follower in an idle group, by voters.
    pub idle: [Lines; 2],
    /// Microseconds per second of the leader and of a follower, by entries per second.
    pub micros: [line::Line; 2],
    /// Microseconds per second of the leader of an idle group, by voters.
    pub idle_micros: line::Line,
    /// Bytes per second that the leader sends for 300 starts and ends per second, by entries that they are batched into.
    pub batched: line::Line,
    /// Bytes of memory of a replica, by entries in its log.
    pub memory: line::Line,
    /// Bytes of a poll of the feed, by index, and of its response, by entries.
    pub feed: [line::Line; 2],
}

/// Wraps a message body in a frame from one VM to another.
pub fn frame(body: wire::Body) -> wire::Frame {
    let vm = state::vm(9, 1);
    // Announcements carry no recipient: they go to any daemon that listens at the address.
    let is_addressed = !matches!(body, wire::Body::Hello(_));
    wire::Frame {
        from: vm.id,
        from_peer: vm.peer,
        to: is_addressed.then(|| state::vm(10, 1).id),
        stamp: stamp::Stamp {
            micros: state::NOW_MS * 1000,
            logical: 0,
        },
        body,
    }
}

/// Returns the size of a message's frame on the link, in bytes.
pub fn frame_bytes(body: wire::Body) -> usize {
    let bytes = wire::encode(&frame(body)).expect("every frame can be encoded");
    bytes.len() + PREFIX_BYTES
}

/// Returns a log entry of commands that are alternately a start and the end of a run.
pub fn entry(number: u64, commands: u64) -> Bytes {
    let commands: Vec<_> = (0..commands)
        .map(|offset| envelope::Envelope::new(state::NOW_MS, command(number * commands + offset)))
        .collect();
    envelope::encode(&commands)
}

/// Returns a start if the number is even, and the end of that run if it is odd.
fn command(number: u64) -> zone::Command {
    let task = task::Ref {
        job: id::job(9, 500_000 + number / 20),
        index: (number / 2 % 10) as u32,
    };
    let token = (1 << 32) + number / 2;
    if number.is_multiple_of(2) {
        let worker = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        zone::Command::Start(vec![zone::Start { task, worker, token }])
    } else {
        let outcome = task::Outcome::Succeeded(String::from("reconciled 48 of 48"));
        zone::Command::End(vec![zone::End { task, token, outcome }])
    }
}

struct Group {
    now: Duration,
    replicas: BTreeMap<id::VmId, replica::Replica>,
    in_flight: Vec<(Duration, id::VmId, id::VmId, message::Message)>,
    traffic: BTreeMap<id::VmId, Traffic>,
    busy: BTreeMap<id::VmId, Duration>,
    leader: Option<id::VmId>,
    proposed: u64,
}

impl Group {
    fn new(voters: u64) -> Self {
        let members = membership::Membership::from_voters(1..=voters);
        let replicas = (1..=voters)
            .map(|id| {
                let config = replica::Config::new(id, id::GroupId::Zone(9), id * 7919);
                let restored = replica::Restored::bootstrap(members.clone());
                (id, replica::Replica::new(config, restored, Duration::ZERO))
            })
            .collect();
        let mut group = Self {
            now: Duration::ZERO,
            replicas,
            in_flight: Vec::new(),
            traffic: BTreeMap::new(),
            busy: BTreeMap::new(),
            leader: None,
            proposed: 0,
        };
        group.run(Duration::from_secs(4), 0, 1);
        group.traffic.clear();
        group.busy.clear();
        group
    }

    fn step(&mut self, id: id::VmId, input: replica::Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(replica) = self.replicas.get_mut(&id) else {
                return;
            };
            let mut out = Vec::new();
            let started = Instant::now();
            replica.step(self.now, input, &mut out);
            *self.busy.entry(id).or_default() += started.elapsed();
            for output in out {
                match output {
                    replica::Output::Persist(write) => inputs.push(replica::Input::Persisted {
                        through: write.sequence,
                    }),
                    replica::Output::Send { to, message } => self.send(id, to, message),
                    replica::Output::Apply(entry) => inputs.push(replica::Input::Applied {
                        index: entry.position.index,
                    }),
                    replica::Output::Role(replica::Role::Leader) => self.leader = Some(id),
                    _ => {}
                }
            }
            // Completed writes and applied entries have to be reported in order.
            inputs.sort_by_key(|input| match input {
                replica::Input::Persisted { through } => std::cmp::Reverse(*through),
                replica::Input::Applied { index } => std::cmp::Reverse(*index),
                _ => std::cmp::Reverse(0),
            });
        }
    }

    fn send(&mut self, from: id::VmId, to: id::VmId, message: message::Message) {
        let bytes = frame_bytes(wire::Body::Consensus(id::GroupId::Zone(9), message.clone())) as f64;
        let sender = self.traffic.entry(from).or_default();
        sender.frames_out += 1.0;
        sender.bytes_out += bytes;
        let receiver = self.traffic.entry(to).or_default();
        receiver.frames_in += 1.0;
        receiver.bytes_in += bytes;
        self.in_flight.push((self.now + STEP, from, to, message));
    }

    /// Runs for a time, with a number of evenly spread proposals per second.
    fn run(&mut self, time: Duration, rate: u64, commands: u64) {
        let begin = self.now;
        let mut proposed = 0_u64;
        while self.now < begin + time {
            self.now += STEP;
            let due: Vec<_> = self
                .in_flight
                .extract_if(.., |(at, ..)| *at <= self.now)
                .collect();
            for (_, from, to, message) in due {
                self.step(to, replica::Input::Receive { from, message });
            }
            let ids: Vec<_> = self.replicas.keys().copied().collect();
            for id in ids {
                if self.replicas[&id].next_wake() <= self.now {
                    self.step(id, replica::Input::Tick);
                }
            }
            let due_proposals = rate as f64 * self.now.saturating_sub(begin).as_secs_f64();
            while (proposed as f64) < due_proposals.floor() {
                proposed += 1;
                self.proposed += 1;
                let (id, data) = (self.proposed, entry(self.proposed, commands));
                if let Some(leader) = self.leader {
                    self.step(leader, replica::Input::Propose { id, data });
                }
            }
        }
    }

    /// Returns the traffic and the processing time, in microseconds per second, of the leader and of one follower.
    fn second(&self) -> [(Traffic, f64); 2] {
        let leader = self.leader.expect("a group without faults elects a leader");
        let follower = *self
            .replicas
            .keys()
            .find(|id| **id != leader)
            .expect("a group has followers");
        [leader, follower].map(|id| {
            let seconds = SECONDS as f64;
            let all = self.traffic[&id];
            let traffic = Traffic {
                frames_out: all.frames_out / seconds,
                frames_in: all.frames_in / seconds,
                bytes_out: all.bytes_out / seconds,
                bytes_in: all.bytes_in / seconds,
            };
            (traffic, self.busy[&id].as_secs_f64() * 1e6 / seconds)
        })
    }
}

fn lines(name: &str, unit: &str, points: &[(f64, Traffic)]) -> Lines {
    let column = |measure: &str, y: &str, value: &dyn Fn(&Traffic) -> f64| {
        let points: Vec<_> = points.iter().map(|(x, traffic)| (*x, value(traffic))).collect();
        line::fit(&format!("{name}, {measure}"), unit, y, &points)
    };
    Lines {
        frames_out: column("frames sent per second", "frames/s", &|traffic| {
            traffic.frames_out
        }),
        frames_in: column("frames received per second", "frames/s", &|traffic| {
            traffic.frames_in
        }),
        bytes_out: column("bytes sent per second", "B/s", &|traffic| traffic.bytes_out),
        bytes_in: column("bytes received per second", "B/s", &|traffic| traffic.bytes_in),
    }
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading("Replication (`crates/consensus`, frames of `crates/daemon/src/peer/wire.rs`)");
    let mut loaded: [Vec<(f64, Traffic)>; 2] = Default::default();
    let mut micros: [Vec<(f64, f64)>; 2] = Default::default();
    for rate in [15, 50, 150, 300, 600] {
        let mut group = Group::new(3);
        group.run(Duration::from_secs(SECONDS), rate, 1);
        for (place, (traffic, busy)) in group.second().into_iter().enumerate() {
            loaded[place].push((rate as f64, traffic));
            micros[place].push((rate as f64, busy));
        }
    }
    let mut idle: [Vec<(f64, Traffic)>; 2] = Default::default();
    let mut idle_micros = Vec::new();
    for voters in [3, 5, 9, 17] {
        let mut group = Group::new(voters);
        group.run(Duration::from_secs(SECONDS), 0, 1);
        for (place, (traffic, busy)) in group.second().into_iter().enumerate() {
            idle[place].push((voters as f64, traffic));
            if place == 0 {
                idle_micros.push((voters as f64, busy));
            }
        }
    }
    let memory = [1000, 2000, 4000, 8000].map(|entries: u32| {
        let bytes = count::memory(|| {
            let mut group = Group::new(3);
            group.run(Duration::from_secs(2), u64::from(entries) / 2, 1);
            group.in_flight.clear();
            group
        });
        (f64::from(entries), bytes / 3.0)
    });
    let batched = [10, 30, 75, 150, 300].map(|rate| {
        let mut group = Group::new(3);
        group.run(Duration::from_secs(SECONDS), rate, 300 / rate);
        (rate as f64, group.second()[0].0.bytes_out)
    });
    let by_rate = "entries/s, one start or end each";
    Fits {
        loaded: [
            lines("leader of 3", by_rate, &loaded[0]),
            lines("follower of 3", by_rate, &loaded[1]),
        ],
        idle: [
            lines("idle leader", "voters", &idle[0]),
            lines("idle follower", "voters", &idle[1]),
        ],
        micros: [
            line::fit(
                "time of the leader's replica per second",
                by_rate,
                "µs/s",
                &micros[0],
            ),
            line::fit(
                "time of a follower's replica per second",
                by_rate,
                "µs/s",
                &micros[1],
            ),
        ],
        idle_micros: line::fit(
            "time of an idle leader's replica per second",
            "voters",
            "µs/s",
            &idle_micros,
        ),
        batched: line::fit(
            "leader of 3, bytes sent per second for 300 starts and ends a second",
            "entries/s",
            "B/s",
            &batched,
        ),
        memory: line::fit(
            "memory of one replica without compaction",
            "entries in the log",
            "B",
            &memory,
        ),
        feed: feed_lines(),
    }
}

fn feed_lines() -> [line::Line; 2] {
    let response = |entries: u64| {
        let items = (0..entries)
            .map(|number| message::Item::Command {
                term: 7,
                data: entry(number, 1),
            })
            .collect();
        let response = feed::Response {
            token: u32::MAX / 3,
            through: 200_000,
            age: Some(120_000),
            content: feed::Content::Entries(items),
        };
        (
            entries as f64,
            frame_bytes(wire::Body::FeedResponse(response)) as f64,
        )
    };
    let request = |after: u64| {
        let request = feed::Request {
            token: u32::MAX / 3,
            after,
            partial: None,
        };
        (after as f64, frame_bytes(wire::Body::FeedRequest(request)) as f64)
    };
    [
        line::fit(
            "poll of the feed",
            "index",
            "B",
            &[100, 10_000, 200_000, 2_000_000].map(request),
        ),
        line::fit("answer of the feed", "entries", "B", &[0, 1, 5, 20].map(response)),
    ]
}
