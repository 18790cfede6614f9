//! The simulation itself: events in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use bronzespoke_model::{id, target};
use bronzespoke_request::{admission, attempt, retry, router};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    vm::{self, Mind, SERVICE},
    world,
};

const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which targets that are not heard of any more are dropped (design 5).
const REMOTE_DROP: Duration = Duration::from_millis(2500);
const CUT_LENGTH: Duration = Duration::from_secs(4);
const REQUEST_BYTES: u32 = 1024;
const ANSWER_BYTES: u64 = 2048;
/// Part of requests that must not be repeated.
const CLAIMED: f64 = 0.2;
/// Weights of the teams, which all ask for the same.
const WEIGHTS: [u32; 4] = [1, 1, 2, 4];

/// How requests are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    Decided(router::LoadSource),
    RoundRobin,
}

/// One measurement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    pub seed: u64,
    pub overload: f64,
    pub slow: f64,
    pub cut: bool,
    /// Part of a zone's callers that the balancer sends to the first of its two VMs.
    pub first_vm: f64,
    pub window: f64,
}

/// What was measured.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub goodput: f64,
    /// Milliseconds at 50, 95 and 99 per cent.
    pub wait: [f64; 3],
    pub extra: f64,
    pub remote_kib: f64,
    pub share_error: f64,
    pub duplicates: f64,
    pub wrong_not_run: f64,
    pub departing: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Gossip,
    Depart,
    Reach(usize),
    Finish(usize),
    Reply(usize),
    Refusal(usize),
    ConnectFailed(usize),
    Deadline(usize),
}

#[expect(clippy::struct_excessive_bools, reason = "each is a fact about the request")]
struct Request {
    vm: usize,
    team: usize,
    repeatable: bool,
    arrived: Duration,
    attempts: u32,
    tried: Vec<id::TargetId>,
    history: attempt::Execution,
    current: Option<usize>,
    admitted: bool,
    ended: bool,
    runs: u32,
    told_not_run: bool,
}

struct Attempt {
    request: usize,
    target: usize,
    sent: Duration,
    run_time: Duration,
    connecting: bool,
}

struct Simulation {
    scenario: Scenario,
    random: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    targets: Vec<world::Target>,
    vms: Vec<vm::Vm>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    waits: Vec<f64>,
    useful: u64,
    by_team: [u64; WEIGHTS.len()],
    remote: u64,
    gap: f64,
    end: Duration,
}

