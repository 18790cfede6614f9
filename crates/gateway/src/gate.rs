//! The decisions of one entry VM behind one short lock, and guards that report every end exactly once.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_model::{id, target, vm};
use bronzespoke_request::{admission, allotment, attempt, retry, router, rules};
use http::StatusCode;
use tokio::sync::oneshot;

use crate::{control, error, settings};

struct Decider {
    admission: admission::Admission,
    router: router::Router,
    retry: retry::Retry,
    waiting: HashMap<u64, oneshot::Sender<(Permit, Pick)>>,
    last_ticket: u64,
    services: Vec<id::ServiceId>,
}

/// Admission, routing and retries of the VM.
pub(crate) struct Gate {
    origin: Instant,
    decider: Mutex<Decider>,
}

/// An admitted request; dropping it reports its end.
pub(crate) struct Permit {
    gate: Arc<Gate>,
    flow: admission::Flow,
    done: admission::Outcome,
    armed: bool,
}

/// A picked target; dropping it reports that the attempt was abandoned.
pub(crate) struct Pick {
    gate: Arc<Gate>,
    /// The target.
    pub target: id::TargetId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// This VM's part of its connections.
    pub connections: u32,
    service: id::ServiceId,
    remote: bool,
    started: Instant,
    overtaken: Arc<AtomicBool>,
    armed: bool,
}

/// What admission needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask {
    pub flow: admission::Flow,
    pub weight: u32,
    pub limit: u32,
    pub deadline: Duration,
    pub bytes: u32,
}

