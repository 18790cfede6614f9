//! Messages between the leader, its log, the workers and the eligibility service.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{self, Registration},
    query_queue,
};
use bronzespoke_workload::{directive, eligibility, worker as announced};
use bytes::Bytes;
use rand::Rng;

use super::{
    COMMIT_LATENCY, DIRECTIVE_TIMEOUT, EPOCH_MS, Event, LATENCY, MAX_ACCEPT_QUEUE, SentDirective, Simulation,
    is_eligible, zone_of,
};

/// Time after which an announcement that was lost is repeated.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Pause of a late directive whose worker has just restarted.
const LATE_RETRY: Duration = Duration::from_millis(20);

impl Simulation {
    pub(super) fn propose(&mut self, command: cell::Command) {
        self.next_proposal += 1;
        self.proposals.insert(self.next_proposal, (self.term, command));
        self.schedule(COMMIT_LATENCY, Event::Commit(self.next_proposal));
    }

    pub(super) fn commit(&mut self, proposal: u64) {
        let Some((_, command)) = self.proposals.remove(&proposal) else {
            return;
        };
        let outcome = self.apply(command.clone());
        let now = self.dispatch_now();
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.committed(&self.state, now, &command, &outcome);
        }
    }

    pub(super) fn apply(&mut self, command: cell::Command) -> cell::Outcome {
        let ends = match &command {
            cell::Command::End(ends) => ends.clone(),
            _ => Vec::new(),
        };
        self.recent.observe(self.now, &command);
        let outcome = self.state.apply(self.dispatch_now().wall_ms, command);
        for end in ends {
            self.record_job_end(end.task.job);
        }
        outcome
    }

    pub(super) fn announce(&mut self, index: usize) {
        let (Some(worker), Some(dispatch)) = (&self.hosts[index].worker, &mut self.dispatch) else {
            return;
        };
        if self.hosts[index].disconnected {
            self.schedule(HEARTBEAT, Event::Announce(index));
            return;
        }
        let announcement = announced::Announcement {
            incarnation: announced::Incarnation {
                name: worker.name.clone(),
                started_ms: worker.started_ms,
            },
            sequence: 1,
            worker: announced::Worker {
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
                pool: String::from("fleet"),
                zone: zone_of(index),
                kind: String::from("a"),
                rack: format!("r{}", index / 8),
                labels: vec![String::from("a"), format!("r{}", index / 8)],
                room: worker.capacity,
                machine: None,
            },
            state: match self.hosts[index].departs_at {
                Some(at) => announced::State::Draining {
                    remaining: Some(at.saturating_sub(self.now)),
                },
                None if self.hosts[index].draining => announced::State::Draining { remaining: None },
                None => announced::State::Ready,
            },
            cold: Duration::ZERO,
        };
        if let Registration::Propose(command) = dispatch.announce(&self.state, self.now, &announcement) {
            self.propose(command);
        }
    }

    pub(super) fn send(
        &mut self,
        worker: cell::WorkerIndex,
        directive: directive::Directive,
        decided: Duration,
    ) {
        let Some(registered) = self.state.workers().get(&worker) else {
            return;
        };
        let record = self.dispatch.as_ref().map(dispatch::Dispatch::workers);
        let Some(record) = record.and_then(|workers| workers.get(&worker)) else {
            return;
        };
        let target = usize::from(registered.worker.address.port() - 1_000);
        let sent = SentDirective {
            term: self.term,
            fence: record.fencing_token(self.term),
            worker,
            directive,
            decided,
            target,
            name: registered.incarnation.name.clone(),
        };
        let number = self.next_directive;
        self.next_directive += 1;
        let timeout = match &sent.directive {
            directive::Directive::Renew { wait, .. } => DIRECTIVE_TIMEOUT + *wait,
            _ => DIRECTIVE_TIMEOUT,
        };
        self.sent.insert(number, sent);
        let late = self.rng.random_bool(self.plan.faults.late_directives);
        if late {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(delay, Event::DeliverLate(number));
        } else {
            let latency = self.latency();
            self.schedule(latency, Event::Deliver(number));
        }
        self.schedule(timeout, Event::Answer(number, None));
    }

    pub(super) fn deliver(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let host = &mut self.hosts[sent.target];
        if host.disconnected {
            return;
        }
        let Some(worker) = &host.worker else {
            if self.plan.faults.accept_queue {
                // A connection that does not fit into the queue is dropped, and its directive is not answered either.
                if host.accept_queue.len() < MAX_ACCEPT_QUEUE {
                    host.accept_queue.push(number);
                }
                return;
            }
            // No worker listens on the host, so the connection is refused.
            let latency = self.latency();
            self.schedule(latency, Event::Answer(number, Some(directive::Answer::NotSent)));
            return;
        };
        if !answered && worker.token == 0 {
            // A late directive to the earlier incarnation cannot be refused before this one has received its own token,
            // whatever the leader does.
            self.schedule(LATE_RETRY, Event::DeliverLate(number));
            return;
        }
        self.execute(number, answered);
    }

    /// Executes a directive on its worker and sends the answer, if `answered`.
    pub(super) fn execute(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let (target, directive) = (sent.target, sent.directive.clone());
        let fence = sent.fence;
        let name = sent.name.clone();
        let Some(worker) = &mut self.hosts[target].worker else {
            return;
        };
        let acknowledged = match &directive {
            directive::Directive::Renew { acknowledged, .. } => worker.ends_up_to(*acknowledged),
            _ => Vec::new(),
        };
        let (answer, started) = worker.execute(self.now, fence, &name, &directive);
        let waits = matches!(&directive, directive::Directive::Renew { wait, .. } if !wait.is_zero());
        let has_ends = worker.has_ends();
        if let Some((task, run)) = started {
            self.start_run(target, task, run);
        }
        // A refused request acknowledges nothing.
        if matches!(answer, directive::Answer::Report(_)) {
            self.record_ends(acknowledged);
        }
        if !answered || self.rng.random_bool(self.plan.faults.lost_answers) {
            return;
        }
        if waits && !has_ends && matches!(answer, directive::Answer::Report(_)) {
            self.hosts[target].waiting_reports.push(number);
            return;
        }
        let latency = self.latency();
        self.schedule(latency, Event::Answer(number, Some(answer)));
    }

    pub(super) fn answer(&mut self, number: u64, answer: Option<&directive::Answer>) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        if answer.is_none()
            && matches!(
                &sent.directive,
                directive::Directive::Start { .. } | directive::Directive::Stop { .. }
            )
        {
            // The directive is kept because it may be executed late.
        } else if answer.is_some() && self.hosts[sent.target].disconnected {
            return;
        }
        if let Some(dispatch) = self
            .dispatch
            .as_mut()
            .filter(|dispatch| dispatch.token() == sent.term)
        {
            let now = dispatch::Now {
                steady: self.now,
                wall_ms: EPOCH_MS + self.now.as_millis() as u64,
            };
            let (worker, directive, decided) = (sent.worker, sent.directive.clone(), sent.decided);
            dispatch.answered(&self.state, now, worker, &directive, decided, answer);
        }
        if answer.is_some() {
            self.sent.remove(&number);
        }
    }

    pub(super) fn send_query(&mut self, assignment: &query_queue::Assignment) {
        let key = assignment.query.step.job;
        let Some(job) = self.jobs.get(&key) else { return };
        let kind = &self.plan.kinds[job.kind];
        let Some(cost) = kind.queue.advice else { return };
        let step = assignment.query.step.step;
        let workers = assignment.query.workers.iter().filter(|name| {
            let index = name.split('-').nth(1).and_then(|index| index.parse().ok());
            index.is_some_and(|index| is_eligible(key, step, index, kind))
        });
        let answer = eligibility::Answer::Eligible {
            workers: workers
                .map(|name| (name.clone(), Bytes::from_static(b"ticket")))
                .collect(),
            valid: None,
        };
        let took = cost.decision + cost.per_worker * assignment.query.workers.len() as u32;
        let free = self.proxy_free.entry(assignment.proxy).or_default();
        *free = (*free).max(self.now) + took;
        let delay = free.saturating_sub(self.now) + LATENCY * 2;
        self.schedule(delay, Event::QueryAnswered(assignment.number, answer));
    }
}
