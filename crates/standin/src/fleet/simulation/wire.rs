//! What goes between the leader, its log, the workers and the eligibility service.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{self, Registration},
    query_queue, worker,
};
use bronzespoke_workload::{directive, eligibility, worker as announced};
use bytes::Bytes;
use rand::Rng;

use super::{COMMIT, EPOCH_MS, Event, LATENCY, ORDER_TIMEOUT, Sent, Simulation, is_eligible};

impl Simulation {
    pub(super) fn propose(&mut self, command: cell::Command) {
        self.next_proposal += 1;
        self.proposals.insert(self.next_proposal, (self.term, command));
        self.at(COMMIT, Event::Commit(self.next_proposal));
    }

    pub(super) fn commit(&mut self, proposal: u64) {
        let Some((_, command)) = self.proposals.remove(&proposal) else {
            return;
        };
        let outcome = self.apply(command.clone());
        let now = self.times();
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.committed(&self.state, now, &command, &outcome);
        }
    }

    pub(super) fn apply(&mut self, command: cell::Command) -> cell::Outcome {
        let ends = match &command {
            cell::Command::End(ends) => ends.clone(),
            _ => Vec::new(),
        };
        let outcome = self.state.apply(self.times().wall_ms, command);
        for end in ends {
            self.note_job(end.task.job);
        }
        outcome
    }

    pub(super) fn announce(&mut self, index: usize) {
        let (Some(worker), Some(dispatch)) = (&self.places[index].worker, &mut self.dispatch) else {
            return;
        };
        if self.places[index].cut {
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
                zone: String::from("zone"),
                kind: String::from("a"),
                rack: format!("r{}", index / 8),
                labels: vec![String::from("a"), format!("r{}", index / 8)],
                room: worker.capacity,
                machine: None,
            },
            state: match self.places[index].gone_at {
                Some(at) => announced::State::Draining {
                    remaining: Some(at.saturating_sub(self.now)),
                },
                None => announced::State::Ready,
            },
            cold: Duration::ZERO,
        };
        if let Registration::Propose(command) = dispatch.announce(&self.state, self.now, &announcement) {
            self.propose(command);
        }
    }

    pub(super) fn send(&mut self, worker: cell::WorkerIndex, order: directive::Directive, decided: Duration) {
        let Some(registered) = self.state.workers().get(&worker) else {
            return;
        };
        let target = usize::from(registered.worker.address.port() - 1_000);
        let sent = Sent {
            term: self.term,
            worker,
            order,
            decided,
            target,
            name: registered.incarnation.name.clone(),
        };
        let number = self.next_order;
        self.next_order += 1;
        let timeout = match &sent.order {
            directive::Directive::Renew { wait, .. } => ORDER_TIMEOUT + *wait,
            _ => ORDER_TIMEOUT,
        };
        self.sent.insert(number, sent);
        let late = self.rng.random_bool(self.plan.faults.late_directives);
        if late {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.at(delay, Event::Late(number));
        } else {
            let latency = self.latency();
            self.at(latency, Event::Deliver(number));
        }
        self.at(timeout, Event::Answer(number, None));
    }

    pub(super) fn deliver(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let target = sent.target;
        let order = sent.order.clone();
        let place = &mut self.places[target];
        if place.cut {
            return;
        }
        let Some(worker) = &mut place.worker else {
            // Nothing listens there: the connection is refused.
            let latency = self.latency();
            self.at(latency, Event::Answer(number, Some(directive::Answer::NotSent)));
            return;
        };
        if let directive::Directive::Renew { acknowledged, .. } = &order {
            let noted = worker.ends_up_to(*acknowledged);
            self.note_ends(noted);
        }
        self.take(number, answered);
    }

    /// Has a worker carry an order out.
    pub(super) fn take(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let (target, order) = (sent.target, sent.order.clone());
        let fence = worker::fencing_token(sent.term, sent.worker);
        let name = sent.name.clone();
        let Some(worker) = &mut self.places[target].worker else {
            return;
        };
        let (answer, started) = worker.execute(self.now, fence, &name, &order);
        let waits = matches!(&order, directive::Directive::Renew { wait, .. } if !wait.is_zero());
        let has_ends = worker.has_ends();
        if let Some((task, run)) = started {
            self.begin(target, task, run);
        }
        if !answered || self.rng.random_bool(self.plan.faults.lost_answers) {
            return;
        }
        if waits && !has_ends && matches!(answer, directive::Answer::Report(_)) {
            self.places[target].waiting.push(number);
            return;
        }
        let latency = self.latency();
        self.at(latency, Event::Answer(number, Some(answer)));
    }

    pub(super) fn answer(&mut self, number: u64, answer: Option<&directive::Answer>) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        if answer.is_none()
            && matches!(
                &sent.order,
                directive::Directive::Start { .. } | directive::Directive::Stop { .. }
            )
        {
            // Kept for an order that is carried out late.
        } else if answer.is_some() && self.places[sent.target].cut {
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
            let (worker, order, decided) = (sent.worker, sent.order.clone(), sent.decided);
            dispatch.answered(&self.state, now, worker, &order, decided, answer);
        }
        if answer.is_some() {
            self.sent.remove(&number);
        }
    }

    pub(super) fn ask(&mut self, ask: &query_queue::Assignment) {
        let key = ask.query.step.job;
        let Some(job) = self.jobs.get(&key) else { return };
        let kind = &self.plan.kinds[job.kind];
        let Some(cost) = kind.queue.advice else { return };
        let step = ask.query.step.step;
        let workers = ask.query.workers.iter().filter(|name| {
            let index = name.split('-').nth(1).and_then(|index| index.parse().ok());
            index.is_some_and(|index| is_eligible(key, step, index, kind))
        });
        let answer = eligibility::Answer::Eligible {
            workers: workers
                .map(|name| (name.clone(), Bytes::from_static(b"ticket")))
                .collect(),
            valid: None,
        };
        let took = cost.decision + cost.per_worker * ask.query.workers.len() as u32;
        let free = self.proxy_free.entry(ask.proxy).or_default();
        *free = (*free).max(self.now) + took;
        let delay = free.saturating_sub(self.now) + LATENCY * 2;
        self.at(delay, Event::Advised(ask.number, answer));
    }
}
