//! Limits on what clients may hold in this process: connections, heads, bodies and responses.
//!
//! The decisions are made by [`ledger`], without I/O. This module keeps one ledger for all connections, delivers the
//! decisions to the tasks of the connections, and counts them.

pub mod body;
pub mod ledger;
mod stream;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_workload::{adapter, settings};
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use ledger::{Class, Id, Ledger, Phase, Reason};
pub use stream::{Stream, linger, refuse};

/// Interval at which limits of time are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Sweeps between two log lines about the same reason.
const SWEEPS_PER_LINE: u32 = 20;
/// Delay after which a refused client may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What all clients hold; shared by the listeners.
#[derive(Debug)]
pub struct Intake {
    limits: settings::Intake,
    origin: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    signals: HashMap<Id, Arc<Signal>>,
    /// Decisions since the last log line.
    decisions: BTreeMap<(Class, Reason), u64>,
}

/// Delivers a decision to the task of a connection.
#[derive(Debug, Default)]
struct Signal {
    reason: Mutex<Option<Reason>>,
    /// Wakes the reader of a body.
    body: Notify,
    /// Wakes the task of the connection.
    connection: Notify,
    /// Whether the connection is closed after the response.
    is_refused: AtomicBool,
}

impl Intake {
    /// Returns an intake without connections.
    pub fn new(limits: settings::Intake) -> Arc<Self> {
        let state = State {
            ledger: Ledger::new(limits.clone()),
            signals: HashMap::new(),
            decisions: BTreeMap::new(),
        };
        Arc::new(Self {
            limits,
            origin: Instant::now(),
            state: Mutex::new(state),
        })
    }

    /// Returns the limits.
    pub const fn limits(&self) -> &settings::Intake {
        &self.limits
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Adds a connection.
    pub fn open(self: &Arc<Self>, class: Class) -> Ticket {
        let signal = Arc::new(Signal::default());
        let now = self.now();
        let mut state = self.lock();
        let id = state.ledger.open(now, class);
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        Ticket {
            intake: Arc::clone(self),
            id,
            class,
            signal,
        }
    }

    /// Closes a connection of the listener that has made no progress for longest, for another client.
    pub fn displace(&self, class: Class) {
        let now = self.now();
        let mut state = self.lock();
        if let Some((id, phase)) = state.ledger.displace(now, class) {
            state.deliver(id, phase, Reason::Place);
        }
    }

    /// Checks limits of time until `stop` is cancelled.
    pub async fn sweep(self: Arc<Self>, stop: CancellationToken) {
        let mut sweeps: u32 = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = time::sleep(SWEEP_INTERVAL) => {}
            }
            let now = self.now();
            let mut state = self.lock();
            for (id, phase, reason) in state.ledger.overdue(now) {
                state.deliver(id, phase, reason);
            }
            let held = state.ledger.held();
            sweeps = sweeps.wrapping_add(1);
            let decisions = if sweeps.is_multiple_of(SWEEPS_PER_LINE) {
                std::mem::take(&mut state.decisions)
            } else {
                BTreeMap::new()
            };
            drop(state);
            metrics::gauge!("bronzespoke_fleet_intake_held_bytes").set(held as f64);
            for ((class, reason), count) in decisions {
                log::warn!(
                    "decision=shed listener={} reason={} connections={count} held={held} budget={}",
                    class.name(),
                    reason.name(),
                    self.limits.budget
                );
            }
        }
    }
}

impl State {
    fn deliver(&mut self, id: Id, phase: Phase, reason: Reason) {
        let Some(signal) = self.signals.get(&id) else {
            return;
        };
        *signal.reason.lock().unwrap_or_else(PoisonError::into_inner) = Some(reason);
        if phase == Phase::Body {
            signal.body.notify_one();
        } else {
            signal.connection.notify_one();
        }
        // The reader of a body counts its refusal itself.
        if phase != Phase::Body
            && let Some(class) = self.ledger.class(id)
        {
            self.count(class, reason);
        }
    }

    fn count(&mut self, class: Class, reason: Reason) {
        *self.decisions.entry((class, reason)).or_insert(0) += 1;
        metrics::counter!(
            "bronzespoke_fleet_intake_shed_total", "listener" => class.name(), "reason" => reason.name()
        )
        .increment(1);
    }
}

