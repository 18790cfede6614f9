//! Operators' orders to evacuate an availability zone, and their withdrawals.
//!
//! Copies of an order carry nothing that distinguishes them from a new one. Each daemon that passes an order on therefore
//! adds the number of orders about zones that its replica has applied, and only while the operator waits for the reply. The
//! state refuses an order with a lower number than that of the newest one about its zone: it was received before that one
//! was recorded, and is a late copy unless the daemon can still add a newer number.

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::Dispatch;
use bronzespoke_workload::call;

use crate::fleet::{commands::Responder, controller::Controller};

impl Controller {
    /// Adds to an order about a zone, which an operator sent to this daemon, the orders that this daemon has applied.
    pub(super) fn stamped(&self, mut call: call::Call) -> call::Call {
        if let call::Call::Evacuate { seen, .. } = &mut call {
            // A member that has applied nothing would mark every order as outdated; one without a replica never applies
            // any.
            let is_member = self.member.is_some() && self.state.catalog().is_some();
            *seen = is_member.then(|| self.state.zone_orders());
        }
        call
    }

    /// Serves an order about a zone as the leader.
    pub(super) fn order_zone(&mut self, zone: String, active: bool, seen: Option<u64>, responder: Responder) {
        let (requester, number) = self.requester(&responder);
        if matches!(&responder, Responder::Local(sender) if sender.is_closed()) {
            log::info!("decision=drop_order zone={zone:?} active={active} reason=operator_gone");
            return;
        }
        if !self.is_known_zone(&zone) {
            log::info!(
                "decision=refuse zone={zone:?} active={active} requester={requester} number={number} \
                 reason=unknown_zone"
            );
            self.reject(responder, call::Reply::NoZone(zone));
            return;
        }
        log::info!(
            "event=zone_order zone={zone:?} active={active} requester={requester} number={number} seen={seen:?}"
        );
        self.enqueue(cell::Command::Evacuate { zone, active, seen }, responder);
    }

    /// Returns whether a zone is one of the settings, has a registered worker, or had an order that was accepted: that one
    /// may be repeated and withdrawn after its last worker has left.
    fn is_known_zone(&self, zone: &str) -> bool {
        let workers = self.state.workers();
        let mut zones = workers.values().map(|registered| registered.worker.zone.as_str());
        self.settings.zones.iter().any(|known| known == zone)
            || self.state.has_zone_order(zone)
            || zones.any(|known| known == zone)
    }

    /// Handles an order about a zone that is in the log.
    pub(super) fn zone_ordered(
        &mut self,
        zone: &str,
        active: bool,
        outcome: &cell::Outcome,
        responder: Responder,
    ) {
        let load = self
            .dispatch
            .as_ref()
            .map(|dispatch: &Dispatch| dispatch.zone_load(zone));
        let (workers, runs) = load.unwrap_or_default();
        let (requester, number) = self.requester(&responder);
        log::info!(
            "decision=evacuate zone={zone:?} active={active} outcome={outcome:?} workers={workers} runs={runs} \
             requester={requester} number={number}"
        );
        if *outcome != cell::Outcome::Outdated {
            self.respond(responder, call::Reply::Done);
            return;
        }
        match responder {
            // The operator waits, so that this is no late copy: another order was committed while this one was proposed.
            Responder::Local(sender) if !sender.is_closed() => {
                let command = cell::Command::Evacuate {
                    zone: String::from(zone),
                    active,
                    seen: Some(self.state.zone_orders()),
                };
                self.enqueue(command, Responder::Local(sender));
            }
            responder => self.respond(responder, call::Reply::Outdated),
        }
    }
}
