//! Metrics in the Prometheus text format.

use std::{
    fmt::Write as _,
    sync::{Arc, OnceLock, atomic::Ordering},
};

use bronzespoke_gateway::server;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::peer;

/// Prefix of the names of a fleet's metrics.
const FLEET_PREFIX: &str = "bronzespoke_fleet_";
/// Upper bounds of the buckets of a fleet's histograms, in seconds: from a directive within a zone to a caller's
/// deadline.
const FLEET_BUCKETS: [f64; 11] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// Returns the recorder of this process; several daemons of one process share it.
fn recorder() -> Option<&'static PrometheusHandle> {
    static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let install = || {
        let fleet = Matcher::Prefix(String::from(FLEET_PREFIX));
        let builder = PrometheusBuilder::new().set_buckets_for_metric(fleet, &FLEET_BUCKETS);
        builder.ok()?.install_recorder().ok()
    };
    RECORDER.get_or_init(install).as_ref()
}

/// Moves recorded samples into the histograms; otherwise they accumulate in memory until the metrics are read.
pub fn run_upkeep() {
    if let Some(recorder) = recorder() {
        recorder.run_upkeep();
    }
}

/// Returns the function that renders `/metrics`.
pub fn render(network: peer::Network) -> server::MetricsRenderer {
    let handle = recorder();
    Arc::new(move || {
        let mut text = handle.map(PrometheusHandle::render).unwrap_or_default();
        let traffic = network.traffic();
        let counters = [
            ("peer_sent_bytes_total", &traffic.sent),
            ("peer_received_bytes_total", &traffic.received),
            ("peer_dropped_frames_total", &traffic.dropped),
        ];
        for (name, counter) in counters {
            let value = counter.load(Ordering::Relaxed);
            writeln!(text, "# TYPE {name} counter\n{name} {value}")
                .expect("writing to a string does not fail");
        }
        text
    })
}