impl Gate {
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
            decider: Mutex::new(Decider {
                admission: admission::Admission::new(settings.seed, rules),
                router,
                retry: retry::Retry::new(config.retry_percent, rules),
                waiting: HashMap::new(),
                last_ticket: 0,
                services: Vec::new(),
            }),
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the instant that a time since the process started stands for.
    pub(crate) fn instant(&self, time: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.origin + time)
    }

    fn lock(&self) -> MutexGuard<'_, Decider> {
        self.decider.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in new views.
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
        let mut decider = self.lock();
        decider.retry.set_percent(view.config.retry_percent);
        let router = &mut decider.router;
        router.apply(
            now,
            router::Update::RemoteBudget(view.config.remote_bytes_per_second),
        );
        router.apply(now, router::Update::Entries(entries));
        router.apply(now, router::Update::Targets(&known));
        let mut services: Vec<id::ServiceId> = view.services.values().map(|service| service.id).collect();
        services.sort_unstable();
        decider.services = services;
        self.wake_all(&mut decider, now);
    }

    /// Starts waiting requests whose room came back with time.
    pub(crate) fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut decider = self.lock();
        if !decider.waiting.is_empty() {
            self.wake_all(&mut decider, now);
        }
    }

    fn wake_all(self: &Arc<Self>, decider: &mut Decider, now: Duration) {
        for index in 0..decider.services.len() {
            let service = decider.services[index];
            self.wake(decider, now, service);
        }
    }

    /// Waits until the request may be sent; the first target is picked in the same step.
    pub(crate) async fn admit(self: &Arc<Self>, ask: Ask) -> Result<(Permit, Pick), error::Error> {
        let (ticket, receiver) = {
            let now = self.now();
            let mut decider = self.lock();
            decider.last_ticket += 1;
            let ticket = admission::Request {
                id: decider.last_ticket,
                flow: ask.flow,
                weight: ask.weight,
                limit: ask.limit,
                deadline: ask.deadline,
            };
            let service = ask.flow.service;
            if decider.router.target_counts(service).0 == 0 {
                return Err(missing());
            }
            let free = decider.router.free_slots(now, service);
            match decider.admission.admit(now, ticket, free) {
                admission::Decision::Admitted => {
                    if let Some(pick) = self.pick_locked(&mut decider, now, &ask, &[]) {
                        return Ok((self.permit(ask.flow), pick));
                    }
                    decider
                        .admission
                        .finish(now, ask.flow, admission::Outcome::Ignored);
                    return Err(full(Duration::from_secs(1)));
                }
                admission::Decision::Rejected { reason, retry_after } => {
                    return Err(refused(reason, retry_after));
                }
                admission::Decision::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    decider.waiting.insert(ticket.id, sender);
                    (ticket, receiver)
                }
            }
        };
        let _waiting = Waiting {
            gate: Arc::clone(self),
            ticket,
        };
        match tokio::time::timeout_at(self.instant(ask.deadline), receiver).await {
            Ok(Ok(admitted)) => Ok(admitted),
            Ok(Err(_)) | Err(_) => Err(refused(admission::Reason::Deadline, Duration::from_secs(1))),
        }
    }

    /// Picks a target for a further attempt.
    pub(crate) fn pick(self: &Arc<Self>, ask: &Ask, exclude: &[id::TargetId]) -> Option<Pick> {
        let now = self.now();
        let mut decider = self.lock();
        self.pick_locked(&mut decider, now, ask, exclude)
    }

    /// Notes a new request for the retry budget.
    pub(crate) fn started(&self, flow: admission::Flow) {
        self.lock().retry.record_request(flow);
    }

    /// Decides what follows a failed attempt.
    pub(crate) fn decide(&self, attempt: &retry::Attempt) -> retry::Decision {
        let now = self.now();
        self.lock().retry.decide(now, attempt)
    }

    /// Returns how long to wait before a second copy.
    pub(crate) fn hedge_delay(&self, service: id::ServiceId) -> Option<Duration> {
        self.lock().retry.hedge_delay(service)
    }

    /// Picks a target for a second copy when the budget allows one.
    pub(crate) fn pick_hedge(self: &Arc<Self>, ask: &Ask, exclude: &[id::TargetId]) -> Option<Pick> {
        let now = self.now();
        let mut decider = self.lock();
        // A full service gets no second copies: they would take the place of first ones.
        if decider.router.free_slots(now, ask.flow.service) == 0 || !decider.retry.try_spend(ask.flow) {
            return None;
        }
        self.pick_locked(&mut decider, now, ask, exclude)
    }

    /// Returns the admitted and the waiting requests.
    pub(crate) fn counts(&self) -> (u32, usize) {
        self.lock().admission.counts()
    }

    /// Returns the requests in flight to each target.
    pub(crate) fn loads(&self) -> Vec<(id::TargetId, u32)> {
        self.lock().router.loads().collect()
    }

    fn permit(self: &Arc<Self>, flow: admission::Flow) -> Permit {
        Permit {
            gate: Arc::clone(self),
            flow,
            done: admission::Outcome::Ignored,
            armed: true,
        }
    }

    fn pick_locked(
        self: &Arc<Self>,
        decider: &mut Decider,
        now: Duration,
        ask: &Ask,
        exclude: &[id::TargetId],
    ) -> Option<Pick> {
        let query = router::Request {
            service: ask.flow.service,
            exclude,
            bytes: ask.bytes,
        };
        let router::Choice::Target(target) = decider.router.pick(now, &query) else {
            return None;
        };
        let (address, connections, distance) = decider.router.endpoint(target)?;
        Some(Pick {
            gate: Arc::clone(self),
            target,
            address,
            connections,
            service: ask.flow.service,
            remote: distance == vm::Distance::Remote,
            started: Instant::now(),
            overtaken: Arc::default(),
            armed: true,
        })
    }

    fn wake(self: &Arc<Self>, decider: &mut Decider, now: Duration, service: id::ServiceId) {
        loop {
            let free = decider.router.free_slots(now, service);
            let next = decider.admission.dequeue(now, service, free);
            while let Some(expired) = decider.admission.pop_expired() {
                // Its waiter sees the closed channel and answers `not run`.
                decider.waiting.remove(&expired.id);
            }
            let Some(ticket) = next else {
                return;
            };
            let ask = Ask {
                flow: ticket.flow,
                weight: ticket.weight,
                limit: ticket.limit,
                deadline: ticket.deadline,
                bytes: 1,
            };
            let sender = decider.waiting.remove(&ticket.id);
            let pick = if sender.is_some() && now < ticket.deadline {
                self.pick_locked(decider, now, &ask, &[])
            } else {
                None
            };
            let (Some(sender), Some(pick)) = (sender, pick) else {
                decider
                    .admission
                    .finish(now, ticket.flow, admission::Outcome::Ignored);
                continue;
            };
            if let Err((mut permit, mut pick)) = sender.send((self.permit(ticket.flow), pick)) {
                // Their guards would take the lock that is held here.
                permit.armed = false;
                pick.armed = false;
                decider
                    .router
                    .finish(now, pick.target, attempt::Outcome::Abandoned);
                decider
                    .admission
                    .finish(now, ticket.flow, admission::Outcome::Ignored);
            }
        }
    }
}

