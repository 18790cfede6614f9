//! Properties of the decisions under random input. Each property also runs with its rule switched off, and has to
//! notice that: a property that holds without its rule checks nothing.

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
type Break = fn(&mut Rules);

/// Runs a property with every rule, then with the broken one, on the same fixed seed.
fn holds_only_with<T: std::fmt::Debug>(
    strategy: impl Strategy<Value = T>,
    check: Check<T>,
    broken: &[Break],
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
    for (number, break_rule) in broken.iter().enumerate() {
        let mut rules = Rules::default();
        break_rule(&mut rules);
        assert!(run(rules).is_err(), "broken rule {number} is not noticed");
    }
}

const FLOW: Flow = Flow {
    service: 1,
    owner: Owner::Team(1),
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Attempts of one request: for each, how far it got; and whether the request is repeatable.
fn attempts() -> impl Strategy<Value = Vec<(bool, Vec<u8>)>> {
    prop::collection::vec((any::<bool>(), prop::collection::vec(0..3_u8, 1..6)), 1..60)
}

fn check_retries(rules: Rules, requests: &Vec<(bool, Vec<u8>)>) -> Result<(), String> {
    let mut retry = Retry::new(10, rules);
    let mut paid = 0;
    for (repeatable, states) in requests {
        retry.record_request(FLOW);
        let mut history = attempt::Execution::NotRun;
        let mut worst = attempt::Execution::NotRun;
        for (number, state) in (1..).zip(states) {
            let state = [
                attempt::Progress::NotSent,
                attempt::Progress::Sent,
                attempt::Progress::ResponseStarted,
            ][usize::from(*state)];
            worst = worst.max(state.execution());
            let question = retry::Attempt {
                flow: FLOW,
                repeatable: *repeatable,
                progress: state,
                history,
                attempts: number,
                response_started: false,
                deadline: ms(1000),
            };
            match retry.decide(ms(0), &question) {
                retry::Decision::Retry(known) => {
                    if !repeatable && worst != attempt::Execution::NotRun {
                        return Err(format!("a non-repeatable request is sent again after {state:?}"));
                    }
                    paid += u64::from(!(state == attempt::Progress::NotSent && number == 1));
                    history = known;
                }
                retry::Decision::GiveUp(known) => {
                    if known == attempt::Execution::NotRun && worst != attempt::Execution::NotRun {
                        return Err("a request that may have run is called not run".to_owned());
                    }
                    break;
                }
            }
        }
    }
    let budget = retry::BUDGET_CAP + requests.len() as f64 * 0.1;
    if paid as f64 > budget {
        return Err(format!("{paid} retries with a budget of {budget}"));
    }
    Ok(())
}

/// Guards against repeated non-repeatable requests, untrue `not run` and retry storms.
#[test]
fn retries_keep_their_rules() {
    holds_only_with(
        attempts(),
        check_retries,
        &[
            |rules| rules.repeat_only_when_not_run = false,
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
    Lose(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Pick),
        4 => (0..4_u8, 0..64_usize).prop_map(|(end, which)| Step::End(end, which)),
        1 => (1..8_u64).prop_map(Step::Depart),
        1 => (1..8_u64, 0..12_u32).prop_map(|(target, load)| Step::Load(target, load)),
        1 => (1..8_u64).prop_map(Step::Lose),
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
                let query = router::Request {
                    service: 1,
                    exclude: &[],
                    bytes: BYTES,
                };
                let free = router.free_slots(now, 1);
                let choice = router.pick(now, &query);
                if (free > 0) != matches!(choice, router::Choice::Target(_)) {
                    return Err(format!("room for {free}, but the choice is {choice:?}"));
                }
                if let router::Choice::Target(id) = choice {
                    check_pick(&router, &targets, &sent, id)?;
                    sent.push(id);
                }
            }
            Step::End(end, which) if !sent.is_empty() => {
                let id = sent.swap_remove(which % sent.len());
                let end = match end {
                    0 => attempt::Outcome::Success {
                        latency: ms(5),
                        load: Some(3),
                    },
                    1 => attempt::Outcome::TimedOut,
                    _ => attempt::Outcome::Failed,
                };
                router.finish(now, id, end);
            }
            Step::End(..) => {}
            Step::Depart(id) => change(&mut targets, *id, |status| status.departing = !status.departing),
            Step::Load(id, load) => change(&mut targets, *id, |status| status.in_flight = *load),
            Step::Lose(id) => match targets
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
        let most = f64::from(RATE) * (now.as_secs_f64() + 1.0) + f64::from(BYTES);
        if router.remote_bytes() as f64 > most {
            return Err(format!(
                "{} bytes to other regions, {most} are allowed",
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
        return Err(format!("target {id} is gone but picked"));
    };
    if status.departing {
        return Err(format!("target {id} departs but is picked"));
    }
    let part = router.endpoint(id).map_or(0, |(_, part, _)| part);
    let now = sent.iter().filter(|other| **other == id).count() as u32 + 1;
    if now > part {
        return Err(format!("{now} requests at target {id}, this VM's part is {part}"));
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

/// Four targets in the zone, one in the region and two in another region; few connections, so that they run out.
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

/// Guards against picks of departing targets, too many connections, too many ejections and costly traffic.
#[test]
fn routing_keeps_its_rules() {
    holds_only_with(
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

/// Offers: team, and how many starts follow.
fn offers() -> impl Strategy<Value = Vec<(u32, u32)>> {
    prop::collection::vec((0..3_u32, 0..2_u32), 300..1200)
}

const LIMIT: u32 = 6;
const ROOM: u32 = 8;

fn check_admission(rules: Rules, offers: &Vec<(u32, u32)>) -> Result<(), String> {
    let mut admission = Admission::new(1, rules);
    let mut running: Vec<Flow> = Vec::new();
    let mut waiting: HashMap<u32, usize> = HashMap::new();
    let mut started = [0_u32; 3];
    let mut all_waited = true;
    for (id, (team, ends)) in (0..).zip(offers) {
        let flow = Flow {
            service: 1,
            owner: Owner::Team(*team),
        };
        let ticket = Request {
            id,
            flow,
            weight: team + 1,
            limit: LIMIT,
            deadline: ms(3_600_000),
        };
        let free = ROOM.saturating_sub(running.len() as u32);
        match admission.admit(ms(id), ticket, free) {
            Decision::Admitted => running.push(flow),
            Decision::Queued => *waiting.entry(*team).or_insert(0) += 1,
            Decision::Rejected { .. } => {}
        }
        for _ in 0..*ends {
            if !running.is_empty() {
                let flow = running.swap_remove(id as usize % running.len());
                admission.finish(ms(id), flow, admission::Outcome::Ignored);
            }
            let free = ROOM.saturating_sub(running.len() as u32);
            if let Some(next) = admission.dequeue(ms(id), 1, free) {
                let Owner::Team(team) = next.flow.owner else {
                    return Err("a queue owner appeared".to_owned());
                };
                *waiting.entry(team).or_insert(0) -= 1;
                running.push(next.flow);
                if id > 200 {
                    started[team as usize] += 1;
                }
            }
        }
        if id > 200 {
            all_waited &= (0..3).all(|team| waiting.get(&team).is_some_and(|count| *count > 0));
        }
        admission.verify()?;
        check_counts(&running, &waiting)?;
    }
    let total: u32 = started.iter().sum();
    if all_waited && total > 120 {
        // With every team waiting, starts follow the weights 1 to 2 to 3, apart from the rounding of each queue.
        for (team, count) in (1..).zip(started) {
            let fair = f64::from(total) * f64::from(team) / 6.0;
            if (f64::from(count) - fair).abs() > fair * 0.2 + 8.0 {
                return Err(format!("team {team} started {count}, its share is {fair}"));
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
            return Err(format!("team {team} runs {count}, its limit is {LIMIT}"));
        }
    }
    match waiting
        .iter()
        .find(|(_, count)| **count > admission::QUEUE_PER_FLOW)
    {
        Some((team, count)) => Err(format!("{count} requests of team {team} wait")),
        None => Ok(()),
    }
}

/// Guards against queues without bound, unfair starts and teams above their limit.
#[test]
fn admission_keeps_its_rules() {
    holds_only_with(
        offers(),
        check_admission,
        &[
            |rules| rules.team_limit = false,
            |rules| rules.fair_queues = false,
        ],
    );
    let one_team = prop::collection::vec((Just(0_u32), Just(0_u32)), 400..500);
    holds_only_with(one_team, check_admission, &[|rules| rules.queue_bound = false]);
}

/// Guards against parts whose sum is more than a target accepts or a team may have in flight.
#[test]
fn parts_stay_within_the_whole() {
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
            let sum = |part: &dyn Fn(allotment::Entry) -> u32| {
                entries.iter().map(|entry| part(*entry)).sum::<u32>()
            };
            prop_assert!(sum(&|own| allotment::connections(total, target, own, &entries)) <= total);
            prop_assert_eq!(sum(&|own| allotment::slots(total, target, own, &entries)), total);
            prop_assert_eq!(sum(&|own| allotment::limit(total, own.vm, &entries)), total);
            Ok(())
        },
    );
    result.expect("the parts fit");
}
