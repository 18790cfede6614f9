//! Counters, gauges and latency histograms of a fleet's daemon.

use std::time::Duration;

use bronzespoke_dispatch::{
    dispatch::{self, Dispatch},
    lane::Lane,
    share::TeamShare,
};
use bronzespoke_workload::directive;

use crate::fleet::inbox;

/// Records an answered call from outside. `kind` is the listener.
pub fn call(kind: &'static str, status: http::StatusCode, took: Duration) {
    let class = match status.as_u16() {
        200..=299 => "done",
        429 | 503 => "refused",
        500..=599 => "unclear",
        _ => "rejected",
    };
    metrics::counter!("bronzespoke_fleet_calls_total", "listener" => kind, "answer" => class).increment(1);
    metrics::histogram!("bronzespoke_fleet_call_seconds", "listener" => kind).record(took.as_secs_f64());
}

/// Records a directive that this daemon sent to a worker.
pub fn directive(directive: &directive::Directive, answer: Option<&directive::Answer>, took: Duration) {
    let kind = match directive {
        directive::Directive::Start { .. } => "start",
        directive::Directive::Stop { .. } => "stop",
        directive::Directive::Renew { .. } => "report",
        directive::Directive::Throttle { .. } => "throttle",
    };
    let answer = match answer {
        Some(directive::Answer::Done { .. } | directive::Answer::Report(_)) => "done",
        Some(directive::Answer::Refused { .. }) => "refused",
        Some(directive::Answer::NotSent) => "not_sent",
        Some(directive::Answer::Unreadable) => "unreadable",
        None => "none",
    };
    metrics::counter!("bronzespoke_fleet_orders_total", "order" => kind, "answer" => answer).increment(1);
    metrics::histogram!("bronzespoke_fleet_order_seconds", "order" => kind).record(took.as_secs_f64());
}

/// Records a decision of the leader.
pub fn decision(event: &dispatch::Event) {
    match event {
        dispatch::Event::Placed { .. } => metrics::counter!("bronzespoke_fleet_placed_total").increment(1),
        dispatch::Event::StartAnswered { answer, after, .. } => {
            metrics::counter!("bronzespoke_fleet_starts_total", "answer" => *answer).increment(1);
            metrics::histogram!("bronzespoke_fleet_start_seconds").record(after.as_secs_f64());
        }
        dispatch::Event::Ended(ended) => {
            let outcome = outcome_name(ended.outcome);
            metrics::counter!("bronzespoke_fleet_ends_total", "outcome" => outcome).increment(1);
        }
        dispatch::Event::WorkerUnusable { reason, .. } => {
            metrics::counter!("bronzespoke_fleet_workers_unusable_total", "reason" => *reason).increment(1);
        }
        dispatch::Event::QuerySent { .. } => {
            metrics::counter!("bronzespoke_fleet_questions_total").increment(1);
        }
        dispatch::Event::GangReserved(_) => {
            metrics::counter!("bronzespoke_fleet_gang_reservations_total").increment(1);
        }
        dispatch::Event::DepartureNoticed { .. } => {
            metrics::counter!("bronzespoke_fleet_departure_notices_total").increment(1);
        }
        dispatch::Event::DepartureRefuted { .. } => {
            metrics::counter!("bronzespoke_fleet_departures_refuted_total").increment(1);
        }
        dispatch::Event::EndsRejected { ends, .. } => {
            metrics::counter!("bronzespoke_fleet_ends_rejected_total").increment(*ends as u64);
        }
        dispatch::Event::Orphan { .. } => {
            metrics::counter!("bronzespoke_fleet_orphans_total").increment(1);
        }
        dispatch::Event::RunUncertain(uncertain) => {
            metrics::counter!("bronzespoke_fleet_uncertain_runs_total", "reason" => uncertain.reason)
                .increment(1);
        }
        dispatch::Event::TeamShare(share) => {
            let state = if share.beyond { "beyond" } else { "within" };
            metrics::counter!("bronzespoke_fleet_share_changes_total", "state" => state).increment(1);
        }
        dispatch::Event::PastUse(_) => {
            metrics::counter!("bronzespoke_fleet_past_use_moves_total").increment(1);
        }
        dispatch::Event::SpeedsLearned(learned) => {
            for (edge, milli) in [
                ("slowest", learned.slowest_milli),
                ("fastest", learned.fastest_milli),
            ] {
                metrics::gauge!("bronzespoke_fleet_worker_speed", "pool" => learned.pool.clone(), "edge" => edge)
                    .set(f64::from(milli) / 1_000.0);
            }
        }
        dispatch::Event::WorkerKnown { .. }
        | dispatch::Event::EndsRecorded { .. }
        | dispatch::Event::Fenced { .. } => {}
    }
}

