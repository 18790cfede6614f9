//! Admission by the forecast: which jobs are refused when more work waits than can still be useful.

mod common;

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Late, Now, Request},
    forecast::{Class, Demand, Forecast, Pool},
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{
    load,
    simulation::{Plan, Report, Simulation},
};
use bronzespoke_workload::{catalog, job, settings};
use bytes::Bytes;
use yare::parameterized;

const WORKERS: u16 = 10;
const ROOM: resource::Amount = resource::Amount::new(16_000, 65_536, 0);
/// Cores of the whole pool.
const CORES: f64 = 160.0;

const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// A queue whose jobs of 0.8 s have an objective of 1.6 s and are useful for 4.8 s.
fn urgent() -> catalog::Queue {
    load::queue("check", 0, Duration::from_millis(400), 1.5, 2)
}

fn batch() -> catalog::Queue {
    load::queue("audit", 2, Duration::from_secs(3), 4.0, 2)
}

/// A step of 16 cores for 0.8 s.
fn step() -> job::Step {
    job::Step {
        tasks: 16,
        size: resource::Amount::new(1_000, 1_000, 0),
        run_time: Duration::from_millis(800),
        ..job::Step::default()
    }
}

fn submission(step: job::Step) -> job::Submission {
    job::Submission {
        spec: Bytes::new(),
        steps: vec![step],
        schedule: None,
    }
}

fn dispatch(state: &cell::State, now: Now) -> Dispatch {
    let config = Config {
        token: 1,
        bounds: settings::Bounds::default(),
        past_use: None,
    };
    Dispatch::new(config, state, now)
}

/// Returns the state of a cell with ten idle workers and waiting jobs of a queue. Team `limited` may use 16 cores.
fn state_with(waiting: u64, queue: &catalog::Queue, team: &str) -> cell::State {
    let mut state = cell::State::default();
    let mut apply = |command| {
        state.apply(at(0).wall_ms, command);
    };
    apply(cell::Command::Configure {
        catalog: Box::new(catalog::Catalog {
            version: 1,
            queues: vec![urgent(), batch()],
            pools: Vec::new(),
            teams: vec![catalog::Team {
                name: String::from("limited"),
                keys: Vec::new(),
                weight: 1.0,
                limit: resource::Amount::new(16_000, 0, 0),
            }],
        }),
        document: Bytes::new(),
    });
    for number in 0..WORKERS {
        let announcement = load::announcement(number, 1, ROOM);
        apply(cell::Command::Register {
            incarnation: announcement.incarnation,
            worker: Box::new(announcement.worker),
            draining: false,
        });
    }
    for key in 1..=waiting {
        apply(cell::Command::Submit {
            key,
            queue: Box::new(queue.clone()),
            team: Some(String::from(team)),
            submission: Box::new(submission(step())),
        });
    }
    state
}

fn admit(
    dispatch: &mut Dispatch,
    state: &cell::State,
    now: Now,
    key: job::Key,
    queue: &catalog::Queue,
    submission: &job::Submission,
) -> Result<(), Late> {
    let request = Request {
        key,
        queue,
        team: Some("other"),
        submission,
    };
    dispatch.admit(state, now, &request, || false)
}

/// Submits an urgent job of a new id while jobs wait.
fn admit_behind(waiting: u64, queue: &catalog::Queue, team: &str, now: Now) -> Result<(), Late> {
    let state = state_with(waiting, queue, team);
    let mut dispatch = dispatch(&state, at(0));
    admit(&mut dispatch, &state, now, 10_000, &urgent(), &submission(step()))
}

/// Guards against jobs that are accepted although they can only end when nobody needs them any more. 200 waiting jobs
/// keep the pool busy for 16 s, and the job is useful for 4.8 s.
#[test]
fn a_job_that_ends_after_its_late_goal_is_refused() {
    let late = admit_behind(200, &urgent(), "team", at(0)).expect_err("it is too late");
    assert_eq!(late.useful, Duration::from_millis(4_800));
    assert!(late.end > late.useful, "{late:?}");
    assert_eq!(late.expectation.ahead_steps, 200);
    assert!(
        late.retry_after > Duration::from_secs(12) && late.retry_after < Duration::from_secs(24),
        "{late:?}"
    );
}

