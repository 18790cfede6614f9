//! Decides which clients are shed; without I/O.
//!
//! Handles a crowd of connections that together hold more than the memory of the VM: heads, bodies in pieces that stop
//! just short of their end, and responses that are not read. Those that have held the most for longest without progress
//! are shed first. Part of the budget is reserved for requests that hold little, so that small whole requests pass.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_workload::settings;

/// Number of a connection.
pub type Id = u64;

/// Bytes that an open connection holds before its first byte: its task and its entries in tables.
pub const OPEN_BYTES: u64 = 2 * 1024;
/// Bytes that a connection holds from its first byte: the read and the write buffer of hyper begin with 8 KiB each.
pub const ACTIVE_BYTES: u64 = 18 * 1024;
/// A connection that holds at most this counts as small. An ordinary job with its head holds about half of it.
const SMALL_BYTES: u64 = 64 * 1024;
/// Share of the budget that is reserved for small connections.
const SMALL_SHARE: u64 = 8;
/// A connection without progress for this long is stalled. Covers a lost packet and its retransmission between regions.
const STALL: Duration = Duration::from_millis(500);
/// Time before the minimum rate of a body applies.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// Listener of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Callers that submit and inspect jobs.
    Entry,
    /// Operators and workers.
    Control,
    /// The load balancer, which probes readiness.
    Readiness,
    /// Collectors of metrics.
    Metrics,
}

impl Class {
    /// Returns the name for metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }

    /// Returns whether the budget applies; the other listeners are bounded by their few connections.
    const fn is_budgeted(self) -> bool {
        matches!(self, Self::Entry | Self::Control)
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives a head.
    Head,
    /// Receives a body.
    Body,
    /// The request is being served; it may be executed and is never shed.
    Serving,
    /// Sends a response.
    Response,
}

/// Why a request is refused or a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The head is too large.
    HeadTooLarge,
    /// Too many empty lines precede a request.
    EmptyLines,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body is too large.
    BodyTooLarge,
    /// The body has too many chunks, or its chunks have too much overhead.
    Chunks,
    /// The body has too many values.
    Values,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The body arrives too slowly while the budget is short.
    BodyRate,
    /// The budget is spent.
    Budget,
    /// The client does not read its response.
    Unread,
    /// No request arrived in time.
    Idle,
    /// Another client needs the place.
    Place,
}

impl Reason {
    /// Returns the name for metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "head_too_large",
            Self::EmptyLines => "empty_lines",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::Chunks => "chunks",
            Self::Values => "values",
            Self::BodyTimeout => "body_timeout",
            Self::BodyRate => "body_rate",
            Self::Budget => "budget",
            Self::Unread => "unread_response",
            Self::Idle => "idle",
            Self::Place => "place",
        }
    }
}

#[derive(Debug)]
struct Account {
    class: Class,
    phase: Phase,
    opened: Duration,
    /// Begin of the phase.
    since: Duration,
    /// Time of the last progress.
    progress: Duration,
    /// Bytes that arrived in the phase.
    arrived: u64,
    held: u64,
    is_shed: bool,
}

impl Account {
    const fn is_sheddable(&self) -> bool {
        !self.is_shed && !matches!(self.phase, Phase::Serving) && self.class.is_budgeted()
    }
}

/// What all connections hold.
#[derive(Debug)]
pub struct Ledger {
    limits: settings::Intake,
    next: Id,
    accounts: BTreeMap<Id, Account>,
    held: u64,
}

/// Outcome of [`Ledger::hold`].
#[derive(Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Connections to shed, with their phases.
    pub shed: Vec<(Id, Phase)>,
    /// Whether the bytes were granted.
    pub is_granted: bool,
}

impl Ledger {
    /// Returns a ledger without connections.
    pub const fn new(limits: settings::Intake) -> Self {
        Self {
            limits,
            next: 0,
            accounts: BTreeMap::new(),
            held: 0,
        }
    }