/// An open connection in the ledger; removed when dropped.
#[derive(Debug)]
pub struct Ticket {
    intake: Arc<Intake>,
    id: Id,
    class: Class,
    signal: Arc<Signal>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        state.ledger.close(self.id);
        state.signals.remove(&self.id);
    }
}

impl Ticket {
    /// Returns the limits.
    pub fn limits(&self) -> &settings::Intake {
        &self.intake.limits
    }

    /// Begins a phase.
    pub fn begin(&self, phase: Phase) {
        let now = self.intake.now();
        self.intake.lock().ledger.begin(now, self.id, phase);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Option<Phase> {
        self.intake.lock().ledger.phase(self.id)
    }

    /// Records progress of the client.
    pub fn advance(&self, bytes: usize) {
        let now = self.intake.now();
        self.intake.lock().ledger.advance(now, self.id, bytes as u64);
    }

    /// Has the connection closed after the response.
    pub fn refuse(&self) {
        self.signal.is_refused.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection is closed after the response.
    pub fn is_refused(&self) -> bool {
        self.signal.is_refused.load(Ordering::Relaxed)
    }

    /// Sets what the connection holds without a decision.
    pub fn set(&self, bytes: usize) {
        self.intake.lock().ledger.set(self.id, bytes as u64);
    }

    /// Sets what the connection holds; returns whether the budget allows it.
    pub fn hold(&self, bytes: usize) -> bool {
        let now = self.intake.now();
        let mut state = self.intake.lock();
        let outcome = state.ledger.hold(now, self.id, bytes as u64);
        for (id, phase) in outcome.shed {
            state.deliver(id, phase, Reason::Budget);
        }
        outcome.is_granted
    }

    /// Has the connection closed for a reason that its stream found.
    fn fail(&self, reason: Reason) {
        *self.signal.reason.lock().unwrap_or_else(PoisonError::into_inner) = Some(reason);
        self.count(reason);
        self.signal.connection.notify_one();
    }

    /// Counts a refusal or the closing of the connection.
    pub fn count(&self, reason: Reason) {
        self.intake.lock().count(self.class, reason);
    }

    /// Resolves when the connection is to be closed, with the phase that it is in. A request that is being served goes
    /// on, and the reader of a body refuses its request itself.
    pub async fn closed(&self) -> (Reason, Option<Phase>) {
        loop {
            self.signal.connection.notified().await;
            match self.phase() {
                Some(Phase::Serving) => {}
                Some(Phase::Body) => self.signal.body.notify_one(),
                phase => return (self.reason(), phase),
            }
        }
    }

    /// Resolves when the body that is being received is to be refused.
    pub async fn refused(&self) -> Reason {
        self.signal.body.notified().await;
        self.reason()
    }

    fn reason(&self) -> Reason {
        let reason = *self.signal.reason.lock().unwrap_or_else(PoisonError::into_inner);
        reason.unwrap_or(Reason::Budget)
    }
}

/// Returns the error that tells a client why its request was refused; it has not been executed.
pub fn error(reason: Reason, limits: &settings::Intake) -> adapter::Error {
    match reason {
        Reason::HeadTooLarge => {
            adapter::Error::HeadTooLarge(format!("the head has more than {} bytes", limits.head_bytes))
        }
        Reason::EmptyLines => {
            adapter::Error::Content(String::from("too many empty lines precede the request"))
        }
        Reason::HeadTimeout | Reason::Idle => adapter::Error::Timeout(format!(
            "the head did not arrive within {:?}",
            limits.head_timeout
        )),
        Reason::BodyTooLarge => adapter::Error::TooLarge(String::from("the body is too large for this call")),
        Reason::Chunks => {
            adapter::Error::TooLarge(format!("the body has more than {} chunks", limits.max_chunks))
        }
        Reason::Values => {
            adapter::Error::TooLarge(format!("the body has more than {} values", limits.max_values))
        }
        Reason::BodyTimeout => adapter::Error::Timeout(format!(
            "the body did not arrive within {:?}",
            limits.body_timeout
        )),
        Reason::BodyRate => adapter::Error::Timeout(format!(
            "the body arrives with less than {} bytes per second",
            limits.minimum_rate
        )),
        Reason::Budget | Reason::Unread | Reason::Place => adapter::Error::Overload {
            reason: String::from("too many bytes are held for other clients"),
            retry_after: RETRY_AFTER,
        },
    }
}
