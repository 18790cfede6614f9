//! Load balancer of one entry VM: admission, target selection and retries behind one lock.
//!
//! The lock is only held for single decisions. Guards report the end of every request and attempt exactly once.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_clock as clock;
use bronzespoke_model::{id, target, vm};
use bronzespoke_request::{admission, allotment, attempt, retry, router, rules};
use http::StatusCode;
use tokio::sync::oneshot;

use crate::{control, error, settings};

struct State {
    admission: admission::Admission,
    router: router::Router,
    retry: retry::Retry,
    waiters: HashMap<u64, oneshot::Sender<(Permit, Pick)>>,
    last_id: u64,
    services: Vec<id::ServiceId>,
}

/// Admission control, target selection and retries of one entry VM.
pub(crate) struct Balancer {
    origin: clock::Origin,
    state: Mutex<State>,
}

/// Guard of an admitted request; dropping it reports the end of the request.
pub(crate) struct Permit {
    balancer: Arc<Balancer>,
    flow: admission::Flow,
    outcome: admission::Outcome,
    armed: bool,
}

/// Guard of an attempt on a picked target; dropping it reports that the attempt was abandoned or lost to its hedge.
pub(crate) struct Pick {
    balancer: Arc<Balancer>,
    /// Target that the request is sent to.
    pub target: id::TargetId,
    /// Address of the target.
    pub address: std::net::SocketAddr,
    /// This VM's allotment of connections to the target.
    pub connections: u32,
    service: id::ServiceId,
    remote: bool,
    started: Instant,
    lost_hedge: Arc<AtomicBool>,
    armed: bool,
}

/// Properties of a request that admission and routing depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub flow: admission::Flow,
    pub weight: u32,
    pub limit: u32,
    pub deadline: Duration,
    pub bytes: u32,
}

impl Balancer {
    pub(crate) fn new(settings: &settings::Settings, handle: &control::Handle) -> Self {
        let rules = rules::Rules::default();
        let config = &handle.view.borrow().config;
        let router = router::Router::new(router::Config {
            own: allotment::Entry {
                vm: settings.vm,
                place: handle.place,
            },
            remote_bytes_per_second: config.remote_bytes_per_second,
            seed: settings.seed,
            load_source: router::LoadSource::default(),
            rules,
        });
        Self {
            origin: handle.freshness.origin(),
            state: Mutex::new(State {
                admission: admission::Admission::new(settings.seed, rules),
                router,
                retry: retry::Retry::new(config.retry_percent, rules),
                waiters: HashMap::new(),
                last_id: 0,
                services: Vec::new(),
            }),
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts a time since the process started to an instant.
    pub(crate) fn instant(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.origin.instant(time))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the latest views of the cell and of the targets.
    pub(crate) fn refresh(self: &Arc<Self>, view: &control::View, targets: &control::Targets) {
        let now = self.now();
        let entries = entries(view);
        let known: Vec<(id::ServiceId, target::Status)> = targets
            .usable
            .iter()
            .filter_map(|status| {
                let service = view.services.get(&status.announcement.service)?;
                Some((service.id, status.clone()))
            })
            .collect();
        let mut state = self.lock();
        state.retry.set_percent(view.config.retry_percent);
        let router = &mut state.router;
        router.apply(
            now,
            router::Update::RemoteBudget(view.config.remote_bytes_per_second),
        );
        router.apply(now, router::Update::Entries(entries));
        router.apply(now, router::Update::Targets(&known));
        let mut services: Vec<id::ServiceId> = view.services.values().map(|service| service.id).collect();
        services.sort_unstable();
        state.services = services;
        self.wake_all(&mut state, now);
    }

    /// Starts waiting requests for which time alone freed capacity, such as by the readmission of a target.
    pub(crate) fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.lock();
        if !state.waiters.is_empty() {
            self.wake_all(&mut state, now);
        }
    }

    fn wake_all(self: &Arc<Self>, state: &mut State, now: Duration) {
        for index in 0..state.services.len() {
            let service = state.services[index];
            self.wake(state, now, service);
        }
    }

    /// Waits until the request is admitted; the first target is picked in the same step.
    pub(crate) async fn admit(self: &Arc<Self>, request: Request) -> Result<(Permit, Pick), error::Error> {
        let (queued, receiver) = {
            let now = self.now();
            let mut state = self.lock();
            state.last_id += 1;
            let queued = admission::Request {
                id: state.last_id,
                flow: request.flow,
                weight: request.weight,
                limit: request.limit,
                deadline: request.deadline,
            };
            let service = request.flow.service;
            if state.router.target_counts(service).0 == 0 {
                return Err(no_target());
            }
            let free = state.router.free_slots(now, service);
            match state.admission.admit(now, queued, free) {
                admission::Decision::Admitted => {
                    if let Some(pick) = self.pick_locked(&mut state, now, &request, &[]) {
                        return Ok((self.permit(request.flow), pick));
                    }
                    state
                        .admission
                        .finish(now, request.flow, admission::Outcome::Ignored);
                    return Err(full(Duration::from_secs(1)));
                }
                admission::Decision::Rejected { reason, retry_after } => {
                    return Err(rejected(reason, retry_after));
                }
                admission::Decision::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(queued.id, sender);
                    (queued, receiver)
                }
            }
        };
        let _waiting = Waiting {
            balancer: Arc::clone(self),
            request: queued,
        };
        match tokio::time::timeout_at(self.instant(request.deadline), receiver).await {
            Ok(Ok(admitted)) => Ok(admitted),
            Ok(Err(_)) | Err(_) => Err(rejected(admission::Reason::Deadline, Duration::from_secs(1))),
        }
    }

