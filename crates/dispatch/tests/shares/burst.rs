//! Load: one team sends seven and a half times its usual traffic for 6.5 s on a fleet that is 0.8 full.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::fleet::{Fleet, Job, Served, queue};

const WORKERS: u16 = 88;
/// Share of the usual traffic of each team.
const TEAMS: [(&str, f64); 8] = [
    ("heavy", 0.4),
    ("b", 0.1),
    ("c", 0.1),
    ("d", 0.1),
    ("e", 0.1),
    ("f", 0.1),
    ("g", 0.06),
    ("h", 0.04),
];
/// Jobs per second of all teams: urgent ones, gangs and batch, with the properties of the grown deployment.
const RATES: [f64; 3] = [30.0, 1.25, 2.3];
/// Weight of a team in multiples of its usual number of jobs per second.
const WEIGHT: f64 = 1.3;
const BURST_MS: std::ops::Range<u64> = 3_000..9_500;
const FACTOR: f64 = 7.5;
const END_MS: u64 = 30_000;

fn job(kind: usize, team: &str) -> Job {
    let team = String::from(team);
    match kind {
        0 => Job {
            team,
            queue: queue("urgent", 0, 1.5, 400),
            tasks: 3,
            cpu: 2_500,
            run_time: Duration::from_millis(800),
            gang: false,
        },
        1 => Job {
            team,
            queue: queue("gang", 1, 2.2, 1_200),
            tasks: 16,
            cpu: 4_500,
            run_time: Duration::from_millis(6_200),
            gang: true,
        },
        _ => Job {
            team,
            queue: queue("batch", 2, 4.0, 3_000),
            tasks: 25,
            cpu: 1_700,
            run_time: Duration::from_millis(3_400),
            gang: false,
        },
    }
}

/// Submissions by time in milliseconds.
fn plan(seed: u64, factor: f64) -> Vec<(u64, Job)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    for (team, traffic) in TEAMS {
        for (kind, rate) in RATES.into_iter().enumerate() {
            let mut at = 0.0;
            loop {
                let in_burst = team == "heavy" && BURST_MS.contains(&(at as u64));
                let factor = if in_burst { factor } else { 1.0 };
                at += -rng.random_range(1e-9_f64..1.0).ln() / (rate * traffic * factor) * 1_000.0;
                if at >= END_MS as f64 {
                    break;
                }
                plan.push((at as u64, job(kind, team)));
            }
        }
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

fn replay(seed: u64, factor: f64, teams: bool) -> Fleet {
    let total: f64 = RATES.iter().sum();
    let weights = TEAMS.map(|(team, traffic)| (team, total * traffic * WEIGHT));
    let mut fleet = Fleet::new(WORKERS, &weights, teams);
    let begin = fleet.millis;
    for (at, job) in plan(seed, factor) {
        fleet.run((begin + at).saturating_sub(fleet.millis));
        fleet.submit(job);
    }
    fleet.run(60_000);
    fleet
}

fn others(fleet: &Fleet) -> Served {
    fleet.served(|job, _| job.team != "heavy")
}

/// Guards against jobs that are lost because another team sends more than it is owed: ordered by slack alone, its jobs
/// took the capacity of the others.
#[test]
fn a_team_at_seven_times_its_traffic_takes_nothing_from_the_others() {
    let (mut late_by_slack, mut late) = (0, 0);
    for seed in 1..=2 {
        let before = others(&replay(seed, FACTOR, false));
        let fleet = replay(seed, FACTOR, true);
        let after = others(&fleet);
        eprintln!("seed {seed}: by slack {before:?}, by shares {after:?}");
        let heavy = fleet.served(|job, _| job.team == "heavy");
        assert_eq!(heavy.completed, heavy.submitted, "accepted jobs are completed");
        assert_eq!(after.useful, after.submitted, "no job is lost");
        assert!(after.on_time >= before.on_time, "{after:?}, {before:?} by slack");
        late_by_slack += before.submitted - before.on_time;
        late += after.submitted - after.on_time;
    }
    // Without a full fleet, the replay would show nothing.
    assert!(late_by_slack >= 20, "{late_by_slack} are late by slack");
    // Urgent jobs still wait while long runs occupy the whole fleet, which no order of the waiting work changes.
    assert!(
        late * 2 <= late_by_slack,
        "{late} are late, {late_by_slack} by slack"
    );
}

/// Guards against an order that changes while the fleet has room: no job may end at another time.
#[test]
fn nothing_changes_while_the_fleet_has_room() {
    let run = |teams| {
        let weights = TEAMS.map(|(team, traffic)| (team, traffic));
        let mut fleet = Fleet::new(WORKERS * 3, &weights, teams);
        let begin = fleet.millis;
        for (at, job) in plan(7, 1.0) {
            fleet.run((begin + at).saturating_sub(fleet.millis));
            fleet.submit(job);
        }
        fleet.run(20_000);
        fleet.took
    };
    assert_eq!(run(true), run(false));
}
