//! Relay selection of a follower whose relay fails in various ways.

use std::time::Duration;

use bronzespoke_consensus::feed::{Candidate, Config, Follower, Input, Output, Relays, Response, Source};
use bronzespoke_model::{id::VmId, vm::Distance};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Age above which a view is not used (section 2.2 of the design).
const KEY_FRESHNESS: Duration = ms(3_000);
/// One-way delay between regions (section 1.6 of the design).
const DELAY: Duration = ms(12);
/// Interval between two ticks of the control thread, in milliseconds.
const TICK: u64 = 100;
/// Age of the view of a member that has contact with its leader: two heartbeats and their replies.
const MEMBER_AGE: Duration = ms(400);
/// Start of the first failure.
const FAILURE: Duration = ms(5_000);
/// End of the run in milliseconds.
const END: u64 = 40_000;

/// Behaviour of a member from a point in time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It responds, and has contact with its leader.
    Fresh,
    /// It responds, but has had no contact with a leader since.
    Stale,
    /// It responds, but its freshness is unknown.
    Unknown,
    /// It does not respond.
    Unresponsive,
}

/// A member and its states over time.
struct Member {
    vm: VmId,
    distance: Distance,
    states: Vec<(Duration, State)>,
}

impl Member {
    fn new(vm: VmId, distance: Distance, states: &[(u64, State)]) -> Self {
        let states = states.iter().map(|(at, state)| (ms(*at), *state)).collect();
        Self { vm, distance, states }
    }

    fn state(&self, now: Duration) -> (Duration, State) {
        let state = self.states.iter().rfind(|(since, _)| *since <= now);
        state.copied().unwrap_or((Duration::ZERO, State::Fresh))
    }

    fn freshness(&self, now: Duration) -> Option<Duration> {
        let (since, state) = self.state(now);
        match state {
            State::Fresh => now.checked_sub(MEMBER_AGE),
            State::Stale => since.checked_sub(MEMBER_AGE),
            State::Unknown | State::Unresponsive => None,
        }
    }
}

/// Observations of a run.
struct Run {
    /// Times, from the first view on, at which the view was too old.
    too_old: Vec<Duration>,
    /// Relay at the end of the run.
    relay: Option<VmId>,
    requests: u32,
}

/// Runs a follower with the given members as relays.
fn run(members: &[Member]) -> Run {
    let mut follower = Follower::new(Config::new(1), ms(0));
    let mut relays = Relays::default();
    let source = Source::new(1_000);
    let mut responses: Vec<(Duration, VmId, Response)> = Vec::new();
    let mut seen = Run {
        too_old: Vec::new(),
        relay: None,
        requests: 0,
    };
    for now in (0..END).map(ms) {
        let mut out = Vec::new();
        if (now.as_millis() as u64).is_multiple_of(TICK) {
            let candidates = members.iter().map(|member| Candidate {
                vm: member.vm,
                distance: member.distance,
            });
            let to = relays.select(now, candidates);
            follower.step(now, Input::Relay { to }, &mut out);
        }
        for (_, from, response) in responses
            .extract_if(.., |(at, ..)| *at <= now)
            .collect::<Vec<_>>()
        {
            relays.record_response(now, from, response.age);
            follower.step(now, Input::Receive { from, response }, &mut out);
        }
        for output in out {
            match output {
                Output::Send { to, request } => {
                    seen.requests += 1;
                    let member = members.iter().find(|member| member.vm == to).expect("a member");
                    let there = now + DELAY;
                    if member.state(there).1 != State::Unresponsive {
                        let response = source.respond(there, member.freshness(there), &request);
                        responses.push((there + DELAY, to, response));
                    }
                }
                Output::TimedOut { relay } => relays.record_timeout(now, relay, follower.freshness()),
                Output::Apply(_) | Output::Install(_) => {}
            }
        }
        let age = follower
            .freshness()
            .map(|freshness| now.saturating_sub(freshness));
        if age.is_some_and(|age| age > KEY_FRESHNESS) {
            seen.too_old.push(now);
        }
    }
    seen.relay = follower.relay();
    seen
}

/// Guards against a follower that keeps a relay that has no contact with its leader, or that does not respond, until
/// the view of the follower is too old for requests with keys.
#[yare::parameterized(
    stale = { State::Stale },
    unknown_freshness = { State::Unknown },
    unresponsive = { State::Unresponsive },
)]
fn a_failed_relay_is_replaced_in_time(failure: State) {
    // The failure begins at different phases of the poll interval.
    for phase in (0..600).step_by(20) {
        let at = FAILURE.as_millis() as u64 + phase;
        let run = run(&[
            Member::new(1, Distance::Zone, &[(at, failure)]),
            Member::new(2, Distance::Remote, &[]),
        ]);
        assert!(
            run.too_old.is_empty(),
            "phase {phase}: the view was too old at {:?}",
            run.too_old.first()
        );
    }
}

/// Guards against alternating between two failed relays while a third one is available.
#[test]
fn the_third_relay_is_found() {
    let run = run(&[
        Member::new(1, Distance::Zone, &[(5_000, State::Stale)]),
        Member::new(2, Distance::Region, &[(5_000, State::Stale)]),
        Member::new(3, Distance::Remote, &[]),
    ]);
    assert!(run.too_old.is_empty(), "{:?}", run.too_old.first());
}

/// Guards against a follower that stays with a remote relay, whose traffic is billed, after the nearest one is fresh
/// again.
#[test]
fn the_nearest_relay_is_used_again() {
    let run = run(&[
        Member::new(1, Distance::Zone, &[(5_000, State::Stale), (9_000, State::Fresh)]),
        Member::new(2, Distance::Remote, &[]),
    ]);
    assert!(run.too_old.is_empty(), "{:?}", run.too_old.first());
    assert_eq!(run.relay, Some(1));
}

/// Guards against followers that overload the links while their group has no leader and they look for a fresh relay, or
/// that miss the first relay that is fresh again.
#[test]
fn a_group_without_a_leader_costs_few_requests() {
    let back = 30_000;
    let run = run(&[
        Member::new(1, Distance::Zone, &[(5_000, State::Stale)]),
        Member::new(2, Distance::Region, &[(5_000, State::Stale)]),
        Member::new(
            3,
            Distance::Remote,
            &[(5_000, State::Stale), (back, State::Fresh)],
        ),
    ]);
    let last = run.too_old.last().copied().expect("no member was fresh");
    assert!(
        last <= ms(back) + KEY_FRESHNESS,
        "a fresh relay was found only at {last:?}"
    );
    assert!(
        run.requests < 5 * END as u32 / 1_000,
        "{} requests in {END} ms",
        run.requests
    );
}
