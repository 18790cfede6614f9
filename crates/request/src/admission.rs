//! Which requests may run now, which wait, and which are refused before anything was sent.
//!
//! Each team and service has a bounded queue. Between the queues of a service the start-time fair rule applies:
//! every start moves a queue's virtual time on by one over its weight, and the queue that is furthest behind is
//! next. A request that cannot be answered by its deadline is refused when it arrives, not after it has waited.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bronzespoke_model::id;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::rules;

/// Requests that one flow may have waiting.
pub const QUEUE_PER_FLOW: usize = 256;
/// Requests that may wait on one VM over all flows.
pub const QUEUE_TOTAL: usize = 16_384;
/// Flows that one VM keeps; beyond it, a new flow is refused.
pub const MAX_FLOWS: usize = 8192;
/// Shortest and longest advice to a refused caller.
pub const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));
/// Smallest adaptive limit, so that a service never stops entirely.
const LIMIT_MIN: f64 = 4.0;
/// Factor by which a sign of overload lowers the limit.
const LIMIT_DECREASE: f64 = 0.9;
/// Requests that a round without overload adds to a limit that was reached, at least.
const LIMIT_INCREASE: f64 = 2.0;
/// Part of the limit that such a round adds, if that is more.
const LIMIT_GROWTH: f64 = 0.05;
/// Weight of a new sample in the running means.
const SMOOTHING: f64 = 0.05;
/// Deviations above the mean that the expected run time covers.
const RUN_TIME_DEVIATIONS: f64 = 3.0;
/// Part of the time left before the deadline that a request may be expected to wait; the rest covers errors of the
/// estimate.
const WAIT_PART: f64 = 0.125;
/// Part of answers in a round that may be signs of overload before the limit is lowered.
const OVERLOAD_PART: f64 = 0.1;

/// Whom a request is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Owner {
    /// A team.
    Team(id::TeamId),
    /// An open queue.
    Queue(id::QueueId),
}

/// Requests of one owner to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The service.
    pub service: id::ServiceId,
    /// The owner.
    pub owner: Owner,
}

/// A request that asks to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Number given by the gateway, unique on the VM.
    pub id: u64,
    /// Owner and service.
    pub flow: Flow,
    /// Weight of the owner's share; 0 counts as 1.
    pub weight: u32,
    /// Requests that the owner may have in flight on this VM, over all services.
    pub limit: u32,
    /// Instant by which the answer is needed.
    pub deadline: Duration,
}

/// Why a request is refused; nothing of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The owner's queue or the VM's queue space is full.
    QueueFull,
    /// It would not be answered by its deadline.
    Deadline,
    /// The owner's limit gives this VM no part.
    NoAllotment,
}

/// Answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Admitted,
    /// It waits; [`Admission::dequeue`] returns it when it may run.
    Queued,
    /// Refused without having been sent.
    Rejected {
        /// Why.
        reason: Reason,
        /// When to try again, with jitter.
        retry_after: Duration,
    },
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in time.
    Success {
        /// Time from the start to the answer.
        latency: Duration,
    },
    /// A target had no room, or the deadline passed while it ran.
    Overloaded,
    /// Any other end; says nothing about capacity.
    Ignored,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Request>,
    virtual_time: f64,
    listed: bool,
}

#[derive(Debug)]
struct Service {
    in_flight: u32,
    limit: f64,
    round_at: Duration,
    virtual_time: f64,
    run_time: f64,
    deviation: f64,
    /// Ends and signs of overload in this round.
    round: (u32, u32),
    /// Most requests in flight in this round.
    peak: u32,
    interval: f64,
    last_start: Duration,
    waiting: usize,
    waiting_weight: u64,
    /// Queues with waiting requests whose owner is below its limit, by virtual time in bits and flow.
    ready: BTreeSet<(u64, Flow)>,
}

/// Admission of one entry VM.
#[derive(Debug)]
pub struct Admission {
    rules: rules::Rules,
    random: SmallRng,
    queues: HashMap<Flow, Queue>,
    services: HashMap<id::ServiceId, Service>,
    owners: HashMap<Owner, u32>,
    waiting: usize,
    expired: Vec<Request>,
}