    /// Picks a target for a further attempt.
    pub(crate) fn pick(self: &Arc<Self>, request: &Request, exclude: &[id::TargetId]) -> Option<Pick> {
        let now = self.now();
        let mut state = self.lock();
        self.pick_locked(&mut state, now, request, exclude)
    }

    /// Records a new request for the retry budget.
    pub(crate) fn record_request(&self, flow: admission::Flow) {
        self.lock().retry.record_request(flow);
    }

    /// Decides whether to retry after a failed attempt.
    pub(crate) fn decide(&self, attempt: &retry::Attempt) -> retry::Decision {
        let now = self.now();
        self.lock().retry.decide(now, attempt)
    }

    /// Returns how long to wait for a response before hedging.
    pub(crate) fn hedge_delay(&self, service: id::ServiceId) -> Option<Duration> {
        self.lock().retry.hedge_delay(service)
    }

    /// Picks a target for a hedge if the budget allows one.
    pub(crate) fn pick_hedge(self: &Arc<Self>, request: &Request, exclude: &[id::TargetId]) -> Option<Pick> {
        let now = self.now();
        let mut state = self.lock();
        // Without free slots there are no hedges, because they would displace first attempts.
        if state.router.free_slots(now, request.flow.service) == 0 || !state.retry.try_spend(request.flow) {
            return None;
        }
        self.pick_locked(&mut state, now, request, exclude)
    }

    /// Returns the number of admitted and of waiting requests.
    pub(crate) fn counts(&self) -> (u32, usize) {
        self.lock().admission.counts()
    }

    /// Returns the number of requests in flight to each target.
    pub(crate) fn loads(&self) -> Vec<(id::TargetId, u32)> {
        self.lock().router.loads().collect()
    }

    fn permit(self: &Arc<Self>, flow: admission::Flow) -> Permit {
        Permit {
            balancer: Arc::clone(self),
            flow,
            outcome: admission::Outcome::Ignored,
            armed: true,
        }
    }

    fn pick_locked(
        self: &Arc<Self>,
        state: &mut State,
        now: Duration,
        request: &Request,
        exclude: &[id::TargetId],
    ) -> Option<Pick> {
        let route = router::Request {
            service: request.flow.service,
            exclude,
            bytes: request.bytes,
        };
        let router::Choice::Target(target) = state.router.pick(now, &route) else {
            return None;
        };
        let (address, connections, distance) = state.router.endpoint(target)?;
        Some(Pick {
            balancer: Arc::clone(self),
            target,
            address,
            connections,
            service: request.flow.service,
            remote: distance == vm::Distance::Remote,
            started: Instant::now(),
            lost_hedge: Arc::default(),
            armed: true,
        })
    }

