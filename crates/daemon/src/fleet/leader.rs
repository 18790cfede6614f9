//! Work of the leader: serves calls and executes scheduling decisions.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::{self, Dispatch, Output, Registration};
use bronzespoke_workload::{call, catalog, eligibility, worker};

use crate::{
    fleet::{commands::Responder, controller::Controller, metric, relay, wire},
    peer,
};

/// Interval at which the proxies for eligibility queries are selected.
const PROXIES_INTERVAL: Duration = Duration::from_millis(100);

impl Controller {
    /// Begins or ends a term when the role of the replica has changed.
    pub(super) fn update_leadership(&mut self) {
        let term = self.member.as_ref().and_then(super::member::Member::leading_term);
        let token = self.dispatch.as_ref().map(Dispatch::token);
        if term == token {
            return;
        }
        if token.is_some() {
            log::info!("belief=term_over token={token:?}");
            self.dispatch = None;
            self.relays = relay::Relays::default();
            for pending in self.commands.take_batch() {
                self.respond(pending.responder, call::Reply::NotLeader);
            }
        }
        if let Some(term) = term {
            let config = dispatch::Config {
                token: term,
                bounds: self.settings.bounds,
                past_use: self.past_use,
            };
            let now = self.times();
            log::info!(
                "belief=term_begun token={term} jobs={} workers={} config={:?}",
                self.state.active().count(),
                self.state.workers().len(),
                self.state.catalog().map(|catalog| catalog.version)
            );
            self.dispatch = Some(Dispatch::new(config, &self.state, &self.recent, now));
            self.proxies_at = now.steady;
            let reachable: Vec<_> = self
                .discovery
                .reachable(now.steady)
                .map(|(endpoint, _)| endpoint)
                .collect();
            for endpoint in reachable {
                self.welcome(now.steady, endpoint);
            }
        }
    }

    /// Advances the scheduler to the current time and executes its decisions.
    pub(super) fn run_dispatch(&mut self) {
        let now = self.times();
        if self.dispatch.is_none() || !self.holds_lease(now.steady) {
            return;
        }
        if now.steady >= self.proxies_at {
            self.proxies_at = now.steady + PROXIES_INTERVAL;
            let proxies = self.proxies(now.steady);
            if let Some(dispatch) = &mut self.dispatch {
                dispatch.set_proxies(&proxies);
            }
            self.update_relays(now.steady);
            if let Some(dispatch) = &mut self.dispatch {
                metric::load(dispatch, self.state.active().count());
                if let Some(shares) = dispatch.take_share_report(now.steady) {
                    metric::shares(&shares);
                }
            }
        }
        let Some(dispatch) = &mut self.dispatch else {
            return;
        };
        dispatch.tick(&self.state, now);
        let outputs = dispatch.take_outputs();
        for output in outputs {
            self.execute(output);
        }
        self.flush_relays();
    }