impl Admission {
    /// Returns an admission without requests; `seed` is for the jitter only.
    pub fn new(seed: u64, rules: rules::Rules) -> Self {
        Self {
            rules,
            random: SmallRng::seed_from_u64(seed),
            queues: HashMap::new(),
            services: HashMap::new(),
            owners: HashMap::new(),
            waiting: 0,
            expired: Vec::new(),
        }
    }

    /// Decides about a new request; `free` is the room that routing sees for the service.
    pub fn admit(&mut self, now: Duration, request: Request, free: u32) -> Decision {
        let flow = request.flow;
        if request.limit == 0 && self.rules.team_limit {
            return self.refuse(Reason::NoAllotment, RETRY_AFTER.1);
        }
        let below = self.owner_in_flight(flow.owner) < request.limit || !self.rules.team_limit;
        let service = self.services.entry(flow.service).or_insert_with(Service::new);
        if service.waiting == 0 && free > 0 && below && service.has_room() {
            self.start(now, &request);
            return Decision::Admitted;
        }
        let known = self.queues.get(&flow);
        let length = known.map_or(0, |queue| queue.waiting.len());
        let full = length >= QUEUE_PER_FLOW
            || self.waiting >= QUEUE_TOTAL
            || (known.is_none() && self.queues.len() >= MAX_FLOWS);
        let wait = service.expected_wait(length, request.weight);
        if full && self.rules.queue_bound {
            return self.refuse(Reason::QueueFull, wait);
        }
        let left = request
            .deadline
            .saturating_sub(now)
            .saturating_sub(service.expected_run());
        if wait > left.mul_f64(WAIT_PART) || left.is_zero() {
            return self.refuse(Reason::Deadline, wait);
        }
        self.enqueue(request, below);
        Decision::Queued
    }

    /// Returns the next waiting request of a service that may run, given `free` room at its targets.
    ///
    /// Requests that could not be answered by their deadline any more are passed over; [`Admission::pop_expired`]
    /// returns them.
    pub fn dequeue(&mut self, now: Duration, service: id::ServiceId, free: u32) -> Option<Request> {
        let state = self.services.get_mut(&service)?;
        if free == 0 || !state.has_room() {
            return None;
        }
        while let Some((_, flow)) = self.services.get_mut(&service)?.ready.pop_first() {
            self.expire(now, flow);
            let Some(queue) = self.queues.get_mut(&flow) else {
                continue;
            };
            queue.listed = false;
            let Some(request) = queue.waiting.front().copied() else {
                self.list(flow);
                continue;
            };
            if self.rules.team_limit && self.owner_in_flight(flow.owner) >= request.limit {
                continue;
            }
            self.dequeue_front(flow, true);
            self.start(now, &request);
            self.list(flow);
            return Some(request);
        }
        None
    }

    /// Returns a request that was passed over because it could not be answered in time; it was not sent.
    pub fn pop_expired(&mut self) -> Option<Request> {
        self.expired.pop()
    }

