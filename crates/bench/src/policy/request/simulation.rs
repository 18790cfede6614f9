//! Discrete-event simulation of the request path in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use bronzespoke_model::{id, target};
use bronzespoke_request::{admission, attempt, retry, router};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    vm::{self, Engine, SERVICE},
    world,
};

const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Time without contact after which a VM drops remote targets (design 5).
const REMOTE_DROP_AFTER: Duration = Duration::from_millis(2500);
const CUT_LENGTH: Duration = Duration::from_secs(4);
const REQUEST_BYTES: u32 = 1024;
const RESPONSE_BYTES: u64 = 2048;
/// Fraction of requests that must not be repeated.
const UNREPEATABLE: f64 = 0.2;
/// Weights of the teams, all of which offer the same load.
const WEIGHTS: [u32; 4] = [1, 1, 2, 4];

/// Policy that admits, routes and retries requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    Production(router::LoadSource),
    RoundRobin,
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    pub seed: u64,
    pub overload: f64,
    pub slow: f64,
    pub cut: bool,
    /// Fraction of a zone's callers that the load balancer sends to the first of the zone's two VMs.
    pub first_vm: f64,
    pub window: f64,
}

/// Measured values of one run.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub goodput: f64,
    /// Waiting time without the run time, in milliseconds: 50th, 95th and 99th percentile.
    pub wait: [f64; 3],
    /// Attempts after the first, in percent of first attempts.
    pub extra: f64,
    pub remote_kib: f64,
    /// Largest deviation of a team's share of successes from its weighted share.
    pub share_error: f64,
    /// Unrepeatable requests that ran more than once.
    pub duplicates: f64,
    /// Requests that were reported as not run although they ran.
    pub wrong_not_run: f64,
    /// Seconds from a target's departure to the last attempt that it received.
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

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
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
    reported_not_run: bool,
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
    succeeded: u64,
    by_team: [u64; WEIGHTS.len()],
    remote: u64,
    /// Mean interval between arrivals, in seconds.
    mean_gap: f64,
    end: Duration,
}

