//! Periodic work of the server: applies the views of control, reports loads to it, and updates the gauges.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bronzespoke_model::id;

use crate::{control, server::context};

/// Interval at which waiting requests are re-evaluated, because targets are readmitted as time passes.
const TICK: Duration = Duration::from_millis(50);
/// Number of ticks between two load reports.
const TICKS_PER_REPORT: u32 = 5;

/// Runs until the server is cancelled or control has stopped.
pub(crate) async fn run(context: Arc<context::Context>) {
    let mut view = context.handle.view.clone();
    let mut targets = context.handle.targets.clone();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reported = HashMap::new();
    let mut count = 0;
    loop {
        tokio::select! {
            () = context.cancel.cancelled() => return,
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                refresh(&context);
            }
            changed = targets.changed() => {
                if changed.is_err() {
                    return;
                }
                refresh(&context);
            }
            _ = ticks.tick() => {
                context.balancer.tick();
                count += 1;
                if count % TICKS_PER_REPORT == 0 {
                    report_loads(&context, &mut reported);
                    update_gauges(&context);
                }
            }
        }
    }
}

/// Applies the latest views to the balancer and the pool.
pub(crate) fn refresh(context: &context::Context) {
    let view = Arc::clone(&context.handle.view.borrow());
    let targets = Arc::clone(&context.handle.targets.borrow());
    context.balancer.refresh(&view, &targets);
    let usable = targets
        .usable
        .iter()
        .map(|status| (status.announcement.target, status.announcement.address))
        .collect();
    context.pool.retain(&usable);
}

/// Updates the gauges of the gateway.
fn update_gauges(context: &context::Context) {
    let (admitted, waiting) = context.balancer.counts();
    metrics::gauge!("bronzespoke_requests_admitted").set(f64::from(admitted));
    metrics::gauge!("bronzespoke_requests_waiting").set(waiting as f64);
    metrics::gauge!("bronzespoke_requests_in_flight").set(context.in_flight() as f64);
    metrics::gauge!("bronzespoke_connections").set(context.connections() as f64);
}

/// Reports the loads that changed. If the channel is full, the report is dropped; a later one carries the current load.
fn report_loads(context: &context::Context, reported: &mut HashMap<id::TargetId, u32>) {
    let loads = context.balancer.loads();
    reported.retain(|target, _| loads.iter().any(|(known, _)| known == target));
    for (target, load) in loads {
        if reported.get(&target).copied().unwrap_or(0) == load {
            continue;
        }
        if context
            .handle
            .calls
            .try_send(control::Call::Load(target, load))
            .is_ok()
        {
            reported.insert(target, load);
        }
    }
}