    /// Returns the VMs that can query the eligibility service: all that are reachable, and this one.
    fn proxies(&self, now: Duration) -> Vec<bronzespoke_model::id::VmId> {
        if self.settings.advice.is_none() {
            return Vec::new();
        }
        let reachable = self.discovery.reachable(now).map(|(endpoint, _)| endpoint.vm);
        reachable.chain([self.me.vm]).collect()
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.enqueue(command, Responder::Discard),
            Output::Directive {
                worker,
                directive,
                decided,
            } => self.send_directive(decided, worker, directive),
            Output::Query(request) => {
                if request.proxy == self.me.vm {
                    self.sender.send_query(self.me, request.number, request.query);
                } else if let Some(peer) = self.discovery.address(request.proxy) {
                    let message = wire::Message::Query {
                        number: request.number,
                        query: request.query,
                    };
                    let endpoint = wire::Endpoint {
                        vm: request.proxy,
                        peer,
                    };
                    self.send(endpoint, peer::wire::Body::Fleet(message));
                }
            }
            Output::Event(event) => {
                metric::decision(&event);
                log::info!("{event}");
            }
        }
    }

    /// Passes an answer of the eligibility service to the daemon that issued the query.
    pub(super) fn query_answered(
        &mut self,
        requester: wire::Endpoint,
        number: u64,
        answer: eligibility::Answer,
    ) {
        if requester.vm == self.me.vm {
            let now = self.now();
            if let Some(dispatch) = &mut self.dispatch {
                dispatch.query_answered(now, number, &answer);
            }
            return;
        }
        let message = wire::Message::Eligibility { number, answer };
        self.send(requester, peer::wire::Body::Fleet(message));
    }

    /// Serves a call as the leader.
    pub(super) fn serve(&mut self, call: call::Call, responder: Responder) {
        let now = self.now();
        if self.dispatch.is_none() || !self.holds_lease(now) || self.leaving {
            self.respond(responder, call::Reply::NotLeader);
            return;
        }
        match call {
            call::Call::Job(job) => match verified(&job.action) {
                Ok(()) => self.serve_job(job, responder),
                Err(reason) => {
                    log::warn!("decision=refuse path={} reason=\"{reason}\"", job.path);
                    self.respond(responder, call::Reply::Invalid(reason));
                }
            },
            call::Call::Configure { catalog, document } => {
                log::info!("decision=configure version={}", catalog.version);
                self.enqueue(cell::Command::Configure { catalog, document }, responder);
            }
            call::Call::ShowConfiguration => {
                self.trace_configuration("show_configuration", None, &responder);
                let reply = match self.state.catalog() {
                    Some(_) => call::Reply::Document(self.state.document().clone()),
                    None => refused(call::Refusal::NoConfiguration, Duration::from_secs(1)),
                };
                self.respond(responder, reply);
            }
            call::Call::Announce(announcement) => self.announce(now, &announcement, responder),
            call::Call::Evacuate { zone, active, seen } => self.order_zone(zone, active, seen, responder),
            call::Call::Leave { name } => {
                self.trace_departure(&name, &responder);
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.leave(now, &name);
                }
                self.respond(responder, call::Reply::Done);
            }
        }
    }

    fn announce(&mut self, now: Duration, announcement: &worker::Announcement, responder: Responder) {
        let Some(dispatch) = &mut self.dispatch else {
            self.respond(responder, call::Reply::NotLeader);
            return;
        };
        match dispatch.announce(&self.state, now, announcement) {
            Registration::Known | Registration::Outdated => self.respond(responder, call::Reply::Done),
            Registration::UnknownPool => self.ignore(announcement, "unknown_pool", responder),
            Registration::OtherAddress => self.ignore(announcement, "other_address", responder),
            Registration::Propose(command) => {
                log::info!(
                    "decision=register worker={} born={} state={:?} address={}",
                    announcement.incarnation.name,
                    announcement.incarnation.started_ms,
                    announcement.state,
                    announcement.worker.address
                );
                self.enqueue(command, responder);
            }
        }
    }

    /// Acknowledges an announcement that describes no worker.
    fn ignore(&mut self, announcement: &worker::Announcement, reason: &'static str, responder: Responder) {
        log::info!(
            "decision=ignore_announcement worker={} reason={reason} pool={} address={}",
            announcement.incarnation.name,
            announcement.worker.pool,
            announcement.worker.address
        );
        self.respond(responder, call::Reply::Done);
    }

    fn serve_job(&mut self, call: call::Job, responder: Responder) {
        match self.route(&call) {
            Err(reply) => {
                log::info!(
                    "decision=refuse host={} path={} action={} reply={reply:?}",
                    call.host,
                    call.path,
                    action_name(&call.action)
                );
                self.reject(responder, reply);
            }
            Ok((queue, team)) => self.serve_routed(&queue, team, call.action, responder),
        }
    }

    /// Sends a rejection of a call, unless an earlier copy of the call is being committed: that one's outcome is the
    /// reply to both.
    pub(super) fn reject(&mut self, responder: Responder, reply: call::Reply) {
        if self.commands.is_under_way(&responder) {
            log::info!("decision=drop_copy responder={responder:?} reason=under_way");
            return;
        }
        self.respond(responder, reply);
    }

    /// Returns the queue and the team of a call.
    fn route(&self, call: &call::Job) -> Result<(catalog::Queue, Option<String>), call::Reply> {
        let Some(catalog) = self.state.catalog() else {
            return Err(refused(call::Refusal::NoConfiguration, Duration::from_secs(1)));
        };
        let Some(queue) = catalog.route(&call.host, &call.path) else {
            return Err(call::Reply::NoQueue);
        };
        let team = call.key.as_deref().and_then(|key| catalog.team_of_key(key));
        if !queue.open && team.is_none() {
            return Err(call::Reply::BadKey);
        }
        let counts = matches!(call.action, call::Action::CountPending);
        if counts && queue.prefix.trim_end_matches('/') != call.path.trim_end_matches('/') {
            return Err(call::Reply::NoQueue);
        }
        Ok((queue.clone(), team.map(|team| team.name.clone())))
    }

    fn serve_routed(
        &mut self,
        queue: &catalog::Queue,
        team: Option<String>,
        action: call::Action,
        responder: Responder,
    ) {
        match action {
            call::Action::Submit(key, submission) => self.submit(queue, team, key, submission, responder),
            call::Action::Show(key) => {
                let job = self.state.job(key);
                let reply = match job.filter(|job| job.is_visible(team.as_deref())) {
                    Some(job) => {
                        let phase = self.dispatch.as_ref().map(|dispatch| dispatch.phase(job));
                        call::Reply::Phase(phase.unwrap_or(job.phase))
                    }
                    None => call::Reply::NoJob,
                };
                self.respond(responder, reply);
            }
            call::Action::Cancel(key) => self.cancel(queue, team, key, responder),
            call::Action::CountPending => {
                let pending = match &self.dispatch {
                    Some(dispatch) => dispatch.pending(&self.state, &queue.name),
                    None => self.state.pending(&queue.name),
                };
                self.respond(responder, call::Reply::Pending(pending));
            }
        }
    }
}

/// Checks a submission that another daemon decoded. One whose steps depend on missing ones must not be recorded: no
/// replica could apply it.
fn verified(action: &call::Action) -> Result<(), String> {
    match action {
        call::Action::Submit(_, submission) => submission.verify().map_err(|error| error.to_string()),
        call::Action::Show(_) | call::Action::Cancel(_) | call::Action::CountPending => Ok(()),
    }
}

pub(super) const fn refused(reason: call::Refusal, retry_after: Duration) -> call::Reply {
    call::Reply::Refused { reason, retry_after }
}

const fn action_name(action: &call::Action) -> &'static str {
    match action {
        call::Action::Submit(..) => "submit",
        call::Action::Show(_) => "show",
        call::Action::Cancel(_) => "cancel",
        call::Action::CountPending => "count",
    }
}
