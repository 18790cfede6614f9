//! Admission control: decides which requests are sent now, which are queued, and which are rejected.
//!
//! Every pair of owner and service has a bounded queue. The queues of a service share its capacity by start-time
//! fair queueing: each start advances the virtual time of its queue by 1 / weight, and the queue with the lowest
//! virtual time is served next. A request that is not expected to complete by its deadline is rejected on arrival
//! instead of after waiting.
//!
//! A concurrency limit per service adapts to overload by additive increase and multiplicative decrease.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bronzespoke_model::id;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::rules;

/// Maximum number of queued requests per flow.
pub const QUEUE_PER_FLOW: usize = 256;
/// Maximum number of queued requests on one VM, over all flows.
pub const QUEUE_TOTAL: usize = 16_384;
/// Maximum number of flows with a queue on one VM; a request of a further flow is rejected if it cannot start
/// immediately.
pub const MAX_FLOWS: usize = 8192;
/// Minimum and maximum time after which a rejected caller is asked to retry.
pub const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));
/// Minimum concurrency limit, so that a service never stops entirely.
const LIMIT_MIN: f64 = 4.0;
/// Factor by which a round with overload lowers the concurrency limit.
const LIMIT_DECREASE: f64 = 0.9;
/// Minimum increase after a round without overload in which the limit was reached.
const LIMIT_INCREASE_MIN: f64 = 2.0;
/// Increase after such a round as a fraction of the limit; the larger of both applies.
const LIMIT_INCREASE_FRACTION: f64 = 0.05;
/// Weight of a new sample in the exponentially weighted moving averages.
const SMOOTHING: f64 = 0.05;
/// Number of deviations above the mean in the expected latency, so that most requests keep within it.
const LATENCY_DEVIATIONS: f64 = 3.0;
/// Fraction of the time remaining until the deadline that the expected wait may take. The rest covers errors of the
/// estimate.
const MAX_WAIT_FRACTION: f64 = 0.125;
/// Fraction of overloaded requests in a round above which the limit is lowered.
const OVERLOAD_THRESHOLD: f64 = 0.1;

/// Team or open queue whose quota a request counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Owner {
    /// The team of the caller's key.
    Team(id::TeamId),
    /// An open queue, which needs no key.
    Queue(id::QueueId),
}

/// Requests of one owner to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// Service that the requests are sent to.
    pub service: id::ServiceId,
    /// Team or open queue that the requests count against.
    pub owner: Owner,
}

/// A request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Id assigned by the gateway, unique on the VM.
    pub id: u64,
    /// Owner and service of the request; selects its queue.
    pub flow: Flow,
    /// Weight of the owner in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Maximum number of requests that the owner may have in flight on this VM, over all services.
    pub limit: u32,
    /// Time by which the caller needs the response.
    pub deadline: Duration,
}

/// Why a request is rejected; nothing of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The queue of the flow is full, or the VM holds too many queued requests or flows.
    QueueFull,
    /// The request is not expected to complete by its deadline.
    Deadline,
    /// This VM's allotment of the owner's limit is zero.
    NoAllotment,
}

/// Result of [`Admission::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent now.
    Admitted,
    /// The request waits; [`Admission::dequeue`] returns it when it may be sent.
    Queued,
    /// The request is rejected without having been sent.
    Rejected {
        /// Which bound the request would exceed.
        reason: Reason,
        /// Time after which the caller may retry, with jitter.
        retry_after: Duration,
    },
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A response came in time.
    Success {
        /// Time from the start to the end of the response.
        latency: Duration,
    },
    /// A target had no free slot, or the deadline passed while the request ran.
    Overloaded,
    /// Any other end, which does not reflect on the capacity of the service.
    Ignored,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Request>,
    virtual_time: f64,
    in_ready: bool,
}

#[derive(Debug)]
struct Service {
    in_flight: u32,
    limit: f64,
    round_start: Duration,
    virtual_time: f64,
    mean_latency: f64,
    deviation: f64,
    /// Requests ended and, of these, overloaded in the current round.
    round: (u32, u32),
    /// Maximum number of requests in flight in the current round.
    peak: u32,
    start_interval: f64,
    last_start: Duration,
    waiting: usize,
    waiting_weight: u64,
    /// Flows with queued requests whose owner is below its limit, ordered by the bits of the virtual time.
    ready: BTreeSet<(u64, Flow)>,
}

/// Admission control of one entry VM.
#[derive(Debug)]
pub struct Admission {
    rules: rules::Rules,
    rng: SmallRng,
    queues: HashMap<Flow, Queue>,
    services: HashMap<id::ServiceId, Service>,
    owners: HashMap<Owner, u32>,
    waiting: usize,
    expired: Vec<Request>,
}

