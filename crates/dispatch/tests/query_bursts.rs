//! Eligibility queries in a burst, in counts and simulated time, without a network.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_dispatch::query_queue::Queue;
use bronzespoke_workload::{catalog, eligibility};
use bytes::Bytes;

/// Time of a query on its way to the service and back.
const TRAVEL: Duration = Duration::from_millis(33);
/// Calls of one VM that the service queues.
const SERVICE_QUEUE: usize = 32;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn step(job: u64) -> eligibility::Step {
    eligibility::Step {
        job,
        occurrence: 0,
        step: 0,
    }
}

fn named(count: u32) -> Vec<(cell::WorkerIndex, String)> {
    (0..count).map(|index| (index, format!("w-{index}"))).collect()
}

const fn cost(decision_us: u64, per_worker_us: u64) -> catalog::QueryCost {
    catalog::QueryCost {
        decision: Duration::from_micros(decision_us),
        per_worker: Duration::from_micros(per_worker_us),
        valid: millis(2_500),
    }
}

const URGENT: catalog::QueryCost = cost(9_000, 130);
const GANG: catalog::QueryCost = cost(440_000, 6_200);
const BATCH: catalog::QueryCost = cost(120_000, 1_800);

/// The service: it handles the queries of each VM one at a time, in turn.
#[derive(Default)]
struct Service {
    free_at: BTreeMap<u64, Duration>,
    answers: BTreeMap<(Duration, u64), eligibility::Answer>,
    in_flight: BTreeMap<u64, usize>,
    most_in_flight: usize,
    proxies: BTreeMap<u64, u64>,
}

impl Service {
    fn take(
        &mut self,
        now: Duration,
        proxy: u64,
        number: u64,
        workers: &[String],
        cost: &catalog::QueryCost,
    ) {
        let took = cost.decision + cost.per_worker * workers.len() as u32;
        let free = self.free_at.entry(proxy).or_default();
        *free = (*free).max(now + TRAVEL / 2) + took;
        let names = workers
            .iter()
            .map(|name| (name.clone(), Bytes::from_static(b"t")));
        let answer = eligibility::Answer::Eligible {
            workers: names.collect(),
            valid: None,
        };
        self.answers.insert((*free + TRAVEL / 2, number), answer);
        let in_flight = self.in_flight.entry(proxy).or_default();
        *in_flight += 1;
        self.most_in_flight = self.most_in_flight.max(*in_flight);
        self.proxies.insert(number, proxy);
    }

    fn due(&mut self, now: Duration) -> Vec<(u64, eligibility::Answer)> {
        let later = self.answers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut self.answers, later);
        for (_, number) in due.keys() {
            *self.in_flight.get_mut(&self.proxies[number]).expect("in flight") -= 1;
        }
        due.into_iter()
            .map(|((_, number), answer)| (number, answer))
            .collect()
    }
}

/// Guards against urgent steps that wait for their first query while VMs are occupied by the travel time of other short
/// queries: 300 jobs per second and the long queries of the other queues, through 48 VMs.
#[test]
fn a_burst_gets_its_first_queries_at_once() {
    let mut queries = Queue::new(1);
    queries.set_proxies(&(1..=48).collect::<Vec<_>>());
    let mut service = Service::default();
    let (mut waiting, mut enqueued_at) = (Vec::new(), BTreeMap::new());
    let (mut sent, mut longest) = (0_usize, Duration::ZERO);
    let mut next = 0;
    for at in (0..4_000).map(millis) {
        for (number, answer) in service.due(at) {
            if let Some(step) = queries.record_answer(at, number, &answer) {
                let known = queries.eligibility(step).expect("queried");
                if !known.is_outstanding() {
                    waiting.retain(|other| *other != step);
                }
            }
        }
        let ms = at.as_millis() as u64;
        // 300 urgent jobs per second, and more long queries than all VMs could take, as in a burst of all queues.
        let mut arrivals = vec![(URGENT, 60); usize::from(ms * 300 / 1_000 != (ms + 1) * 300 / 1_000)];
        arrivals.extend((ms % 50 == 0).then_some((GANG, 128)));
        arrivals.extend((ms % 25 == 0).then_some((BATCH, 60)));
        for (cost, workers) in arrivals {
            next += 1;
            assert!(queries.enqueue(at, step(next), &cost, named(workers)));
            waiting.insert(0, step(next));
            enqueued_at.insert(step(next), (at, cost));
        }
        let mut assignments = Vec::new();
        queries.assign(at, &waiting, &mut assignments);
        for assignment in assignments {
            let (since, cost) = enqueued_at[&assignment.query.step];
            let query = &assignment.query;
            service.take(at, assignment.proxy, assignment.number, &query.workers, &cost);
            if cost == URGENT {
                sent += 1;
                longest = longest.max(at - since);
            }
        }
    }
    assert_eq!(sent, 1_200, "one message for each urgent step");
    assert!(longest <= millis(4), "{longest:?} from the step to its query");
    assert!(service.most_in_flight <= 4 && service.most_in_flight < SERVICE_QUEUE);
}