/// Runs one scenario.
pub(super) fn run(scenario: &Scenario, policy: Policy) -> Outcome {
    let targets = world::targets(scenario.slow);
    let capacity: f64 = targets
        .iter()
        .map(|target| f64::from(world::SLOTS) / target.mean())
        .sum();
    let sharing = match policy {
        Policy::Decided(sharing) => Some(sharing),
        Policy::RoundRobin => None,
    };
    let mut simulation = Simulation {
        scenario: *scenario,
        random: SmallRng::seed_from_u64(scenario.seed),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        sequence: 0,
        targets,
        vms: vm::vms(scenario.seed, sharing),
        requests: Vec::new(),
        attempts: Vec::new(),
        waits: Vec::new(),
        useful: 0,
        by_team: [0; WEIGHTS.len()],
        remote: 0,
        gap: 1.0 / (capacity * scenario.overload),
        end: WARM_UP + Duration::from_secs_f64(scenario.window),
    };
    simulation.push(Duration::ZERO, Event::Gossip);
    simulation.push(Duration::from_millis(1), Event::Arrive);
    simulation.push(cut_start() + Duration::from_millis(600), Event::Depart);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        // A cut, a departure and every deadline have passed a while after the last arrival.
        if at > simulation.end + DEADLINE * 2 {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome(capacity)
}

const fn cut_start() -> Duration {
    Duration::from_secs(3)
}

impl Simulation {
    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Gossip => self.gossip(),
            Event::Depart => {
                // The target stands in the zone that a cut separates, which is the harder case.
                let target = &mut self.targets[usize::from(world::CUT_ZONE)];
                target.status.departing = true;
                target.departed = Some((self.now, self.now));
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Reply(attempt) => self.reply(attempt),
            Event::Refusal(attempt) => {
                let load = Some(self.targets[self.attempts[attempt].target].load());
                self.failed(
                    attempt,
                    attempt::Progress::NotSent,
                    attempt::Outcome::Busy { load },
                );
            }
            Event::ConnectFailed(attempt) => {
                self.failed(attempt, attempt::Progress::NotSent, attempt::Outcome::Failed);
            }
            Event::Deadline(request) => self.deadline(request),
        }
    }

    fn is_cut(&self, one: u16, other: u16) -> bool {
        let during = self.now >= cut_start() && self.now < cut_start() + CUT_LENGTH;
        let apart = (one == world::CUT_ZONE) != (other == world::CUT_ZONE);
        self.scenario.cut && during && apart
    }

    /// Every VM takes in the targets that it hears of, with loads and departures as they are now.
    fn gossip(&mut self) {
        for target in &mut self.targets {
            target.status.in_flight = target.load();
        }
        for index in 0..self.vms.len() {
            let zone = self.vms[index].zone;
            let long_cut = self.now >= cut_start() + REMOTE_DROP;
            let heard: Vec<(id::ServiceId, target::Status)> = self
                .targets
                .iter()
                .filter(|target| !(long_cut && self.is_cut(zone, target.status.place.zone)))
                .map(|target| (SERVICE, target.status.clone()))
                .collect();
            let during_cut = |status: &target::Status| !long_cut && self.is_cut(zone, status.place.zone);
            // A cut VM keeps what it heard last until the drop: it does not learn of the departure.
            let heard: Vec<_> = heard
                .into_iter()
                .map(|(service, mut status)| {
                    status.departing &= !during_cut(&status);
                    (service, status)
                })
                .collect();
            let now = self.now;
            if let Mind::Decided(mind) = &mut self.vms[index].mind {
                mind.router.apply(now, router::Update::Targets(&heard));
            }
            self.wake(index);
        }
        self.push(GOSSIP_INTERVAL, Event::Gossip);
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let gap = -self.gap * self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        self.push(Duration::from_secs_f64(gap), Event::Arrive);
        let zone = self.random.random_range(0..world::TARGETS) % world::ZONES;
        let second = usize::from(!self.random.random_bool(self.scenario.first_vm));
        let request = self.requests.len();
        self.requests.push(Request {
            vm: zone + second * world::ZONES,
            team: self.random.random_range(0..WEIGHTS.len()),
            repeatable: !self.random.random_bool(CLAIMED),
            arrived: self.now,
            attempts: 0,
            tried: Vec::new(),
            history: attempt::Execution::NotRun,
            current: None,
            admitted: false,
            ended: false,
            runs: 0,
            told_not_run: false,
        });
        self.push(DEADLINE, Event::Deadline(request));
        self.admit(request);
    }

    fn flow(&self, request: usize) -> admission::Flow {
        admission::Flow {
            service: SERVICE,
            owner: admission::Owner::Team(self.requests[request].team as u32),
        }
    }

    fn admit(&mut self, request: usize) {
        let flow = self.flow(request);
        let state = &self.requests[request];
        let ticket = admission::Request {
            id: request as u64,
            flow,
            weight: WEIGHTS[state.team],
            limit: u32::MAX,
            deadline: state.arrived + DEADLINE,
        };
        let now = self.now;
        let verdict = match &mut self.vms[state.vm].mind {
            Mind::RoundRobin { .. } => admission::Decision::Admitted,
            Mind::Decided(mind) => {
                if state.attempts == 0 {
                    mind.retry.record_request(flow);
                }
                let free = mind.router.free_slots(now, SERVICE);
                mind.admission.admit(now, ticket, free)
            }
        };
        match verdict {
            admission::Decision::Admitted => {
                self.requests[request].admitted = true;
                self.send(request);
            }
            admission::Decision::Queued => {}
            admission::Decision::Rejected { .. } => self.stop(request, self.requests[request].history),
        }
    }

    /// Sends an admitted request; without room it goes back to admission.
    fn send(&mut self, request: usize) {
        let now = self.now;
        let index = self.requests[request].vm;
        let target = match &mut self.vms[index].mind {
            Mind::RoundRobin { next } => {
                *next += 1;
                Some((*next % world::TARGETS) as u64 + 1)
            }
            Mind::Decided(mind) => {
                let query = router::Request {
                    service: SERVICE,
                    exclude: &self.requests[request].tried,
                    bytes: REQUEST_BYTES + ANSWER_BYTES as u32,
                };
                match mind.router.pick(now, &query) {
                    router::Choice::Target(target) => Some(target),
                    router::Choice::Full | router::Choice::NoTarget => None,
                }
            }
        };
        let Some(target) = target else {
            // A new admission may use a target that was tried before, as in the gateway.
            self.requests[request].tried.clear();
            self.release(request, admission::Outcome::Ignored);
            self.admit(request);
            return;
        };
        let state = &mut self.requests[request];
        state.attempts += 1;
        state.tried.push(target);
        state.current = Some(self.attempts.len());
        let target = target as usize - 1;
        let attempt = self.attempts.len();
        let zone = self.vms[index].zone;
        let place = self.targets[target].status.place;
        self.attempts.push(Attempt {
            request,
            target,
            sent: now,
            run_time: Duration::ZERO,
            connecting: self.is_cut(zone, place.zone),
        });
        if world::place(zone).region != place.region {
            self.remote += u64::from(REQUEST_BYTES) + ANSWER_BYTES;
        }
        if self.is_cut(zone, place.zone) {
            self.push(CONNECT_TIMEOUT, Event::ConnectFailed(attempt));
        } else {
            self.push(world::delay(world::place(zone), place), Event::Reach(attempt));
        }
    }

    fn reach(&mut self, attempt: usize) {
        let now = self.now;
        let index = self.attempts[attempt].target;
        let zone = self.vms[self.requests[self.attempts[attempt].request].vm].zone;
        let target = &mut self.targets[index];
        if let Some((_, last)) = &mut target.departed {
            *last = now;
        }
        if target.busy < world::SLOTS {
            self.begin(attempt);
        } else if target.waiting.len() < world::BACKLOG {
            target.waiting.push_back(attempt);
        } else {
            let back = world::delay(target.status.place, world::place(zone));
            self.push(back, Event::Refusal(attempt));
        }
    }

    fn begin(&mut self, attempt: usize) {
        let index = self.attempts[attempt].target;
        let run_time = self.targets[index].run_time(&mut self.random);
        self.targets[index].busy += 1;
        self.attempts[attempt].run_time = run_time;
        let request = &mut self.requests[self.attempts[attempt].request];
        request.runs += 1;
        self.push(run_time, Event::Finish(attempt));
    }

    fn finish(&mut self, attempt: usize) {
        let index = self.attempts[attempt].target;
        self.targets[index].busy -= 1;
        if let Some(next) = self.targets[index].waiting.pop_front() {
            self.begin(next);
        }
        let zone = self.vms[self.requests[self.attempts[attempt].request].vm].zone;
        let place = self.targets[index].status.place;
        if !self.is_cut(zone, place.zone) {
            self.push(world::delay(place, world::place(zone)), Event::Reply(attempt));
        }
    }

    fn reply(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.requests[request].ended || self.requests[request].current != Some(attempt) {
            return;
        }
        if self.random.random_bool(world::RESETS) {
            self.failed(attempt, attempt::Progress::Sent, attempt::Outcome::Failed);
            return;
        }
        let now = self.now;
        let Attempt {
            target,
            sent,
            run_time,
            ..
        } = self.attempts[attempt];
        let load = Some(self.targets[target].load());
        let latency = now.saturating_sub(sent);
        let state = &mut self.requests[request];
        state.ended = true;
        if now >= WARM_UP && now < self.end {
            self.useful += 1;
            self.by_team[state.team] += 1;
            let wait = now.saturating_sub(state.arrived).saturating_sub(run_time);
            self.waits.push(wait.as_secs_f64() * 1000.0);
        }
        self.end_attempt(attempt, attempt::Outcome::Success { latency, load });
        self.release(request, admission::Outcome::Success { latency });
    }

    fn failed(&mut self, attempt: usize, state: attempt::Progress, end: attempt::Outcome) {
        let request = self.attempts[attempt].request;
        if self.requests[request].ended || self.requests[request].current != Some(attempt) {
            return;
        }
        self.requests[request].current = None;
        self.end_attempt(attempt, end);
        let known = &self.requests[request];
        let question = retry::Attempt {
            flow: self.flow(request),
            repeatable: known.repeatable,
            progress: state,
            history: known.history,
            attempts: known.attempts,
            response_started: false,
            deadline: known.arrived + DEADLINE,
        };
        let now = self.now;
        let decision = match &mut self.vms[known.vm].mind {
            Mind::Decided(mind) => mind.retry.decide(now, &question),
            Mind::RoundRobin { .. } if known.attempts < vm::PLAIN_ATTEMPTS => {
                retry::Decision::Retry(known.history.max(state.execution()))
            }
            Mind::RoundRobin { .. } => retry::Decision::GiveUp(known.history.max(state.execution())),
        };
        match decision {
            retry::Decision::Retry(history) => {
                self.requests[request].history = history;
                self.send(request);
            }
            retry::Decision::GiveUp(history) => {
                let done = match end {
                    attempt::Outcome::Busy { .. } => admission::Outcome::Overloaded,
                    _ => admission::Outcome::Ignored,
                };
                self.stop(request, history);
                self.release(request, done);
            }
        }
    }

    fn deadline(&mut self, request: usize) {
        if self.requests[request].ended {
            return;
        }
        let flow = self.flow(request);
        let index = self.requests[request].vm;
        if let Mind::Decided(mind) = &mut self.vms[index].mind
            && !self.requests[request].admitted
        {
            mind.admission.cancel(flow, request as u64);
        }
        let mut history = self.requests[request].history;
        if let Some(attempt) = self.requests[request].current.take() {
            // Bytes may have been read unless the connection was still being made.
            if !self.attempts[attempt].connecting {
                history = history.max(attempt::Execution::Unknown);
            }
            self.end_attempt(attempt, attempt::Outcome::TimedOut);
        }
        self.stop(request, history);
        self.release(request, admission::Outcome::Overloaded);
    }

    /// Tells the caller that there is no answer.
    fn stop(&mut self, request: usize, known: attempt::Execution) {
        let state = &mut self.requests[request];
        state.ended = true;
        state.told_not_run = known == attempt::Execution::NotRun;
    }

    fn end_attempt(&mut self, attempt: usize, end: attempt::Outcome) {
        let now = self.now;
        let target = self.attempts[attempt].target as u64 + 1;
        let index = self.requests[self.attempts[attempt].request].vm;
        if let Mind::Decided(mind) = &mut self.vms[index].mind {
            mind.router.finish(now, target, end);
        }
    }

    fn release(&mut self, request: usize, done: admission::Outcome) {
        if !std::mem::take(&mut self.requests[request].admitted) {
            return;
        }
        let now = self.now;
        let flow = self.flow(request);
        let index = self.requests[request].vm;
        if let Mind::Decided(mind) = &mut self.vms[index].mind {
            mind.admission.finish(now, flow, done);
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let now = self.now;
        loop {
            let Mind::Decided(mind) = &mut self.vms[index].mind else {
                return;
            };
            let free = mind.router.free_slots(now, SERVICE);
            let next = mind.admission.dequeue(now, SERVICE, free);
            if let Some(expired) = mind.admission.pop_expired() {
                let request = expired.id as usize;
                self.stop(request, self.requests[request].history);
                if let Some(ticket) = next {
                    self.requests[ticket.id as usize].admitted = true;
                    self.send(ticket.id as usize);
                }
                continue;
            }
            let Some(ticket) = next else {
                return;
            };
            let request = ticket.id as usize;
            self.requests[request].admitted = true;
            self.send(request);
        }
    }

    fn outcome(mut self, capacity: f64) -> Outcome {
        self.waits.sort_unstable_by(f64::total_cmp);
        let quantile = |part: f64| {
            let index = (self.waits.len() as f64 * part) as usize;
            self.waits
                .get(index.min(self.waits.len().saturating_sub(1)))
                .copied()
                .unwrap_or(0.0)
        };
        let window = self.scenario.window;
        let weights: u32 = WEIGHTS.iter().sum();
        let share_error = self
            .by_team
            .iter()
            .zip(WEIGHTS)
            .map(|(useful, weight)| {
                let share = *useful as f64 / self.useful.max(1) as f64;
                (share - f64::from(weight) / f64::from(weights)).abs()
            })
            .fold(0.0, f64::max);
        let sent: BTreeMap<bool, u64> = self.requests.iter().fold(BTreeMap::new(), |mut sent, request| {
            *sent.entry(true).or_insert(0) += u64::from(request.attempts > 0);
            *sent.entry(false).or_insert(0) += u64::from(request.attempts.saturating_sub(1));
            sent
        });
        let first = sent.get(&true).copied().unwrap_or(0).max(1) as f64;
        let extra = sent.get(&false).copied().unwrap_or(0) as f64;
        let duplicates = self
            .requests
            .iter()
            .filter(|request| !request.repeatable && request.runs > 1)
            .count();
        let wrong = self
            .requests
            .iter()
            .filter(|request| request.told_not_run && request.runs > 0)
            .count();
        let departing = self.targets.iter().filter_map(|target| target.departed);
        let departing = departing
            .map(|(at, last)| last.saturating_sub(at).as_secs_f64())
            .fold(0.0, f64::max);
        Outcome {
            goodput: self.useful as f64 / (capacity * window),
            wait: [quantile(0.5), quantile(0.95), quantile(0.99)],
            extra: extra / first * 100.0,
            remote_kib: self.remote as f64 / 1024.0 / (self.end.as_secs_f64()),
            share_error,
            duplicates: duplicates as f64,
            wrong_not_run: wrong as f64,
            departing,
        }
    }
}