    /// Returns the bytes that all connections hold.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Duration, class: Class) -> Id {
        self.next += 1;
        let account = Account {
            class,
            phase: Phase::Idle,
            opened: now,
            since: now,
            progress: now,
            arrived: 0,
            held: OPEN_BYTES,
            is_shed: false,
        };
        self.held += OPEN_BYTES;
        self.accounts.insert(self.next, account);
        self.next
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        if let Some(account) = self.accounts.remove(&id)
            && !account.is_shed
        {
            self.held -= account.held;
        }
    }

    /// Returns the phase of a connection.
    pub fn phase(&self, id: Id) -> Option<Phase> {
        self.accounts.get(&id).map(|account| account.phase)
    }

    /// Begins a phase.
    pub fn begin(&mut self, now: Duration, id: Id, phase: Phase) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.phase = phase;
            account.since = now;
            account.progress = now;
            account.arrived = 0;
        }
    }

    /// Records bytes that arrived from a client, or that it has read.
    pub fn advance(&mut self, now: Duration, id: Id, bytes: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.progress = now;
            account.arrived += bytes;
        }
    }

    /// Sets what a connection holds without a decision, for a response or when it holds less.
    pub fn set(&mut self, id: Id, bytes: u64) {
        if let Some(account) = self.accounts.get_mut(&id).filter(|account| !account.is_shed) {
            self.held = self.held - account.held + bytes;
            account.held = bytes;
        }
    }

    /// Sets what a connection holds, and decides who is shed for it if the budget is spent.
    pub fn hold(&mut self, now: Duration, id: Id, bytes: u64) -> Outcome {
        let mut outcome = Outcome {
            shed: Vec::new(),
            is_granted: true,
        };
        let Some(account) = self.accounts.get(&id) else {
            return outcome;
        };
        if account.is_shed {
            outcome.is_granted = false;
            return outcome;
        }
        let total = self.held - account.held + bytes;
        let is_small = bytes <= SMALL_BYTES;
        let limit = if is_small {
            self.limits.budget
        } else {
            self.limits.budget - self.limits.budget / SMALL_SHARE
        };
        if bytes > account.held && account.class.is_budgeted() && total > limit {
            let needed = total - limit;
            let mut freed = 0;
            for candidate in self.order(now, id, bytes, is_small) {
                if freed >= needed {
                    break;
                }
                if candidate == id {
                    outcome.is_granted = false;
                    break;
                }
                freed += self.accounts[&candidate].held;
                outcome.shed.push((candidate, self.accounts[&candidate].phase));
            }
            outcome.is_granted &= freed >= needed;
        }
        for (shed, _) in &outcome.shed {
            self.shed(*shed);
        }
        if outcome.is_granted {
            self.set(id, bytes);
        } else {
            self.shed(id);
        }
        outcome
    }

    /// Returns the connections in the order in which they are shed: the stalled ones by what they hold and for how long;
    /// then those that hold the most, the newest first. A small requester comes last.
    fn order(&self, now: Duration, requester: Id, bytes: u64, is_small: bool) -> Vec<Id> {
        let mut stalled = Vec::new();
        let mut moving = Vec::new();
        for (id, account) in &self.accounts {
            if *id == requester {
                if !is_small {
                    moving.push((bytes, account.opened, *id));
                }
            } else if account.is_sheddable() {
                let quiet = now.saturating_sub(account.progress);
                if quiet >= STALL {
                    stalled.push((u128::from(account.held) * quiet.as_millis(), *id));
                } else if account.phase != Phase::Idle {
                    moving.push((account.held, account.opened, *id));
                }
            }
        }
        stalled.sort_unstable_by(|a, b| b.cmp(a));
        moving.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<Id> = stalled.into_iter().map(|(_, id)| id).collect();
        order.extend(moving.into_iter().map(|(_, _, id)| id));
        if is_small {
            order.push(requester);
        }
        order
    }

    fn shed(&mut self, id: Id) {
        if let Some(account) = self.accounts.get_mut(&id).filter(|account| !account.is_shed) {
            // What it holds is free as soon as its task runs.
            account.is_shed = true;
            self.held -= account.held;
        }
    }

    /// Returns a connection to close so that another client of the listener gets its place: the one that has been idle,
    /// or stalled, for longest.
    pub fn displace(&mut self, now: Duration, class: Class) -> Option<(Id, Phase)> {
        let candidate = self
            .accounts
            .iter()
            .filter(|(_, account)| account.class == class && !account.is_shed)
            .filter(|(_, account)| account.phase != Phase::Serving)
            .filter(|(_, account)| now.saturating_sub(account.progress) >= STALL)
            .min_by_key(|(id, account)| (account.phase != Phase::Idle, account.progress, **id));
        let (id, phase) = candidate.map(|(id, account)| (*id, account.phase))?;
        self.shed(id);
        Some((id, phase))
    }

    /// Returns the connections that exceed a limit of time or rate.
    pub fn overdue(&mut self, now: Duration) -> Vec<(Id, Phase, Reason)> {
        let is_short = self.held > self.limits.budget / 2;
        let mut overdue = Vec::new();
        for (id, account) in &self.accounts {
            let age = now.saturating_sub(account.since);
            let due = |limit: Duration, reason| (age >= limit).then_some(reason);
            let reason = match account.phase {
                Phase::Serving => None,
                // The response to a refusal has its limit as well.
                _ if account.is_shed && account.phase != Phase::Response => None,
                Phase::Idle => due(self.limits.idle_timeout, Reason::Idle),
                Phase::Head => due(self.limits.head_timeout, Reason::HeadTimeout),
                Phase::Body => due(self.limits.body_timeout, Reason::BodyTimeout).or_else(|| {
                    let expected =
                        age.saturating_sub(RATE_GRACE).as_secs_f64() * self.limits.minimum_rate as f64;
                    (is_short && (account.arrived as f64) < expected).then_some(Reason::BodyRate)
                }),
                Phase::Response => (now.saturating_sub(account.progress) >= self.limits.response_timeout)
                    .then_some(Reason::Unread),
            };
            if let Some(reason) = reason {
                overdue.push((*id, account.phase, reason));
            }
        }
        for (id, _, _) in &overdue {
            self.shed(*id);
        }
        overdue
    }

    /// Returns the listener of a connection.
    pub fn class(&self, id: Id) -> Option<Class> {
        self.accounts.get(&id).map(|account| account.class)
    }
}