/// Runs one scenario.
pub(super) fn run(scenario: &Scenario, policy: Policy) -> Outcome {
    let targets = world::targets(scenario.slow);
    let capacity: f64 = targets
        .iter()
        .map(|target| f64::from(world::SLOTS) / target.mean_run_time())
        .sum();
    let load_source = match policy {
        Policy::Production(load_source) => Some(load_source),
        Policy::RoundRobin => None,
    };
    let mut simulation = Simulation {
        scenario: *scenario,
        random: SmallRng::seed_from_u64(scenario.seed),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        sequence: 0,
        targets,
        vms: vm::vms(scenario.seed, load_source),
        requests: Vec::new(),
        attempts: Vec::new(),
        waits: Vec::new(),
        succeeded: 0,
        by_team: [0; WEIGHTS.len()],
        remote: 0,
        mean_gap: 1.0 / (capacity * scenario.overload),
        end: WARM_UP + Duration::from_secs_f64(scenario.window),
    };
    simulation.push(Duration::ZERO, Event::Gossip);
    simulation.push(Duration::from_millis(1), Event::Arrive);
    simulation.push(cut_start() + Duration::from_millis(600), Event::Depart);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        // By this time the cut, the departure and all deadlines have passed.
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
                // A target in the zone that is cut off is the harder case: the departure may not reach the other zones.
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

    /// Updates every VM with the targets that gossip shows it, with their current loads and departures.
    fn gossip(&mut self) {
        for target in &mut self.targets {
            target.status.in_flight = target.load();
        }
        for index in 0..self.vms.len() {
            let zone = self.vms[index].zone;
            let long_cut = self.now >= cut_start() + REMOTE_DROP_AFTER;
            let visible: Vec<(id::ServiceId, target::Status)> = self
                .targets
                .iter()
                .filter(|target| !(long_cut && self.is_cut(zone, target.status.place.zone)))
                .map(|target| (SERVICE, target.status.clone()))
                .collect();
            let during_cut = |status: &target::Status| !long_cut && self.is_cut(zone, status.place.zone);
            // Until it drops them, a VM keeps targets beyond the cut as last received, and does not see the departure.
            let visible: Vec<_> = visible
                .into_iter()
                .map(|(service, mut status)| {
                    status.departing &= !during_cut(&status);
                    (service, status)
                })
                .collect();
            let now = self.now;
            if let Engine::Production(engine) = &mut self.vms[index].engine {
                engine.router.apply(now, router::Update::Targets(&visible));
            }
            self.wake(index);
        }
        self.push(GOSSIP_INTERVAL, Event::Gossip);
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let interval = -self.mean_gap * self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        self.push(Duration::from_secs_f64(interval), Event::Arrive);
        let zone = self.random.random_range(0..world::TARGETS) % world::ZONES;
        let second = usize::from(!self.random.random_bool(self.scenario.first_vm));
        let request = self.requests.len();
        self.requests.push(Request {
            vm: zone + second * world::ZONES,
            team: self.random.random_range(0..WEIGHTS.len()),
            repeatable: !self.random.random_bool(UNREPEATABLE),
            arrived: self.now,
            attempts: 0,
            tried: Vec::new(),
            history: attempt::Execution::NotRun,
            current: None,
            admitted: false,
            ended: false,
            runs: 0,
            reported_not_run: false,
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
        let pending = admission::Request {
            id: request as u64,
            flow,
            weight: WEIGHTS[state.team],
            limit: u32::MAX,
            deadline: state.arrived + DEADLINE,
        };
        let now = self.now;
        let decision = match &mut self.vms[state.vm].engine {
            Engine::RoundRobin { .. } => admission::Decision::Admitted,
            Engine::Production(engine) => {
                if state.attempts == 0 {
                    engine.retry.record_request(flow);
                }
                let free = engine.router.free_slots(now, SERVICE);
                engine.admission.admit(now, pending, free)
            }
        };
        match decision {
            admission::Decision::Admitted => {
                self.requests[request].admitted = true;
                self.send(request);
            }
            admission::Decision::Queued => {}
            admission::Decision::Rejected { .. } => self.stop(request, self.requests[request].history),
        }
    }

    /// Sends an admitted request, or returns it to admission when no target has a free slot.
    fn send(&mut self, request: usize) {
        let now = self.now;
        let index = self.requests[request].vm;
        let target = match &mut self.vms[index].engine {
            Engine::RoundRobin { next } => {
                *next += 1;
                Some((*next % world::TARGETS) as u64 + 1)
            }
            Engine::Production(engine) => {
                let query = router::Request {
                    service: SERVICE,
                    exclude: &self.requests[request].tried,
                    bytes: REQUEST_BYTES + RESPONSE_BYTES as u32,
                };
                match engine.router.pick(now, &query) {
                    router::Choice::Target(target) => Some(target),
                    router::Choice::Full | router::Choice::NoTarget => None,
                }
            }
        };
        let Some(target) = target else {
            // As in the gateway, a request that is admitted again may use targets that it tried before.
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
            self.remote += u64::from(REQUEST_BYTES) + RESPONSE_BYTES;
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
        if self.random.random_bool(world::RESET_PROBABILITY) {
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
            self.succeeded += 1;
            self.by_team[state.team] += 1;
            let wait = now.saturating_sub(state.arrived).saturating_sub(run_time);
            self.waits.push(wait.as_secs_f64() * 1000.0);
        }
        self.end_attempt(attempt, attempt::Outcome::Success { latency, load });
        self.release(request, admission::Outcome::Success { latency });
    }

    fn failed(&mut self, attempt: usize, progress: attempt::Progress, outcome: attempt::Outcome) {
        let request = self.attempts[attempt].request;
        if self.requests[request].ended || self.requests[request].current != Some(attempt) {
            return;
        }
        self.requests[request].current = None;
        self.end_attempt(attempt, outcome);
        let state = &self.requests[request];
        let failed_attempt = retry::Attempt {
            flow: self.flow(request),
            repeatable: state.repeatable,
            progress,
            history: state.history,
            attempts: state.attempts,
            response_started: false,
            deadline: state.arrived + DEADLINE,
        };
        let now = self.now;
        let decision = match &mut self.vms[state.vm].engine {
            Engine::Production(engine) => engine.retry.decide(now, &failed_attempt),
            Engine::RoundRobin { .. } if state.attempts < vm::BASELINE_ATTEMPTS => {
                retry::Decision::Retry(state.history.max(progress.execution()))
            }
            Engine::RoundRobin { .. } => retry::Decision::GiveUp(state.history.max(progress.execution())),
        };
        match decision {
            retry::Decision::Retry(history) => {
                self.requests[request].history = history;
                self.send(request);
            }
            retry::Decision::GiveUp(history) => {
                let done = match outcome {
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
        if let Engine::Production(engine) = &mut self.vms[index].engine
            && !self.requests[request].admitted
        {
            engine.admission.cancel(flow, request as u64);
        }
        let mut history = self.requests[request].history;
        if let Some(attempt) = self.requests[request].current.take() {
            // Once connected, the target may have read the request and started the run.
            if !self.attempts[attempt].connecting {
                history = history.max(attempt::Execution::Unknown);
            }
            self.end_attempt(attempt, attempt::Outcome::TimedOut);
        }
        self.stop(request, history);
        self.release(request, admission::Outcome::Overloaded);
    }

    /// Reports an error with the state of the run to the caller.
    fn stop(&mut self, request: usize, execution: attempt::Execution) {
        let state = &mut self.requests[request];
        state.ended = true;
        state.reported_not_run = execution == attempt::Execution::NotRun;
    }

    fn end_attempt(&mut self, attempt: usize, outcome: attempt::Outcome) {
        let now = self.now;
        let target = self.attempts[attempt].target as u64 + 1;
        let index = self.requests[self.attempts[attempt].request].vm;
        if let Engine::Production(engine) = &mut self.vms[index].engine {
            engine.router.finish(now, target, outcome);
        }
    }

    fn release(&mut self, request: usize, done: admission::Outcome) {
        if !std::mem::take(&mut self.requests[request].admitted) {
            return;
        }
        let now = self.now;
        let flow = self.flow(request);
        let index = self.requests[request].vm;
        if let Engine::Production(engine) = &mut self.vms[index].engine {
            engine.admission.finish(now, flow, done);
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let now = self.now;
        loop {
            let Engine::Production(engine) = &mut self.vms[index].engine else {
                return;
            };
            let free = engine.router.free_slots(now, SERVICE);
            let next = engine.admission.dequeue(now, SERVICE, free);
            if let Some(expired) = engine.admission.pop_expired() {
                let request = expired.id as usize;
                self.stop(request, self.requests[request].history);
                if let Some(admitted) = next {
                    self.requests[admitted.id as usize].admitted = true;
                    self.send(admitted.id as usize);
                }
                continue;
            }
            let Some(admitted) = next else {
                return;
            };
            let request = admitted.id as usize;
            self.requests[request].admitted = true;
            self.send(request);
        }
    }

    fn outcome(mut self, capacity: f64) -> Outcome {
        self.waits.sort_unstable_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let index = (self.waits.len() as f64 * fraction) as usize;
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
            .map(|(succeeded, weight)| {
                let share = *succeeded as f64 / self.succeeded.max(1) as f64;
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
            .filter(|request| request.reported_not_run && request.runs > 0)
            .count();
        let departing = self.targets.iter().filter_map(|target| target.departed);
        let departing = departing
            .map(|(at, last)| last.saturating_sub(at).as_secs_f64())
            .fold(0.0, f64::max);
        Outcome {
            goodput: self.succeeded as f64 / (capacity * window),
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