/// Guards against first queries that wait behind repeated ones: a step whose workers are known has somewhere to start.
#[test]
fn first_queries_precede_repeated_ones() {
    let mut queries = Queue::new(1);
    queries.set_proxies(&[1]);
    let mut out = Vec::new();
    queries.enqueue(millis(0), step(1), &URGENT, named(4));
    queries.assign(millis(0), &[step(1)], &mut out);
    let answer = eligibility::Answer::Eligible {
        workers: Vec::new(),
        valid: None,
    };
    queries.record_answer(millis(40), out[0].number, &answer);
    for _ in 0..2 {
        queries.enqueue(millis(50), step(1), &URGENT, named(200));
    }
    for job in 2..5 {
        queries.enqueue(millis(50), step(job), &URGENT, named(4));
    }
    out.clear();
    queries.assign(millis(50), &(1..5).map(step).collect::<Vec<_>>(), &mut out);
    let order: Vec<u64> = out.iter().map(|sent| sent.query.step.job).collect();
    assert_eq!(order, [2, 3, 4, 1], "the repeated query is last");
}

/// Guards against a long query that shares its VM: a short one behind it would wait for half a second.
#[test]
fn a_long_query_is_alone_on_its_proxy() {
    let mut queries = Queue::new(1);
    queries.set_proxies(&[1, 2]);
    let mut out = Vec::new();
    queries.enqueue(millis(0), step(1), &GANG, named(20));
    queries.enqueue(millis(0), step(2), &GANG, named(20));
    for job in 3..20 {
        queries.enqueue(millis(0), step(job), &URGENT, named(4));
    }
    queries.assign(millis(0), &(1..20).map(step).collect::<Vec<_>>(), &mut out);
    let mut by_proxy: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for sent in &out {
        by_proxy.entry(sent.proxy).or_default().push(sent.query.step.job);
    }
    assert!(out.len() <= 8, "{by_proxy:?}");
    for jobs in by_proxy.values() {
        assert!(!jobs.contains(&1) || jobs.len() == 1, "{by_proxy:?}");
        assert!(jobs.len() <= 4, "{by_proxy:?}");
    }
}

/// Guards against gangs that wait for one query of 60 expensive workers: 0.8 s, of which a half is for the workers.
#[test]
fn expensive_workers_are_spread_over_more_queries() {
    let mut queries = Queue::new(1);
    queries.set_proxies(&(1..=48).collect::<Vec<_>>());
    let mut out = Vec::new();
    queries.enqueue(millis(0), step(1), &GANG, named(128));
    queries.enqueue(millis(0), step(2), &BATCH, named(60));
    queries.assign(millis(0), &[step(1), step(2)], &mut out);
    let sizes = |job| -> Vec<usize> {
        let of_step = out.iter().filter(|sent| sent.query.step == step(job));
        of_step.map(|sent| sent.query.workers.len()).collect()
    };
    assert_eq!(sizes(1), [32, 32, 32, 32]);
    assert_eq!(sizes(2), [60]);
}
