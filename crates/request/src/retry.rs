//! Retry decisions, retry budgets, and the delay after which a request is hedged.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::id;
use hdrhistogram::Histogram;

use crate::{admission, attempt, rules};

/// Maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of retries in the budget of a flow.
pub const BUDGET_CAP: f64 = 10.0;
/// Maximum number of flows with a budget; further flows get no retries that need a budget.
pub const MAX_FLOWS: usize = 8192;
/// Latency samples needed before requests are hedged.
const HEDGE_MIN_SAMPLES: u64 = 200;
/// Samples after which the latency histogram is reset, so that it follows changes of the service.
const HEDGE_WINDOW: u64 = 20_000;
/// Latency quantile at which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.98;
/// Multiple of the hedge delay after which a missing response counts against the target.
const LATE_FACTOR: u32 = 4;
/// Time after which a missing response counts against the target while there are too few samples.
const LATE_DEFAULT: Duration = Duration::from_secs(1);
/// Maximum latency in the histogram, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// An attempt that ended without a response for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Flow of the request, whose budget pays for a retry.
    pub flow: admission::Flow,
    /// Whether the request may run more than once; false for a request with an idempotency key.
    pub repeatable: bool,
    /// Progress of this attempt.
    pub progress: attempt::Progress,
    /// Whether the earlier attempts ran the request; the worst case of all.
    pub history: attempt::Execution,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Whether part of a response was forwarded to the caller, which rules out a retry.
    pub response_started: bool,
    /// Time by which the caller needs the response.
    pub deadline: Duration,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry on another target. Carries whether an attempt so far ran the request.
    Retry(attempt::Execution),
    /// Return an error to the caller. Carries whether an attempt ran the request.
    GiveUp(attempt::Execution),
}

#[derive(Debug)]
struct Latency {
    histogram: Histogram<u32>,
    hedge_delay: Option<Duration>,
}

/// Retry and hedge budgets and latency histograms of one entry VM.
#[derive(Debug)]
pub struct Retry {
    percent: u32,
    rules: rules::Rules,
    budgets: HashMap<admission::Flow, f64>,
    latencies: HashMap<id::ServiceId, Latency>,
    spent: u64,
}

impl Retry {
    /// Creates budgets that allow `percent` retries per hundred requests.
    pub fn new(percent: u32, rules: rules::Rules) -> Self {
        Self {
            percent,
            rules,
            budgets: HashMap::new(),
            latencies: HashMap::new(),
            spent: 0,
        }
    }

    /// Sets the number of retries per hundred requests.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a new request, which adds a fraction of a retry to the budget of its flow.
    pub fn record_request(&mut self, flow: admission::Flow) {
        if self.budgets.len() >= MAX_FLOWS && !self.budgets.contains_key(&flow) {
            return;
        }
        let earned = f64::from(self.percent.min(100)) / 100.0;
        // A new flow starts with a full budget; otherwise a flow with few requests could never retry.
        let budget = self.budgets.entry(flow).or_insert(BUDGET_CAP);
        *budget = (*budget + earned).min(BUDGET_CAP);
    }

    /// Decides whether to retry after an attempt without a response.
    pub fn decide(&mut self, now: Duration, attempt: &Attempt) -> Decision {
        let known = if self.rules.keep_run_history {
            attempt.history.max(attempt.progress.execution())
        } else {
            attempt.progress.execution()
        };
        let may_repeat =
            attempt.repeatable || !self.rules.retry_only_when_not_run || known == attempt::Execution::NotRun;
        let possible = may_repeat
            && !attempt.response_started
            && attempt.attempts < MAX_ATTEMPTS
            && now < attempt.deadline;
        // A first attempt that was not sent put no load on a target, so its retry is not charged to the budget.
        let free = attempt.progress == attempt::Progress::NotSent && attempt.attempts == 1;
        if possible && (free || self.try_spend(attempt.flow)) {
            Decision::Retry(known)
        } else {
            Decision::GiveUp(known)
        }
    }

    /// Charges one retry or hedge to the budget of a flow; returns whether the budget allowed it.
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

    /// Returns the number of retries and hedges charged to budgets.
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Records the latency of a response.
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

    /// Returns how long to wait for a response before hedging a repeatable request, if there are enough samples.
    pub fn hedge_delay(&self, service: id::ServiceId) -> Option<Duration> {
        self.latencies
            .get(&service)
            .and_then(|latency| latency.hedge_delay)
    }

    /// Returns whether an attempt without a response lasted so long that it counts against its target. A timeout
    /// that is only due to a short deadline of the caller does not.
    pub fn is_late(&self, service: id::ServiceId, elapsed: Duration) -> bool {
        let late = self
            .hedge_delay(service)
            .map_or(LATE_DEFAULT, |delay| delay * LATE_FACTOR);
        elapsed >= late
    }
}