impl Permit {
    /// Sets how the request ended; reported when the permit is dropped.
    pub(crate) const fn set(&mut self, done: admission::Outcome) {
        self.done = done;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let now = self.gate.now();
        let mut decider = self.gate.lock();
        decider.admission.finish(now, self.flow, self.done);
        if let admission::Outcome::Success { latency } = self.done {
            decider.retry.record_latency(self.flow.service, latency);
        }
        self.gate.wake(&mut decider, now, self.flow.service);
    }
}

impl Pick {
    /// Returns the time since the pick.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns a mark to set when the answer to a later copy makes this attempt superfluous.
    pub(crate) fn overtaken(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.overtaken)
    }

    /// Tells whether the attempt has lasted so long that silence speaks against the target.
    pub(crate) fn is_late(&self) -> bool {
        let elapsed = self.started.elapsed();
        self.gate.lock().retry.is_late(self.service, elapsed)
    }

    /// Reports the end of the attempt.
    pub(crate) fn end(mut self, end: attempt::Outcome, answer_bytes: u64) {
        self.report(end, answer_bytes);
    }

    fn report(&mut self, end: attempt::Outcome, answer_bytes: u64) {
        self.armed = false;
        let now = self.gate.now();
        let mut decider = self.gate.lock();
        let late = decider.retry.is_late(self.service, self.started.elapsed());
        let end = match end {
            attempt::Outcome::TimedOut if !late => attempt::Outcome::Abandoned,
            end => end,
        };
        if self.remote {
            decider.router.charge_remote(answer_bytes);
        }
        decider.router.finish(now, self.target, end);
        self.gate.wake(&mut decider, now, self.service);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if self.armed {
            let overtaken = self.overtaken.load(Ordering::Acquire);
            let end = if overtaken {
                attempt::Outcome::LostHedge
            } else {
                attempt::Outcome::Abandoned
            };
            self.report(end, 0);
        }
    }
}

struct Waiting {
    gate: Arc<Gate>,
    ticket: admission::Request,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut decider = self.gate.lock();
        if decider.waiting.remove(&self.ticket.id).is_some() {
            decider.admission.cancel(self.ticket.flow, self.ticket.id);
        }
    }
}

/// Returns the entry VMs of a view in the form that parts are computed from.
pub(crate) fn entries(view: &control::View) -> Vec<allotment::Entry> {
    view.entries
        .iter()
        .map(|entry| allotment::Entry {
            vm: entry.id,
            place: entry.place,
        })
        .collect()
}

fn missing() -> error::Error {
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

fn refused(reason: admission::Reason, after: Duration) -> error::Error {
    let (code, message) = match reason {
        admission::Reason::QueueFull => ("queue_full", "the queue is full"),
        admission::Reason::Deadline => ("deadline", "the request would not be answered by its deadline"),
        admission::Reason::NoAllotment => ("limit", "the limit of requests in flight leaves this VM no part"),
    };
    error::Error::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message).with_retry_after(after)
}
