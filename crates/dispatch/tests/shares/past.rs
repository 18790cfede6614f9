//! Past use of the teams in the order of waiting work.

use std::time::Duration;

use bronzespoke_dispatch::{dispatch::Event, share::Shares, usage::Usage};
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, job};

use crate::fleet::{CPU, Fleet, Job, queue};

const HALF_LIFE: Duration = Duration::from_mins(10);
const TEAMS: [(&str, f64); 3] = [("a", 10.0), ("b", 10.0), ("filler", 10.0)];

/// A job that fills a worker for a second; its objective is 7 s.
fn whole(team: &str, run_ms: u64) -> Job {
    Job {
        team: String::from(team),
        queue: queue("batch", 2, 4.0, 3_000),
        tasks: 1,
        cpu: CPU,
        run_time: Duration::from_millis(run_ms),
        gang: false,
    }
}

/// Returns whether the job of `b`, submitted `later_ms` after that of `a`, precedes it on a full fleet of one worker.
fn later_team_precedes(
    half_life: Option<Duration>,
    recorded: &[(&str, u64)],
    later_ms: u64,
) -> (bool, Fleet) {
    let mut fleet = Fleet::with_past_use(1, &TEAMS, true, half_life, recorded);
    fleet.submit(whole("filler", 3_000));
    fleet.run(100);
    let first = fleet.submit(whole("a", 1_000));
    fleet.run(later_ms);
    let second = fleet.submit(whole("b", 1_000));
    fleet.run(12_000);
    let end = |key: job::Key, after: u64| fleet.took[&key] + Duration::from_millis(after);
    let precedes = end(second, later_ms) < end(first, 0);
    (precedes, fleet)
}

/// Guards against a team far over its share for hours that still has the turn of one that used little.
#[test]
fn a_heavy_team_gives_way() {
    let recorded = [("a", 900_000)];
    let (precedes, fleet) = later_team_precedes(Some(HALF_LIFE), &recorded, 500);
    assert!(precedes);
    let is_logged = |event: &Event| matches!(event, Event::PastUse(moved) if moved.team == "a");
    assert_eq!(
        fleet.events.iter().filter(|event| is_logged(event)).count() > 0,
        precedes
    );
}

/// Guards against a heavy team that is shut out: past use moves its work by at most a quarter of the objective.
#[test]
fn a_heavy_team_is_not_shut_out() {
    let objective_ms = whole("a", 1_000).objective().as_millis() as u64;
    let recorded = [("a", 1_000_000)];
    let (precedes, _) = later_team_precedes(Some(HALF_LIFE), &recorded, objective_ms / 4 - 100);
    assert!(precedes, "within the bound");
    let (precedes, _) = later_team_precedes(Some(HALF_LIFE), &recorded, objective_ms / 4 + 100);
    assert!(!precedes, "beyond the bound");
}

/// Guards against an order that changes without need: past use is off, the teams are equal, or used their share.
#[test]
fn equal_and_modest_teams_keep_the_order_by_slack() {
    assert!(!later_team_precedes(None, &[("a", 900_000)], 100).0, "off");
    let equal = [("a", 300_000), ("b", 300_000)];
    assert!(!later_team_precedes(Some(HALF_LIFE), &equal, 100).0, "equal");
    assert!(
        !later_team_precedes(Some(HALF_LIFE), &[("a", 320_000)], 100).0,
        "within its share"
    );
    assert!(
        !later_team_precedes(Some(HALF_LIFE), &[("b", 900_000)], 100).0,
        "new team"
    );
}

/// Guards against records that cost much, and against a new leader that begins without the past use.
#[test]
fn a_new_leader_continues_with_the_past_use() {
    let mut fleet = Fleet::with_past_use(1, &TEAMS, true, Some(HALF_LIFE), &[]);
    fleet.submit(whole("a", 60_000));
    fleet.run(31_000);
    let past = |fleet: &Fleet| {
        let shares = fleet.dispatch.team_shares();
        shares
            .iter()
            .find(|share| share.team == "a")
            .map_or(0.0, |share| share.past)
    };
    // 30 s at a share of 1.
    let expected = 1.0 - 0.5_f64.powf(30.0 / HALF_LIFE.as_secs_f64());
    let counted = past(&fleet);
    assert!(
        (counted - expected).abs() < 0.003,
        "{counted} instead of {expected}"
    );
    assert!((1..=7).contains(&fleet.learned.len()), "{:?}", fleet.learned);
    fleet.elect();
    fleet.run(50);
    let inherited = past(&fleet);
    // One interval between two records is 5 s.
    let error = 1.0 - 0.5_f64.powf(5.5 / HALF_LIFE.as_secs_f64());
    assert!(
        (inherited - counted).abs() <= error,
        "{inherited} instead of {counted}"
    );
}

/// Guards against past use that depends on the wall clock.
#[test]
fn a_jump_of_the_clock_changes_nothing() {
    let past = |jump: i64| {
        let mut fleet = Fleet::with_past_use(1, &TEAMS, true, Some(HALF_LIFE), &[("b", 500_000)]);
        fleet.submit(whole("a", 60_000));
        fleet.run(5_000);
        fleet.jump(jump);
        fleet.run(10_000);
        fleet.state.past_use().clone()
    };
    let expected = past(0);
    assert_eq!(expected.len(), 2, "{expected:?}");
    assert_eq!(past(86_400_000), expected);
    assert_eq!(past(-86_400_000), expected);
}

/// Guards against past use that does not grow or decay with the half-life, over hours.
#[test]
fn past_use_follows_an_hour_of_heavy_use_and_decays() {
    let size = resource::Amount::new(50_000, 0, 0);
    let team = |name: &str| catalog::Team {
        name: String::from(name),
        keys: Vec::new(),
        weight: 1.0,
        limit: resource::Amount::ZERO,
    };
    let catalog = catalog::Catalog {
        version: 1,
        queues: Vec::new(),
        pools: Vec::new(),
        teams: ["heavy", "modest", "new", "other", "fifth"].map(team).to_vec(),
    };
    let mut shares = Shares::default();
    shares.configure(Some(&catalog));
    shares.set_capacity(Duration::ZERO, [100_000, 0, 0]);
    let mut usage = Usage::default();
    usage.add(Some("heavy"), size);
    let mut now = Duration::ZERO;
    let mut advance = |shares: &mut Shares, usage: &Usage, seconds: u32| {
        for _ in 0..seconds {
            shares.settle(usage, now, 0);
            shares.count_past(now, HALF_LIFE);
            now += Duration::from_secs(1);
        }
    };
    advance(&mut shares, &usage, 3_600);
    let past =
        |shares: &Shares, team: &str| shares.past().find(|(name, _)| *name == team).map(|found| found.1);
    let heavy = past(&shares, "heavy").expect("it is configured");
    assert!((heavy - 0.5 * (1.0 - 0.5_f64.powi(6))).abs() < 0.001, "{heavy}");
    assert_eq!(past(&shares, "new"), Some(0.0));
    // At its share: a fifth of the fleet.
    usage.remove(Some("heavy"), resource::Amount::new(30_000, 0, 0));
    advance(&mut shares, &usage, 600);
    let halfway = past(&shares, "heavy").expect("it is configured");
    assert!((halfway - (0.2 + (heavy - 0.2) / 2.0)).abs() < 0.001, "{halfway}");
    usage.remove(Some("heavy"), resource::Amount::new(20_000, 0, 0));
    advance(&mut shares, &usage, 7_200);
    assert!(past(&shares, "heavy").expect("it is configured") < 0.001);
}
