//! Log lines that lead from an operator's read or change of the configuration to the state that it was served from.

use bronzespoke_model::id;
use bronzespoke_workload::call;

use crate::fleet::{commands::Responder, controller::Controller};

impl Controller {
    /// Logs that this leader answers a call about the configuration, and from which state.
    pub(super) fn trace_configuration(&self, decision: &str, version: Option<u64>, responder: &Responder) {
        let now = self.now();
        let (requester, number) = self.requester(responder);
        let in_force = self.state.catalog().map(|catalog| catalog.version);
        let replica = self.member.as_ref().map(|member| member.replica().status());
        let lease_age = self
            .member
            .as_ref()
            .and_then(|member| member.replica().lease_age(now));
        log::info!(
            "decision={decision} requester={requester} number={number} version={version:?} in_force={in_force:?} \
             applied={:?} term={:?} lease_age_ms={:?} uptime_ms={}",
            replica.as_ref().map(|status| status.applied),
            replica.as_ref().map(|status| status.term),
            lease_age.map(|age| age.as_millis()),
            now.as_millis()
        );
    }

    /// Logs that a notice of departure has reached this leader, and through which daemon.
    pub(super) fn trace_departure(&self, worker: &str, responder: &Responder) {
        let (through, _) = self.requester(responder);
        log::info!("event=departure_notice worker={worker} through={through}");
    }

    /// Returns the daemon that a call came through, and the number of the call there.
    pub(super) fn requester(&self, responder: &Responder) -> (id::VmId, u64) {
        responder.forwarded().unwrap_or((self.me.vm, 0))
    }

    /// Logs the reply to an operator's call that this daemon forwarded.
    pub(super) fn trace_reply(&self, from: id::VmId, number: u64, reply: &call::Reply) {
        let Some(pending) = self.calls.pending(number) else {
            log::debug!("decision=drop_reply from={from} number={number} reason=not_pending");
            return;
        };
        let name = match &pending.call {
            call::Call::Configure { .. } => "configure",
            call::Call::ShowConfiguration => "show_configuration",
            call::Call::Evacuate { .. } => "evacuate",
            _ => return,
        };
        let outcome = match reply {
            call::Reply::Done => "done",
            call::Reply::Document(_) => "document",
            call::Reply::NotLeader => "not_leader",
            call::Reply::Outdated => "outdated",
            _ => "other",
        };
        let now = self.now();
        let (to, at) = pending.sent().unzip();
        log::info!(
            "decision=pass_reply call={name} number={number} from={from} sent_to={to:?} sent_ms_ago={:?} \
             outcome={outcome} uptime_ms={}",
            at.map(|at| now.saturating_sub(at).as_millis()),
            now.as_millis()
        );
    }
}