impl Admission {
    /// Creates an admission control without requests; `seed` is only used for jitter.
    pub fn new(seed: u64, rules: rules::Rules) -> Self {
        Self {
            rules,
            rng: SmallRng::seed_from_u64(seed),
            queues: HashMap::new(),
            services: HashMap::new(),
            owners: HashMap::new(),
            waiting: 0,
            expired: Vec::new(),
        }
    }

    /// Decides whether to admit a new request, given `free` slots at the targets of its service.
    pub fn admit(&mut self, now: Duration, request: Request, free: u32) -> Decision {
        let flow = request.flow;
        if request.limit == 0 && self.rules.team_limit {
            return self.reject(Reason::NoAllotment, RETRY_AFTER.1);
        }
        let below_limit = self.owner_in_flight(flow.owner) < request.limit || !self.rules.team_limit;
        let service = self.services.entry(flow.service).or_insert_with(Service::new);
        if service.waiting == 0 && free > 0 && below_limit && service.has_room() {
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
            return self.reject(Reason::QueueFull, wait);
        }
        let remaining = request
            .deadline
            .saturating_sub(now)
            .saturating_sub(service.expected_latency());
        if wait > remaining.mul_f64(MAX_WAIT_FRACTION) || remaining.is_zero() {
            return self.reject(Reason::Deadline, wait);
        }
        self.enqueue(request, below_limit);
        Decision::Queued
    }

    /// Returns the next queued request of a service that may be sent, given `free` slots at its targets.
    ///
    /// Requests that can no longer complete by their deadline are removed from their queue;
    /// [`Admission::pop_expired`] returns them.
    pub fn dequeue(&mut self, now: Duration, service: id::ServiceId, free: u32) -> Option<Request> {
        let state = self.services.get_mut(&service)?;
        if free == 0 || !state.has_room() {
            return None;
        }
        while let Some((_, flow)) = self.services.get_mut(&service)?.ready.pop_first() {
            self.expire_front(now, flow);
            let Some(queue) = self.queues.get_mut(&flow) else {
                continue;
            };
            queue.in_ready = false;
            let Some(request) = queue.waiting.front().copied() else {
                self.mark_ready(flow);
                continue;
            };
            if self.rules.team_limit && self.owner_in_flight(flow.owner) >= request.limit {
                continue;
            }
            self.dequeue_front(flow, true);
            self.start(now, &request);
            self.mark_ready(flow);
            return Some(request);
        }
        None
    }

    /// Returns a queued request that was dropped because it could not complete in time; it was not sent.
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
        self.mark_ready(flow);
        let others: Vec<Flow> = self.blocked_flows(flow);
        for other in others {
            self.mark_ready(other);
        }
    }

    /// Removes a queued request whose caller disconnected or whose deadline passed; returns whether it was queued.
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

    /// Returns the number of requests in flight and the number of queued requests.
    pub fn counts(&self) -> (u32, usize) {
        let in_flight = self.services.values().map(|service| service.in_flight).sum();
        (in_flight, self.waiting)
    }

    /// Returns the current concurrency limit of a service.
    pub fn limit(&self, service: id::ServiceId) -> Option<u32> {
        self.services.get(&service).map(|state| state.limit as u32)
    }

    /// Checks that the counters agree with the queues.
    pub fn verify(&self) -> Result<(), String> {
        let waiting: usize = self.queues.values().map(|queue| queue.waiting.len()).sum();
        if waiting != self.waiting {
            return Err(format!(
                "{waiting} requests are queued, but the total is {}",
                self.waiting
            ));
        }
        let by_service: usize = self.services.values().map(|service| service.waiting).sum();
        if by_service != waiting {
            return Err(format!(
                "{waiting} requests are queued, but the services count {by_service}"
            ));
        }
        let owners: u32 = self.owners.values().sum();
        let in_flight = self.counts().0;
        if owners != in_flight {
            return Err(format!(
                "{in_flight} requests are in flight, but the owners count {owners}"
            ));
        }
        if self.rules.queue_bound && waiting > QUEUE_TOTAL {
            return Err(format!(
                "{waiting} requests are queued, but at most {QUEUE_TOTAL} are allowed"
            ));
        }
        Ok(())
    }

    fn owner_in_flight(&self, owner: Owner) -> u32 {
        self.owners.get(&owner).copied().unwrap_or(0)
    }

    /// Returns flows of the same owner to other services, which may have been held back by the owner's limit.
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

    fn reject(&mut self, reason: Reason, wait: Duration) -> Decision {
        let base = wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1 / 2);
        // Jitter spreads callers that were rejected together, so that they do not all retry together.
        let retry_after = base.mul_f64(self.rng.random_range(1.0..2.0));
        Decision::Rejected { reason, retry_after }
    }

    fn start(&mut self, now: Duration, request: &Request) {
        *self.owners.entry(request.flow.owner).or_insert(0) += 1;
        let service = self
            .services
            .get_mut(&request.flow.service)
            .expect("admit inserts the service");
        service.in_flight += 1;
        service.peak = service.peak.max(service.in_flight);
        service.record_start(now);
    }

    fn enqueue(&mut self, request: Request, below_limit: bool) {
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
        if below_limit {
            self.mark_ready(request.flow);
        }
    }

    /// Drops requests at the front of a queue that can no longer complete by their deadline.
    fn expire_front(&mut self, now: Duration, flow: Flow) {
        let expected_latency = self
            .services
            .get(&flow.service)
            .map_or(Duration::ZERO, Service::expected_latency);
        loop {
            let front = self
                .queues
                .get(&flow)
                .and_then(|queue| queue.waiting.front().copied());
            let Some(request) = front.filter(|request| now + expected_latency >= request.deadline) else {
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
            // An empty queue whose virtual time is not ahead of the service's holds no state worth keeping.
            if !queue.in_ready && queue.virtual_time <= service.virtual_time {
                self.queues.remove(&flow);
            }
        }
    }

    fn mark_ready(&mut self, flow: Flow) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        if queue.in_ready {
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
        queue.in_ready = true;
        let service = self
            .services
            .get_mut(&flow.service)
            .expect("the service is known");
        // Virtual times are not negative, so their bit patterns sort in the same order.
        service.ready.insert((queue.virtual_time.to_bits(), flow));
    }
}

