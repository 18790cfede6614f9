//! Properties of the order by shares.

use std::time::Duration;

use bronzespoke_workload::job;
use yare::parameterized;

use crate::fleet::{Fleet, Job, queue};

/// Longest time for which the share of its team may keep a step waiting.
const MAX_DEFERRAL: Duration = Duration::from_mins(1);

/// A job of some tasks of four cores, four of which fill a worker.
fn small(team: &str, tasks: u32, run_ms: u64) -> Job {
    Job {
        team: String::from(team),
        queue: queue("batch", 2, 4.0, 3_000),
        tasks,
        cpu: 4_000,
        run_time: Duration::from_millis(run_ms),
        gang: false,
    }
}

fn submit_many(fleet: &mut Fleet, count: u32, job: &Job) -> Vec<job::Key> {
    (0..count).map(|_| fleet.submit(job.clone())).collect()
}

/// Guards against shares that do not follow the weights while all teams have more work than fits.
#[parameterized(equal = { 1.0, 1.0 }, three_to_one = { 3.0, 1.0 }, one_to_nine = { 1.0, 9.0 })]
fn a_full_fleet_is_shared_by_weight(first: f64, second: f64) {
    let mut fleet = Fleet::new(20, &[("a", first), ("b", second)], true);
    // Of `a`, many more jobs wait.
    submit_many(&mut fleet, 900, &small("a", 1, 900));
    submit_many(&mut fleet, 600, &small("b", 1, 900));
    fleet.run(2_000);
    let mut sum = 0.0;
    let samples = 40;
    for _ in 0..samples {
        fleet.run(100);
        sum += fleet.share("a") / (fleet.share("a") + fleet.share("b"));
    }
    let share = sum / f64::from(samples);
    let expected = first / (first + second);
    assert!((share - expected).abs() < 0.06, "{share} instead of {expected}");
}

/// Guards against a small team that waits for the backlog of a large one.
#[test]
fn a_small_team_does_not_wait_for_the_backlog_of_a_large_one() {
    let wait = |teams| {
        let mut fleet = Fleet::new(20, &[("large", 20.0), ("small", 1.0)], teams);
        submit_many(&mut fleet, 400, &small("large", 4, 1_000));
        fleet.run(1_500);
        let key = fleet.submit(small("small", 4, 1_000));
        fleet.run(30_000);
        fleet.took[&key]
    };
    let (before, after) = (wait(false), wait(true));
    // Its run, and the rest of the runs that occupy the fleet.
    assert!(after < Duration::from_millis(2_300), "{after:?}");
    assert!(before > after * 3, "{before:?} by slack");
}

/// Guards against capacity that stays free while work waits, since its team is beyond its share.
#[test]
fn a_team_alone_uses_all_of_the_fleet() {
    let mut fleet = Fleet::new(20, &[("a", 1.0), ("b", 1_000.0)], true);
    submit_many(&mut fleet, 400, &small("a", 4, 1_000));
    fleet.submit(small("b", 1, 30_000));
    fleet.run(1_000);
    let mut least = 1.0_f64;
    let mut sum = 0.0;
    for _ in 0..100 {
        fleet.run(50);
        assert!(fleet.dispatch.waiting_steps() > 0);
        least = least.min(fleet.used());
        sum += fleet.used();
    }
    // A worker is idle between the end of a run and its record.
    assert!(sum / 100.0 > 0.9, "{} on average, {least} at least", sum / 100.0);
}