    /// Records the end of a request that was started.
    pub fn finish(&mut self, now: Duration, flow: Flow, outcome: Outcome) {
        if let Some(service) = self.services.get_mut(&flow.service) {
            service.in_flight = service.in_flight.saturating_sub(1);
            service.record_outcome(now, outcome);
        }
        if let Some(count) = self.owners.get_mut(&flow.owner) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.owners.remove(&flow.owner);
            }
        }
        self.list(flow);
        let others: Vec<Flow> = self.blocked_flows(flow);
        for other in others {
            self.list(other);
        }
    }

    /// Removes a waiting request whose caller is gone or whose deadline passed; false when it is not waiting.
    pub fn cancel(&mut self, flow: Flow, id: u64) -> bool {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return false;
        };
        let Some(position) = queue.waiting.iter().position(|waiting| waiting.id == id) else {
            return false;
        };
        if position == 0 {
            self.dequeue_front(flow, false);
            return true;
        }
        queue.waiting.remove(position);
        self.waiting -= 1;
        if let Some(service) = self.services.get_mut(&flow.service) {
            service.waiting -= 1;
        }
        true
    }

    /// Returns requests in flight and waiting.
    pub fn counts(&self) -> (u32, usize) {
        let in_flight = self.services.values().map(|service| service.in_flight).sum();
        (in_flight, self.waiting)
    }

    /// Returns the adaptive limit of a service.
    pub fn limit(&self, service: id::ServiceId) -> Option<u32> {
        self.services.get(&service).map(|state| state.limit as u32)
    }

    /// Checks the counters against the queues.
    pub fn verify(&self) -> Result<(), String> {
        let waiting: usize = self.queues.values().map(|queue| queue.waiting.len()).sum();
        if waiting != self.waiting {
            return Err(format!(
                "{waiting} requests wait but {} are counted",
                self.waiting
            ));
        }
        let by_service: usize = self.services.values().map(|service| service.waiting).sum();
        if by_service != waiting {
            return Err(format!("{waiting} requests wait but services count {by_service}"));
        }
        let owners: u32 = self.owners.values().sum();
        let in_flight = self.counts().0;
        if owners != in_flight {
            return Err(format!("{in_flight} requests run but owners count {owners}"));
        }
        if self.rules.queue_bound && waiting > QUEUE_TOTAL {
            return Err(format!("{waiting} requests wait, {QUEUE_TOTAL} are allowed"));
        }
        Ok(())
    }

    fn owner_in_flight(&self, owner: Owner) -> u32 {
        self.owners.get(&owner).copied().unwrap_or(0)
    }

    /// Flows of the same owner to other services, which may have waited for the owner's limit.
    fn blocked_flows(&self, flow: Flow) -> Vec<Flow> {
        if self.waiting == 0 || self.services.len() < 2 {
            return Vec::new();
        }
        self.services
            .keys()
            .filter(|service| **service != flow.service)
            .map(|service| Flow {
                service: *service,
                owner: flow.owner,
            })
            .filter(|other| self.queues.contains_key(other))
            .collect()
    }

    fn refuse(&mut self, reason: Reason, wait: Duration) -> Decision {
        let base = wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1 / 2);
        // Jitter spreads the callers that were refused together, so that they do not return together.
        let retry_after = base.mul_f64(self.random.random_range(1.0..2.0));
        Decision::Rejected { reason, retry_after }
    }

    fn start(&mut self, now: Duration, request: &Request) {
        *self.owners.entry(request.flow.owner).or_insert(0) += 1;
        let service = self
            .services
            .get_mut(&request.flow.service)
            .expect("the service was entered at the offer");
        service.in_flight += 1;
        service.peak = service.peak.max(service.in_flight);
        service.started(now);
    }

    fn enqueue(&mut self, request: Request, below: bool) {
        let service = self
            .services
            .entry(request.flow.service)
            .or_insert_with(Service::new);
        let queue = self.queues.entry(request.flow).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(service.virtual_time);
            service.waiting_weight += u64::from(request.weight.max(1));
        }
        queue.waiting.push_back(request);
        service.waiting += 1;
        self.waiting += 1;
        if below {
            self.list(request.flow);
        }
    }

    /// Passes over requests at the front of a queue that have too little time left to be answered.
    fn expire(&mut self, now: Duration, flow: Flow) {
        let run_time = self
            .services
            .get(&flow.service)
            .map_or(Duration::ZERO, Service::expected_run);
        loop {
            let front = self
                .queues
                .get(&flow)
                .and_then(|queue| queue.waiting.front().copied());
            let Some(request) = front.filter(|request| now + run_time >= request.deadline) else {
                return;
            };
            self.dequeue_front(flow, false);
            self.expired.push(request);
        }
    }

    fn dequeue_front(&mut self, flow: Flow, started: bool) {
        let queue = self.queues.get_mut(&flow).expect("the flow has a queue");
        let request = queue.waiting.pop_front().expect("the queue is not empty");
        let service = self
            .services
            .get_mut(&flow.service)
            .expect("the service is known");
        let weight = u64::from(request.weight.max(1));
        service.virtual_time = service.virtual_time.max(queue.virtual_time);
        if self.rules.fair_queues && started {
            queue.virtual_time += 1.0 / weight as f64;
        }
        service.waiting -= 1;
        self.waiting -= 1;
        if queue.waiting.is_empty() {
            service.waiting_weight = service.waiting_weight.saturating_sub(weight);
            // An empty queue whose virtual time is not ahead of the service carries no information.
            if !queue.listed && queue.virtual_time <= service.virtual_time {
                self.queues.remove(&flow);
            }
        }
    }

    fn list(&mut self, flow: Flow) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        if queue.listed {
            return;
        }
        if queue.waiting.is_empty() {
            let idle = self
                .services
                .get(&flow.service)
                .is_none_or(|service| service.waiting == 0);
            if idle {
                self.queues.remove(&flow);
            }
            return;
        }
        queue.listed = true;
        let service = self
            .services
            .get_mut(&flow.service)
            .expect("the service is known");
        // Virtual times are not negative, so their bits sort as they do.
        service.ready.insert((queue.virtual_time.to_bits(), flow));
    }
}