    fn wake(self: &Arc<Self>, state: &mut State, now: Duration, service: id::ServiceId) {
        loop {
            let free = state.router.free_slots(now, service);
            let next = state.admission.dequeue(now, service, free);
            while let Some(expired) = state.admission.pop_expired() {
                // The waiter sees the closed channel and responds with `not run`.
                state.waiters.remove(&expired.id);
            }
            let Some(admitted) = next else {
                return;
            };
            let request = Request {
                flow: admitted.flow,
                weight: admitted.weight,
                limit: admitted.limit,
                deadline: admitted.deadline,
                bytes: 1,
            };
            let sender = state.waiters.remove(&admitted.id);
            let pick = if sender.is_some() && now < admitted.deadline {
                self.pick_locked(state, now, &request, &[])
            } else {
                None
            };
            let (Some(sender), Some(pick)) = (sender, pick) else {
                state
                    .admission
                    .finish(now, admitted.flow, admission::Outcome::Ignored);
                continue;
            };
            if let Err((mut permit, mut pick)) = sender.send((self.permit(admitted.flow), pick)) {
                // Dropping the armed guards would take the lock that is held here.
                permit.armed = false;
                pick.armed = false;
                state.router.finish(now, pick.target, attempt::Outcome::Abandoned);
                state
                    .admission
                    .finish(now, admitted.flow, admission::Outcome::Ignored);
            }
        }
    }
}

impl Permit {
    /// Sets the outcome that is reported when the permit is dropped.
    pub(crate) const fn set_outcome(&mut self, outcome: admission::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let now = self.balancer.now();
        let mut state = self.balancer.lock();
        state.admission.finish(now, self.flow, self.outcome);
        if let admission::Outcome::Success { latency } = self.outcome {
            state.retry.record_latency(self.flow.service, latency);
        }
        self.balancer.wake(&mut state, now, self.flow.service);
    }
}

impl Pick {
    /// Returns the time since the pick.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns a flag to set when the hedge of this attempt completes first.
    pub(crate) fn lost_hedge(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.lost_hedge)
    }

    /// Returns whether the attempt has lasted so long that a missing response counts against the target.
    pub(crate) fn is_late(&self) -> bool {
        let elapsed = self.started.elapsed();
        self.balancer.lock().retry.is_late(self.service, elapsed)
    }

    /// Reports the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: attempt::Outcome, response_bytes: u64) {
        self.report(outcome, response_bytes);
    }

    fn report(&mut self, outcome: attempt::Outcome, response_bytes: u64) {
        self.armed = false;
        let now = self.balancer.now();
        let mut state = self.balancer.lock();
        let late = state.retry.is_late(self.service, self.started.elapsed());
        let outcome = match outcome {
            attempt::Outcome::TimedOut if !late => attempt::Outcome::Abandoned,
            outcome => outcome,
        };
        if self.remote {
            state.router.charge_remote(response_bytes);
        }
        state.router.finish(now, self.target, outcome);
        self.balancer.wake(&mut state, now, self.service);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if self.armed {
            let lost_hedge = self.lost_hedge.load(Ordering::Acquire);
            let outcome = if lost_hedge {
                attempt::Outcome::LostHedge
            } else {
                attempt::Outcome::Abandoned
            };
            self.report(outcome, 0);
        }
    }
}

/// Guard of a queued request; dropping it removes the request from its queue.
struct Waiting {
    balancer: Arc<Balancer>,
    request: admission::Request,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.balancer.lock();
        if state.waiters.remove(&self.request.id).is_some() {
            state.admission.cancel(self.request.flow, self.request.id);
        }
    }
}

/// Returns the entry VMs of a view, among which limits are divided.
pub(crate) fn entries(view: &control::View) -> Vec<allotment::Entry> {
    view.entries
        .iter()
        .map(|entry| allotment::Entry {
            vm: entry.id,
            place: entry.place,
        })
        .collect()
}

fn no_target() -> error::Error {
    error::Error::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_target",
        "no target of the service is usable now",
    )
    .with_retry_after(Duration::from_secs(1))
}

fn full(after: Duration) -> error::Error {
    error::Error::not_run(StatusCode::SERVICE_UNAVAILABLE, "full", "every target is full")
        .with_retry_after(after)
}

fn rejected(reason: admission::Reason, after: Duration) -> error::Error {
    let (code, message) = match reason {
        admission::Reason::QueueFull => ("queue_full", "the queue is full"),
        admission::Reason::Deadline => ("deadline", "the request would not be answered by its deadline"),
        admission::Reason::NoAllotment => ("limit", "the limit of requests in flight leaves this VM no part"),
    };
    error::Error::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message).with_retry_after(after)
}
