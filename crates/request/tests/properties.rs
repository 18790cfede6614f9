//! Properties of the decisions under random input.
//!
//! Each property also runs with its rules switched off, one at a time, and must then fail. A property that holds
//! without its rule checks nothing.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::{id, target, vm};
use bronzespoke_request::{
    admission::{self, Admission, Decision, Flow, Owner, Request},
    allotment, attempt,
    retry::{self, Retry},
    router::{self, Router},
    rules::Rules,
};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};

type Check<T> = fn(Rules, &T) -> Result<(), String>;
type DisableRule = fn(&mut Rules);

/// Runs a property with all rules, then with each of `disabled` applied, on the same fixed seed.
fn holds_only_with_rules<T: std::fmt::Debug>(
    strategy: impl Strategy<Value = T>,
    check: Check<T>,
    disabled: &[DisableRule],
) {
    let runner = || {
        TestRunner::new_with_rng(
            Config {
                cases: 150,
                max_shrink_iters: 0,
                failure_persistence: None,
                ..Config::default()
            },
            proptest::test_runner::TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha),
        )
    };
    let run = |rules: Rules| {
        runner().run(&strategy, |input| {
            check(rules, &input).map_err(TestCaseError::fail)
        })
    };
    if let Err(error) = run(Rules::default()) {
        panic!("{error}");
    }
    for (number, disable) in disabled.iter().enumerate() {
        let mut rules = Rules::default();
        disable(&mut rules);
        assert!(
            run(rules).is_err(),
            "the property still holds with rule {number} disabled"
        );
    }
}