impl Service {
    fn new() -> Self {
        Self {
            in_flight: 0,
            limit: f64::from(u16::MAX),
            round_start: Duration::ZERO,
            virtual_time: 0.0,
            mean_latency: 0.0,
            deviation: 0.0,
            round: (0, 0),
            peak: 0,
            start_interval: 0.0,
            last_start: Duration::ZERO,
            waiting: 0,
            waiting_weight: 0,
            ready: BTreeSet::new(),
        }
    }

    fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    fn record_start(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_start).as_secs_f64();
        self.last_start = now;
        // Gaps without a backlog say nothing about how fast a backlog drains.
        if self.waiting > 0 {
            self.start_interval += (gap - self.start_interval) * SMOOTHING;
        }
    }

    /// Latency that most requests keep within.
    fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean_latency + LATENCY_DEVIATIONS * self.deviation)
    }

    /// Expected time until a request behind `ahead` others of its flow starts.
    fn expected_wait(&self, ahead: usize, weight: u32) -> Duration {
        let weight = f64::from(weight.max(1));
        let total = (self.waiting_weight as f64).max(weight);
        let seconds = (ahead + 1) as f64 * self.start_interval * total / weight;
        Duration::from_secs_f64(seconds.min(3600.0))
    }

    fn record_outcome(&mut self, now: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Success { latency } => {
                self.round.0 += 1;
                self.record_latency(latency.as_secs_f64());
            }
            Outcome::Overloaded => {
                self.round.0 += 1;
                self.round.1 += 1;
            }
            Outcome::Ignored => {}
        }
        self.end_round(now);
    }

    fn record_latency(&mut self, sample: f64) {
        if self.mean_latency == 0.0 {
            self.mean_latency = sample;
            return;
        }
        self.deviation += ((sample - self.mean_latency).abs() - self.deviation) * SMOOTHING;
        self.mean_latency += (sample - self.mean_latency) * SMOOTHING;
    }

    /// Ends a round, which lasts one mean latency, and adapts the concurrency limit to it.
    ///
    /// A single overloaded request does not lower the limit; the router handles it by using other targets.
    fn end_round(&mut self, now: Duration) {
        let round = Duration::from_secs_f64(self.mean_latency.max(0.001));
        if now.saturating_sub(self.round_start) < round {
            return;
        }
        let (ended, overloaded) = std::mem::take(&mut self.round);
        self.round_start = now;
        let peak = std::mem::replace(&mut self.peak, self.in_flight);
        let used = f64::from(peak).min(self.limit);
        if f64::from(overloaded) > f64::from(ended) * OVERLOAD_THRESHOLD {
            self.limit = (used * LIMIT_DECREASE).max(LIMIT_MIN);
        } else if used + 1.0 > self.limit {
            // A limit that was not reached is not raised. Otherwise it would grow while idle and not bound anything under
            // load.
            let step = LIMIT_INCREASE_MIN.max(self.limit * LIMIT_INCREASE_FRACTION);
            self.limit = (self.limit + step).min(f64::from(u16::MAX));
        }
    }
}