/// Guards against work that its team's share keeps waiting for as long as others send more than fits.
#[test]
fn the_share_keeps_no_step_waiting_for_longer_than_the_bound() {
    let mut fleet = Fleet::new(4, &[("a", 1_000.0), ("b", 0.01)], true);
    let mut flood = small("a", 1, 1_000);
    flood.queue = queue("batch", 2, 4.0, 600_000);
    let mut deferred = small("b", 1, 1_000);
    deferred.queue = queue("batch", 2, 4.0, 100_000);
    for _ in 0..10 {
        fleet.submit(flood.clone());
        fleet.run(100);
    }
    // More than the number of jobs that accumulates as owed.
    let keys = submit_many(&mut fleet, 30, &deferred);
    submit_many(&mut fleet, 40, &flood);
    for _ in 0..700 {
        submit_many(&mut fleet, 2, &flood);
        fleet.run(100);
    }
    fleet.run(20_000);
    let longest = keys.iter().map(|key| fleet.took[key]).max().expect("30 jobs");
    assert!(longest > Duration::from_secs(20), "{longest:?} shows no deferral");
    let turn = Duration::from_secs(6);
    assert!(longest < MAX_DEFERRAL + turn, "{longest:?}");
}

/// Guards against a wide gang of a team within its share that finds no room, since the small tasks of a team beyond its
/// share take each worker that becomes free.
#[test]
fn a_wide_job_finds_room_beside_a_flood() {
    let wait = |teams| {
        let mut fleet = Fleet::new(16, &[("flood", 2.0), ("wide", 2.0)], teams);
        submit_many(&mut fleet, 500, &small("flood", 2, 1_000));
        fleet.run(1_200);
        let key = fleet.submit(Job {
            cpu: 4_500,
            gang: true,
            queue: queue("gang", 1, 2.2, 1_200),
            ..small("wide", 16, 2_000)
        });
        fleet.run(60_000);
        fleet.took[&key]
    };
    let (before, after) = (wait(false), wait(true));
    eprintln!("{before:?} by slack, {after:?} by shares");
    assert!(after <= before, "{before:?} by slack, {after:?}");
    // Its run, and two turns of the flood's tasks.
    assert!(after < Duration::from_millis(4_500), "{after:?}");
}

/// Guards against a new leader that knows no shares: what runs and waits has to show them.
#[test]
fn a_new_leader_continues_with_the_shares() {
    let mut fleet = Fleet::new(20, &[("large", 5.0), ("small", 5.0)], true);
    submit_many(&mut fleet, 400, &small("large", 4, 1_000));
    fleet.run(1_500);
    let is_beyond = |fleet: &Fleet| {
        let shares = fleet.dispatch.team_shares();
        let large = shares.iter().find(|share| share.team == "large");
        large.map(|share| (share.beyond, share.excess > 200))
    };
    fleet.submit(small("small", 4, 1_000));
    fleet.run(50);
    assert_eq!(is_beyond(&fleet), Some((true, true)));
    fleet.run(2_000);
    fleet.elect();
    fleet.run(2_000);
    let key = fleet.submit(small("small", 4, 1_000));
    fleet.run(50);
    assert_eq!(is_beyond(&fleet), Some((true, true)));
    fleet.run(10_000);
    assert!(
        fleet.took[&key] < Duration::from_millis(2_500),
        "{:?}",
        fleet.took[&key]
    );
}

/// Guards against a pass whose work grows with the product of teams and waiting steps.
#[test]
fn shares_of_many_teams_cost_no_more_passes_or_workers() {
    let names: Vec<String> = (0..640).map(|number| format!("team-{number}")).collect();
    let weights: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    let work = |teams| {
        let mut fleet = Fleet::new(100, &weights, teams);
        for number in 0..100 {
            fleet.submit(small(&names[number % 640], 4, 600_000));
        }
        fleet.run(1_000);
        for number in 0..900 {
            fleet.submit(small(&names[number % 640], 2, 60_000));
        }
        fleet.run(500);
        assert_eq!(fleet.dispatch.waiting_steps(), 900);
        let (before, visits) = (fleet.dispatch.work(), fleet.dispatch.share_visits());
        fleet.run(1_000);
        let work = fleet.dispatch.work().since(&before);
        (work, fleet.dispatch.share_visits() - visits)
    };
    let (plain, _) = work(false);
    let (shared, visits) = work(true);
    assert_eq!(shared, plain);
    // Each account is visited once in a pass, and each waiting step twice: to add it, and to place it.
    assert!(
        visits <= shared.passes * (641 + 2 * 900),
        "{visits} in {shared:?}"
    );
}
