//! Whether a request is sent again, and when a second copy is worth its cost.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::id;
use hdrhistogram::Histogram;

use crate::{admission, attempt, rules};

/// Most attempts for one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Most retries that a flow may save up.
pub const BUDGET_CAP: f64 = 10.0;
/// Most flows with a budget; beyond it, new flows get no retries.
pub const MAX_FLOWS: usize = 8192;
/// Answers that have to be known before requests are hedged.
const HEDGE_MIN_SAMPLES: u64 = 200;
/// Answers after which the latency distribution starts anew, so that it follows the service.
const HEDGE_WINDOW: u64 = 20_000;
/// Quantile of the latency at which a second copy is sent.
const HEDGE_QUANTILE: f64 = 0.98;
/// Multiple of the hedge latency after which silence speaks against a target.
const LATE_FACTOR: u32 = 4;
/// Silence that speaks against a target while the distribution is not known.
const LATE_DEFAULT: Duration = Duration::from_secs(1);
/// Longest latency that the distribution holds, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// What is known when an attempt has ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Flow of the request.
    pub flow: admission::Flow,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How far this attempt got.
    pub progress: attempt::Progress,
    /// Worst knowledge over the earlier attempts.
    pub history: attempt::Execution,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Whether an answer has been passed on to the caller in part.
    pub response_started: bool,
    /// Instant by which the caller needs the answer.
    pub deadline: Duration,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another target.
    Retry(attempt::Execution),
    /// Tell the caller what is known about a run.
    GiveUp(attempt::Execution),
}

#[derive(Debug)]
struct Latency {
    histogram: Histogram<u32>,
    hedge_delay: Option<Duration>,
}

/// Retry and hedge budgets of one entry VM.
#[derive(Debug)]
pub struct Retry {
    percent: u32,
    rules: rules::Rules,
    budgets: HashMap<admission::Flow, f64>,
    latencies: HashMap<id::ServiceId, Latency>,
    spent: u64,
}

impl Retry {
    /// Returns budgets that allow `percent` retries per hundred requests.
    pub fn new(percent: u32, rules: rules::Rules) -> Self {
        Self {
            percent,
            rules,
            budgets: HashMap::new(),
            latencies: HashMap::new(),
            spent: 0,
        }
    }

    /// Changes the retries per hundred requests.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Notes a new request, which earns its flow a part of a retry.
    pub fn record_request(&mut self, flow: admission::Flow) {
        if self.budgets.len() >= MAX_FLOWS && !self.budgets.contains_key(&flow) {
            return;
        }
        let earned = f64::from(self.percent.min(100)) / 100.0;
        // A new flow starts with a full budget, else a quiet flow could never retry.
        let budget = self.budgets.entry(flow).or_insert(BUDGET_CAP);
        *budget = (*budget + earned).min(BUDGET_CAP);
    }

    /// Decides what follows an attempt that brought no answer.
    pub fn decide(&mut self, now: Duration, attempt: &Attempt) -> Decision {
        let known = if self.rules.keep_run_history {
            attempt.history.max(attempt.progress.execution())
        } else {
            attempt.progress.execution()
        };
        let may_repeat =
            attempt.repeatable || !self.rules.repeat_only_when_not_run || known == attempt::Execution::NotRun;
        let possible = may_repeat
            && !attempt.response_started
            && attempt.attempts < MAX_ATTEMPTS
            && now < attempt.deadline;
        // A first attempt that was never sent cost no target anything, so it takes nothing from the budget.
        let free = attempt.progress == attempt::Progress::NotSent && attempt.attempts == 1;
        if possible && (free || self.try_spend(attempt.flow)) {
            Decision::Retry(known)
        } else {
            Decision::GiveUp(known)
        }
    }

    /// Takes one retry or hedge from the budget of a flow.
    pub fn try_spend(&mut self, flow: admission::Flow) -> bool {
        if !self.rules.retry_budget {
            self.spent += 1;
            return true;
        }
        let Some(budget) = self.budgets.get_mut(&flow) else {
            return false;
        };
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
        self.spent += 1;
        true
    }

    /// Returns how many attempts were paid from budgets.
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Notes the latency of an answer.
    pub fn record_latency(&mut self, service: id::ServiceId, latency: Duration) {
        let entry = self.latencies.entry(service).or_insert_with(|| Latency {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2)
                .expect("the bounds are constants"),
            hedge_delay: None,
        });
        entry
            .histogram
            .saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS));
        let count = entry.histogram.len();
        if count.is_multiple_of(HEDGE_MIN_SAMPLES) {
            let micros = entry.histogram.value_at_quantile(HEDGE_QUANTILE);
            entry.hedge_delay = Some(Duration::from_micros(micros));
        }
        if count >= HEDGE_WINDOW {
            entry.histogram.reset();
        }
    }

    /// Returns how long to wait for an answer before a second copy of a repeatable request is worth sending.
    pub fn hedge_delay(&self, service: id::ServiceId) -> Option<Duration> {
        self.latencies
            .get(&service)
            .and_then(|latency| latency.hedge_delay)
    }

    /// Tells whether an attempt without an answer took so long that it speaks against its target. A caller that
    /// asks for too short a deadline says nothing about targets.
    pub fn is_late(&self, service: id::ServiceId, elapsed: Duration) -> bool {
        let late = self
            .hedge_delay(service)
            .map_or(LATE_DEFAULT, |after| after * LATE_FACTOR);
        elapsed >= late
    }
}