/// Guards against refusals of jobs that would be late but useful, and of jobs that nothing useful delays: 40 waiting jobs
/// take 3.2 s; waiting jobs of a lower priority and jobs that wait for their team's limit do not delay an urgent one;
/// jobs that are useless since 5.2 s are placed last.
#[parameterized(
    idle = { 0, urgent(), "team", 0 },
    short_backlog = { 10, urgent(), "team", 0 },
    late_but_useful = { 40, urgent(), "team", 0 },
    lower_priority = { 400, batch(), "team", 0 },
    team_at_its_limit = { 400, urgent(), "limited", 0 },
    useless_backlog = { 400, urgent(), "team", 10_000 },
)]
fn a_job_that_can_be_useful_is_accepted(waiting: u64, queue: catalog::Queue, team: &str, millis: u64) {
    assert_eq!(admit_behind(waiting, &queue, team, at(millis)), Ok(()));
}

/// Guards against the reply "not accepted" to a caller whose job is accepted or being committed.
#[test]
fn a_resent_submission_is_never_refused() {
    let state = state_with(200, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    let submission = submission(step());
    assert_eq!(
        admit(&mut dispatch, &state, at(0), 3, &urgent(), &submission),
        Ok(()),
        "accepted"
    );
    let queue = urgent();
    let request = Request {
        key: 10_000,
        queue: &queue,
        team: None,
        submission: &submission,
    };
    assert_eq!(
        dispatch.admit(&state, at(0), &request, || true),
        Ok(()),
        "being committed"
    );
    assert!(dispatch.admit(&state, at(0), &request, || false).is_err());
}

/// Guards against the refusal of work whose start is not a matter of the present backlog.
#[test]
fn schedules_and_lasting_tasks_are_not_refused() {
    let state = state_with(200, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    let lasting = submission(job::Step {
        lasting: true,
        ..step()
    });
    let scheduled = job::Submission {
        schedule: Some(job::Schedule {
            first: Duration::from_secs(1_700_000_000),
            interval: Duration::from_secs(60),
            times: 3,
        }),
        ..submission(step())
    };
    for submission in [lasting, scheduled] {
        assert_eq!(
            admit(&mut dispatch, &state, at(0), 10_000, &urgent(), &submission),
            Ok(())
        );
    }
}

/// Guards against a burst that is accepted as a whole because it arrives between two surveys, or because its jobs are not
/// committed yet.
#[test]
fn accepted_jobs_count_before_they_are_committed() {
    let state = state_with(0, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    let submission = submission(step());
    let mut accepted = 0;
    for number in 0..400 {
        let now = at(number / 2);
        accepted += u32::from(
            admit(
                &mut dispatch,
                &state,
                now,
                10_000 + number,
                &urgent(),
                &submission,
            )
            .is_ok(),
        );
    }
    // 160 cores run ten jobs at a time, five times in the 4 s up to the latest start, plus the margin of a third.
    assert!((50..=80).contains(&accepted), "{accepted}");
}

/// Guards against a new leader that refuses everything because no worker has reported yet, or nothing because it knows no
/// backlog: two leaders of the same state decide alike.
#[test]
fn a_new_leader_decides_alike() {
    let decide = |waiting| {
        let state = state_with(waiting, &urgent(), "team");
        let mut second = dispatch(&state, at(500));
        admit(
            &mut second,
            &state,
            at(500),
            10_000,
            &urgent(),
            &submission(step()),
        )
        .is_ok()
    };
    assert!(decide(40));
    assert!(!decide(200));
}

/// Guards against returns of refused callers that form the next burst: the work that returns in each second fits into
/// the pool, callers who were refused before get earlier times, and a caller that returns too early keeps its time.
#[test]
fn returns_are_spread_within_capacity() {
    let state = state_with(200, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    let submission = submission(step());
    let mut refuse = |key, millis| {
        let admitted = admit(&mut dispatch, &state, at(millis), key, &urgent(), &submission);
        admitted.expect_err("it is too late").retry_after
    };
    let mut seconds: BTreeMap<u64, f64> = BTreeMap::new();
    let mut last = Duration::ZERO;
    for key in 10_000..10_300 {
        let retry_after = refuse(key, 0);
        assert!(retry_after >= Duration::from_secs(1));
        *seconds.entry(retry_after.as_secs()).or_default() += 16.0 * 0.8;
        last = last.max(retry_after);
    }
    assert!(seconds.len() > 20, "{seconds:?}");
    for (second, work) in &seconds {
        assert!(*work <= CORES, "{work} core-seconds return in second {second}");
    }
    assert_eq!(refuse(10_005, 100), refuse(10_005, 100), "it keeps its time");
    let newcomer = refuse(20_000, 0);
    assert!(newcomer > last, "{newcomer:?} after {last:?}");
}

const fn class(tier: u8, within_share: bool) -> Class {
    Class { tier, within_share }
}

const fn demand(class: Class) -> Demand {
    Demand {
        class,
        latest_start: 4_000,
        size: resource::Amount::new(1_000, 1_000, 0),
        tasks: 16,
        gang: false,
        run_time: Duration::from_millis(800),
    }
}

/// Returns a forecast of a pool with 200 waiting jobs of a class.
fn forecast_with(waiting: Class) -> Forecast {
    let mut pool = Pool::default();
    for _ in 0..WORKERS {
        pool.add_worker(ROOM, 1.0);
    }
    for _ in 0..200 {
        pool.add_waiting(&demand(waiting));
    }
    let mut forecast = Forecast::default();
    let pools = [(String::from("fleet"), pool)].into();
    forecast.survey(Duration::ZERO, pools, 0, |_| false);
    forecast
}

/// Guards against a team beyond its share that displaces the jobs of others: only teams beyond their share are delayed by
/// its work, and it is refused first.
#[test]
fn work_beyond_a_share_delays_only_teams_beyond_theirs() {
    let start = |waiting, submitted| {
        let mut forecast = forecast_with(waiting);
        let expectation = forecast.expect(Duration::ZERO, "fleet", &demand(submitted));
        expectation.expect("the pool has workers").start
    };
    let late = Duration::from_secs(10);
    for tier in [0, 1] {
        let (within, beyond) = (class(tier, true), class(tier, false));
        assert_eq!(start(beyond, within), Duration::ZERO);
        assert!(start(beyond, beyond) > late);
        assert!(start(within, beyond) > late);
        assert!(start(within, within) > late);
    }
    assert_eq!(start(class(1, true), class(0, true)), Duration::ZERO);
}

/// Guards against runs beyond a share that delay teams within theirs, and against running work that is ignored.
#[test]
fn running_work_delays_by_its_expected_end() {
    let start = |within_share| {
        let mut pool = Pool::default();
        for _ in 0..WORKERS {
            pool.add_worker(ROOM, 1.0);
            pool.add_run(ROOM, Duration::from_secs(5), within_share);
        }
        for _ in 0..20 {
            pool.add_waiting(&demand(class(0, true)));
        }
        let mut forecast = Forecast::default();
        let pools = [(String::from("fleet"), pool)].into();
        forecast.survey(Duration::ZERO, pools, 0, |_| false);
        let expectation = forecast.expect(Duration::ZERO, "fleet", &demand(class(0, true)));
        expectation.expect("the pool has workers").start
    };
    assert!(start(true) >= Duration::from_secs(5), "{:?}", start(true));
    assert!(start(false) < Duration::from_secs(3), "{:?}", start(false));
}

/// Guards against returning callers who wait behind those who were refused for the first time.
#[test]
fn callers_who_were_refused_before_return_earlier() {
    let mut forecast = forecast_with(class(0, true));
    let job = demand(class(0, true));
    let clear = Duration::from_secs(10);
    let mut refuse = |now: u64, key| {
        let now = Duration::from_secs(now);
        now + forecast.refuse(now, now.as_millis() as u64, key, "fleet", &job, clear)
    };
    let first = refuse(0, 1);
    for key in 100..200 {
        refuse(first.as_secs(), key);
    }
    let again = refuse(first.as_secs(), 1);
    let newcomer = refuse(first.as_secs(), 300);
    assert!(
        again + Duration::from_secs(10) < newcomer,
        "{again:?}, {newcomer:?}"
    );
}

/// Guards against tables that grow with the number of refused callers, and retry times without a bound.
#[test]
fn retry_times_are_bounded() {
    let mut forecast = forecast_with(class(0, true));
    let job = demand(class(0, true));
    for key in 0..20_000 {
        let retry_after = forecast.refuse(Duration::ZERO, 1, key, "fleet", &job, Duration::MAX);
        assert!(retry_after <= Duration::from_secs(242), "{retry_after:?}");
    }
    assert_eq!(forecast.first_refusal(0), None, "the oldest are forgotten");
    assert_eq!(forecast.first_refusal(19_999), Some(1));
}

/// Guards against a cost of each submission that grows with the workers and the waiting work.
#[test]
fn surveys_are_bounded_by_time() {
    let state = state_with(900, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    let submission = submission(step());
    for number in 0..1_000 {
        let admitted = admit(
            &mut dispatch,
            &state,
            at(number),
            10_000 + number,
            &urgent(),
            &submission,
        );
        assert!(admitted.is_err());
    }
    let cost = dispatch.forecast_cost();
    assert_eq!(cost.surveys, 10);
    assert_eq!(cost.surveyed, 10 * (900 + u64::from(WORKERS)));
    assert!(cost.buckets <= 1_000 * 3 * 240, "{cost:?}");
}

/// Guards against a forecast that costs anything where nothing waits.
#[test]
fn nothing_is_forecast_without_a_backlog() {
    let state = state_with(0, &urgent(), "team");
    let mut dispatch = dispatch(&state, at(0));
    assert_eq!(
        admit(
            &mut dispatch,
            &state,
            at(0),
            10_000,
            &urgent(),
            &submission(step())
        ),
        Ok(())
    );
    assert_eq!(dispatch.forecast_cost().buckets, 0);
    assert_eq!(dispatch.forecast_cost().surveys, 0);
}

fn simulate(plan: Plan, with_admission: bool) -> Report {
    let seed = plan.seed;
    let mut simulation = Simulation::new(plan);
    if with_admission {
        simulation = simulation.with_admission();
    }
    let report = simulation.run(Duration::from_mins(2));
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        report.violations
    );
    assert!(
        report.unfinished.is_empty(),
        "seed {seed}: {:x?}",
        report.unfinished
    );
    report
}

fn useful(report: &Report) -> usize {
    let kinds = report.kinds.iter();
    kinds.map(|kind| kind.on_time + kind.late).sum()
}

/// Guards against refusals where the fleet has room, and against an effect on decisions there.
#[test]
fn a_calm_day_is_served_as_before() {
    for seed in 0..3 {
        let before = simulate(common::calm(seed), false);
        let after = simulate(common::calm(seed), true);
        assert_eq!(after.refused, 0);
        assert_eq!(useful(&after), useful(&before));
        assert_eq!(after.starts, before.starts);
    }
}

/// The first deployment under a burst: twelve times the urgent jobs and three times the gangs for eight seconds. Guards
/// against jobs that are accepted and end when they are useless, without fewer useful ones; before, all were accepted.
#[test]
fn fewer_jobs_of_a_burst_are_accepted_in_vain() {
    let (mut useful_before, mut useful_after) = (0, 0);
    let (mut in_vain_before, mut in_vain_after) = (0, 0);
    for seed in 0..4 {
        let plan = || Plan {
            bursts: vec![
                (0, Duration::from_secs(4), Duration::from_secs(8), 3.0),
                (2, Duration::from_secs(4), Duration::from_secs(8), 12.0),
            ],
            ..common::calm(800 + seed)
        };
        let before = simulate(plan(), false);
        let after = simulate(plan(), true);
        for (name, report) in [("before", &before), ("after", &after)] {
            let kinds = report.kinds.iter();
            let ends: Vec<_> = kinds
                .map(|kind| (kind.submitted, kind.on_time, kind.late))
                .collect();
            println!(
                "seed {seed} {name}: {} accepted, {} refusals, submitted, on time and late {ends:?}, {:?}, {:?}",
                report.accepted, report.refused, report.forecast_errors, report.forecast_cost
            );
        }
        useful_before += useful(&before);
        useful_after += useful(&after);
        in_vain_before += before.accepted - useful(&before);
        in_vain_after += after.accepted - useful(&after);
    }
    println!("useful {useful_before} and {useful_after}, in vain {in_vain_before} and {in_vain_after}");
    assert!(
        useful_after >= useful_before,
        "{useful_after} useful jobs, {useful_before} before"
    );
    assert!(
        in_vain_after < in_vain_before,
        "{in_vain_after} jobs in vain, {in_vain_before} before"
    );
}