const FLOW: Flow = Flow {
    service: 1,
    owner: Owner::Team(1),
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Requests: whether each is repeatable, and the progress of each of its attempts.
fn requests() -> impl Strategy<Value = Vec<(bool, Vec<u8>)>> {
    prop::collection::vec((any::<bool>(), prop::collection::vec(0..3_u8, 1..6)), 1..60)
}

fn check_retries(rules: Rules, requests: &Vec<(bool, Vec<u8>)>) -> Result<(), String> {
    let mut retry = Retry::new(10, rules);
    let mut paid = 0;
    for (repeatable, attempts) in requests {
        retry.record_request(FLOW);
        let mut history = attempt::Execution::NotRun;
        let mut worst = attempt::Execution::NotRun;
        for (number, progress) in (1..).zip(attempts) {
            let progress = [
                attempt::Progress::NotSent,
                attempt::Progress::Sent,
                attempt::Progress::ResponseStarted,
            ][usize::from(*progress)];
            worst = worst.max(progress.execution());
            let attempt = retry::Attempt {
                flow: FLOW,
                repeatable: *repeatable,
                progress,
                history,
                attempts: number,
                response_started: false,
                deadline: ms(1000),
            };
            match retry.decide(ms(0), &attempt) {
                retry::Decision::Retry(known) => {
                    if !repeatable && worst != attempt::Execution::NotRun {
                        return Err(format!("a non-repeatable request is retried after {progress:?}"));
                    }
                    paid += u64::from(!(progress == attempt::Progress::NotSent && number == 1));
                    history = known;
                }
                retry::Decision::GiveUp(known) => {
                    if known == attempt::Execution::NotRun && worst != attempt::Execution::NotRun {
                        return Err("a request that may have run is reported as not run".to_owned());
                    }
                    break;
                }
            }
        }
    }
    let budget = retry::BUDGET_CAP + requests.len() as f64 * 0.1;
    if paid as f64 > budget {
        return Err(format!("{paid} retries were charged to a budget of {budget}"));
    }
    Ok(())
}

/// Guards against retries of non-repeatable requests that may have run, a false `not run`, and retry storms.
#[test]
fn retries_follow_the_rules() {
    holds_only_with_rules(
        requests(),
        check_retries,
        &[
            |rules| rules.retry_only_when_not_run = false,
            |rules| rules.keep_run_history = false,
            |rules| rules.retry_budget = false,
        ],
    );
}

#[derive(Debug, Clone)]
enum Step {
    Pick,
    End(u8, usize),
    Depart(u64),
    Load(u64, u32),
    Remove(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Pick),
        4 => (0..4_u8, 0..64_usize).prop_map(|(outcome, index)| Step::End(outcome, index)),
        1 => (1..8_u64).prop_map(Step::Depart),
        1 => (1..8_u64, 0..12_u32).prop_map(|(target, load)| Step::Load(target, load)),
        1 => (1..8_u64).prop_map(Step::Remove),
        1 => (1..900_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..300)
}

const BYTES: u32 = 10_000;
const RATE: u32 = 40_000;

fn check_routing(rules: Rules, steps: &Vec<Step>) -> Result<(), String> {
    let own = allotment::Entry {
        vm: 1,
        place: vm::Place { region: 0, zone: 0 },
    };
    let mut router = Router::new(router::Config {
        own,
        remote_bytes_per_second: RATE,
        seed: 5,
        load_source: router::LoadSource::Response,
        rules,
    });
    let mut targets: Vec<(id::ServiceId, target::Status)> = (1..8).map(|id| (1, status(id))).collect();
    let mut now = ms(0);
    let mut sent: Vec<id::TargetId> = Vec::new();
    router.apply(now, router::Update::Targets(&targets));
    for step in steps {
        match step {
            Step::Pick => {
                let request = router::Request {
                    service: 1,
                    exclude: &[],
                    bytes: BYTES,
                };
                let free = router.free_slots(now, 1);
                let choice = router.pick(now, &request);
                if (free > 0) != matches!(choice, router::Choice::Target(_)) {
                    return Err(format!("{free} slots are free, but the choice is {choice:?}"));
                }
                if let router::Choice::Target(id) = choice {
                    check_pick(&router, &targets, &sent, id)?;
                    sent.push(id);
                }
            }
            Step::End(outcome, index) if !sent.is_empty() => {
                let id = sent.swap_remove(index % sent.len());
                let outcome = match outcome {
                    0 => attempt::Outcome::Success {
                        latency: ms(5),
                        load: Some(3),
                    },
                    1 => attempt::Outcome::TimedOut,
                    _ => attempt::Outcome::Failed,
                };
                router.finish(now, id, outcome);
            }
            Step::End(..) => {}
            Step::Depart(id) => change(&mut targets, *id, |status| status.departing = !status.departing),
            Step::Load(id, load) => change(&mut targets, *id, |status| status.in_flight = *load),
            Step::Remove(id) => match targets
                .iter()
                .position(|(_, status)| status.announcement.target == *id)
            {
                Some(position) => drop(targets.remove(position)),
                None => targets.push((1, status(*id))),
            },
            Step::Wait(millis) => now += ms(*millis),
        }
        router.apply(now, router::Update::Targets(&targets));
        router.verify()?;
        let (known, ejected) = router.target_counts(1);
        if ejected > known / 2 {
            return Err(format!("{ejected} of {known} targets are ejected"));
        }
        let max = f64::from(RATE) * (now.as_secs_f64() + 1.0) + f64::from(BYTES);
        if router.remote_bytes() as f64 > max {
            return Err(format!(
                "{} bytes were sent to other regions, but at most {max} are allowed",
                router.remote_bytes()
            ));
        }
    }
    Ok(())
}

fn check_pick(
    router: &Router,
    targets: &[(id::ServiceId, target::Status)],
    sent: &[id::TargetId],
    id: id::TargetId,
) -> Result<(), String> {
    let status = targets
        .iter()
        .find(|(_, status)| status.announcement.target == id);
    let Some((_, status)) = status else {
        return Err(format!("target {id} was removed but is picked"));
    };
    if status.departing {
        return Err(format!("target {id} is departing but is picked"));
    }
    let allotment = router.endpoint(id).map_or(0, |(_, connections, _)| connections);
    let in_flight = sent.iter().filter(|other| **other == id).count() as u32 + 1;
    if in_flight > allotment {
        return Err(format!(
            "{in_flight} requests at target {id}, but this VM's allotment is {allotment}"
        ));
    }
    Ok(())
}

fn change(
    targets: &mut [(id::ServiceId, target::Status)],
    id: id::TargetId,
    change: impl FnOnce(&mut target::Status),
) {
    let found = targets
        .iter_mut()
        .find(|(_, status)| status.announcement.target == id);
    if let Some((_, status)) = found {
        change(status);
    }
}

/// Four targets in the zone, one in the region and two in another region, with so few connections that they run out.
fn status(id: id::TargetId) -> target::Status {
    let place = match id {
        1..=4 => vm::Place { region: 0, zone: 0 },
        5 => vm::Place { region: 0, zone: 1 },
        _ => vm::Place { region: 1, zone: 2 },
    };
    target::Status {
        announcement: target::Announcement {
            target: id,
            incarnation: 1,
            service: String::new(),
            address: ([127, 0, 0, 1], 1).into(),
            slots: 8,
            connections: 4,
        },
        place,
        departing: false,
        in_flight: 0,
    }
}

/// Guards against picks of departing targets, too many connections or ejections, and traffic to other regions beyond
/// its budget.
#[test]
fn routing_follows_the_rules() {
    holds_only_with_rules(
        steps(),
        check_routing,
        &[
            |rules| rules.skip_departing = false,
            |rules| rules.connection_allotment = false,
            |rules| rules.ejection_bound = false,
            |rules| rules.remote_budget = false,
        ],
    );
}

/// Arriving requests: the team, and how many requests end after the arrival.
fn arrivals() -> impl Strategy<Value = Vec<(u32, u32)>> {
    prop::collection::vec((0..3_u32, 0..2_u32), 300..1200)
}

const LIMIT: u32 = 6;
const SLOTS: u32 = 8;

fn check_admission(rules: Rules, arrivals: &Vec<(u32, u32)>) -> Result<(), String> {
    let mut admission = Admission::new(1, rules);
    let mut running: Vec<Flow> = Vec::new();
    let mut waiting: HashMap<u32, usize> = HashMap::new();
    let mut started = [0_u32; 3];
    let mut all_queued = true;
    for (id, (team, ends)) in (0..).zip(arrivals) {
        let flow = Flow {
            service: 1,
            owner: Owner::Team(*team),
        };
        let request = Request {
            id,
            flow,
            weight: team + 1,
            limit: LIMIT,
            deadline: ms(3_600_000),
        };
        let free = SLOTS.saturating_sub(running.len() as u32);
        match admission.admit(ms(id), request, free) {
            Decision::Admitted => running.push(flow),
            Decision::Queued => *waiting.entry(*team).or_insert(0) += 1,
            Decision::Rejected { .. } => {}
        }
        for _ in 0..*ends {
            if !running.is_empty() {
                let flow = running.swap_remove(id as usize % running.len());
                admission.finish(ms(id), flow, admission::Outcome::Ignored);
            }
            let free = SLOTS.saturating_sub(running.len() as u32);
            if let Some(next) = admission.dequeue(ms(id), 1, free) {
                let Owner::Team(team) = next.flow.owner else {
                    return Err("the owner of the request is not a team".to_owned());
                };
                *waiting.entry(team).or_insert(0) -= 1;
                running.push(next.flow);
                if id > 200 {
                    started[team as usize] += 1;
                }
            }
        }
        if id > 200 {
            all_queued &= (0..3).all(|team| waiting.get(&team).is_some_and(|count| *count > 0));
        }
        admission.verify()?;
        check_counts(&running, &waiting)?;
    }
    let total: u32 = started.iter().sum();
    if all_queued && total > 120 {
        // While every team has queued requests, starts follow the weights 1 : 2 : 3, apart from rounding per queue.
        for (team, count) in (1..).zip(started) {
            let fair = f64::from(total) * f64::from(team) / 6.0;
            if (f64::from(count) - fair).abs() > fair * 0.2 + 8.0 {
                return Err(format!(
                    "team {team} started {count} requests, but its fair share is {fair}"
                ));
            }
        }
    }
    Ok(())
}

fn check_counts(running: &[Flow], waiting: &HashMap<u32, usize>) -> Result<(), String> {
    for team in 0..3 {
        let count = running
            .iter()
            .filter(|flow| flow.owner == Owner::Team(team))
            .count();
        if count as u32 > LIMIT {
            return Err(format!(
                "team {team} has {count} requests in flight, but its limit is {LIMIT}"
            ));
        }
    }
    match waiting
        .iter()
        .find(|(_, count)| **count > admission::QUEUE_PER_FLOW)
    {
        Some((team, count)) => Err(format!("{count} requests of team {team} are queued")),
        None => Ok(()),
    }
}

/// Guards against unbounded queues, starts that do not follow the weights, and teams above their limit.
#[test]
fn admission_follows_the_rules() {
    holds_only_with_rules(
        arrivals(),
        check_admission,
        &[
            |rules| rules.team_limit = false,
            |rules| rules.fair_queues = false,
        ],
    );
    let one_team = prop::collection::vec((Just(0_u32), Just(0_u32)), 400..500);
    holds_only_with_rules(one_team, check_admission, &[|rules| rules.queue_bound = false]);
}

/// Guards against allotments whose sum exceeds what a target accepts or a team may have in flight.
#[test]
fn allotments_add_up_to_at_most_the_total() {
    let places = prop::collection::vec((0..3_u16, 0..3_u16), 1..40);
    let runner = &mut TestRunner::deterministic();
    let result = runner.run(
        &(places, 0..200_u32, 0..3_u16, 0..3_u16),
        |(places, total, region, zone)| {
            let place = |region: u16, zone: u16| vm::Place {
                region,
                zone: region * 3 + zone,
            };
            let entries: Vec<allotment::Entry> = (1..)
                .zip(&places)
                .map(|(vm, (region, zone))| allotment::Entry {
                    vm,
                    place: place(*region, *zone),
                })
                .collect();
            let target = place(region, zone);
            let sum = |allotment: &dyn Fn(allotment::Entry) -> u32| {
                entries.iter().map(|entry| allotment(*entry)).sum::<u32>()
            };
            prop_assert!(sum(&|own| allotment::connections(total, target, own, &entries)) <= total);
            prop_assert_eq!(sum(&|own| allotment::slots(total, target, own, &entries)), total);
            prop_assert_eq!(sum(&|own| allotment::limit(total, own.vm, &entries)), total);
            Ok(())
        },
    );
    result.expect("the allotments add up");
}