/// Records how many steps, workers and jobs the leader manages.
pub fn load(dispatch: &Dispatch, active_jobs: usize) {
    metrics::gauge!("bronzespoke_fleet_waiting_steps").set(dispatch.waiting_steps() as f64);
    metrics::gauge!("bronzespoke_fleet_workers").set(dispatch.workers().len() as f64);
    metrics::gauge!("bronzespoke_fleet_active_jobs").set(active_jobs as f64);
    let work = dispatch.work();
    metrics::counter!("bronzespoke_fleet_passes_total").absolute(work.passes);
    metrics::counter!("bronzespoke_fleet_pass_steps_total").absolute(work.steps);
    metrics::counter!("bronzespoke_fleet_pass_workers_total").absolute(work.workers);
}

/// Records the share, the fair share and the past use of each team.
pub fn shares(shares: &[TeamShare]) {
    for share in shares {
        let gauge = |name: &'static str, value: f64| {
            metrics::gauge!(name, "team" => share.team.clone()).set(value);
        };
        gauge("bronzespoke_fleet_team_share", share.share);
        // 1 while the fleet has room for all work.
        gauge(
            "bronzespoke_fleet_team_fair_share",
            share.fair.unwrap_or(1.0).min(1.0),
        );
        gauge("bronzespoke_fleet_team_past_use", share.past);
        gauge("bronzespoke_fleet_team_beyond", f64::from(u8::from(share.beyond)));
    }
}

/// Records the work of the control thread in each lane since the last call, and the messages that wait now.
pub fn lanes(load: &inbox::Load, waiting: &[usize]) {
    for (lane, waiting) in Lane::ALL.into_iter().zip(waiting) {
        let work = load.lane(lane);
        let name = lane.name();
        metrics::counter!("bronzespoke_fleet_messages_total", "lane" => name).increment(work.handled);
        metrics::counter!("bronzespoke_fleet_busy_microseconds_total", "lane" => name)
            .increment(work.busy.as_micros() as u64);
        metrics::gauge!("bronzespoke_fleet_longest_wait_seconds", "lane" => name)
            .set(work.longest_wait.as_secs_f64());
        metrics::gauge!("bronzespoke_fleet_waiting_messages", "lane" => name).set(*waiting as f64);
    }
}

/// Records a frame that was dropped because its lane was full.
pub fn dropped(lane: Lane) {
    metrics::counter!("bronzespoke_fleet_frames_dropped_total", "lane" => lane.name()).increment(1);
}

/// Records whether this daemon leads, how many calls wait for a leader, how long the newest message waited for the
/// control thread, and how many log lines were dropped.
pub fn state(leads: bool, waiting_calls: usize, lag: Duration) {
    metrics::gauge!("bronzespoke_fleet_control_lag_seconds").set(lag.as_secs_f64());
    metrics::gauge!("bronzespoke_fleet_leads").set(f64::from(u8::from(leads)));
    metrics::gauge!("bronzespoke_fleet_waiting_calls").set(waiting_calls as f64);
    metrics::counter!("bronzespoke_fleet_log_lines_dropped_total").absolute(crate::logging::dropped_lines());
}

/// Records how many availability zones are evacuated, as far as this daemon's replica knows.
pub fn evacuated_zones(zones: usize) {
    metrics::gauge!("bronzespoke_fleet_evacuated_zones").set(zones as f64);
}

const fn outcome_name(outcome: directive::Outcome) -> &'static str {
    match outcome {
        directive::Outcome::Done => "done",
        directive::Outcome::Failed => "failed",
        directive::Outcome::Stopped => "stopped",
        directive::Outcome::Lapsed => "lapsed",
        directive::Outcome::Broken => "broken",
        directive::Outcome::Alone => "alone",
        directive::Outcome::NeverStarted => "never_started",
        directive::Outcome::Lost => "lost",
    }
}