impl Service {
    fn new() -> Self {
        Self {
            in_flight: 0,
            limit: f64::from(u16::MAX),
            round_at: Duration::ZERO,
            virtual_time: 0.0,
            run_time: 0.0,
            deviation: 0.0,
            round: (0, 0),
            peak: 0,
            interval: 0.0,
            last_start: Duration::ZERO,
            waiting: 0,
            waiting_weight: 0,
            ready: BTreeSet::new(),
        }
    }

    fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    fn started(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_start).as_secs_f64();
        self.last_start = now;
        // Idle gaps say nothing about how fast a backlog is worked off.
        if self.waiting > 0 {
            self.interval += (gap - self.interval) * SMOOTHING;
        }
    }

    /// Run time that most requests keep within.
    fn expected_run(&self) -> Duration {
        Duration::from_secs_f64(self.run_time + RUN_TIME_DEVIATIONS * self.deviation)
    }

    /// Time until a request behind `ahead` others of its flow starts.
    fn expected_wait(&self, ahead: usize, weight: u32) -> Duration {
        let weight = f64::from(weight.max(1));
        let total = (self.waiting_weight as f64).max(weight);
        let seconds = (ahead + 1) as f64 * self.interval * total / weight;
        Duration::from_secs_f64(seconds.min(3600.0))
    }

    fn record_outcome(&mut self, now: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Success { latency } => {
                self.round.0 += 1;
                self.record_run_time(latency.as_secs_f64());
            }
            Outcome::Overloaded => {
                self.round.0 += 1;
                self.round.1 += 1;
            }
            Outcome::Ignored => {}
        }
        self.end_round(now);
    }

    fn record_run_time(&mut self, sample: f64) {
        if self.run_time == 0.0 {
            self.run_time = sample;
            return;
        }
        self.deviation += ((sample - self.run_time).abs() - self.deviation) * SMOOTHING;
        self.run_time += (sample - self.run_time) * SMOOTHING;
    }

    /// Lowers the limit when a round of answers shows overload; single signs are left to routing.
    fn end_round(&mut self, now: Duration) {
        let round = Duration::from_secs_f64(self.run_time.max(0.001));
        if now.saturating_sub(self.round_at) < round {
            return;
        }
        let (ended, overloaded) = std::mem::take(&mut self.round);
        self.round_at = now;
        let peak = std::mem::replace(&mut self.peak, self.in_flight);
        let used = f64::from(peak).min(self.limit);
        if f64::from(overloaded) > f64::from(ended) * OVERLOAD_PART {
            self.limit = (used * LIMIT_DECREASE).max(LIMIT_MIN);
        } else if used + 1.0 > self.limit {
            // Only a limit that was reached is raised, else it would tell nothing when it is needed.
            let step = LIMIT_INCREASE.max(self.limit * LIMIT_GROWTH);
            self.limit = (self.limit + step).min(f64::from(u16::MAX));
        }
    }
}
