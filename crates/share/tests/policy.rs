//! Fair shares, positions, allowances and averages.

use std::time::Duration;

use bronzespoke_share::{
    level::{self, Claim},
    order::{self, Use},
    past, rate,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const fn claim(weight: f64, wanted: [f64; 3]) -> Claim {
    Claim { weight, wanted }
}

/// Fair shares of claims for processors only.
fn shares(claims: &[(f64, f64)]) -> Option<Vec<f64>> {
    let claims: Vec<Claim> = claims
        .iter()
        .map(|(weight, cpu)| claim(*weight, [*cpu, 0.0, 0.0]))
        .collect();
    let level = level::compute(&claims)?;
    Some(claims.iter().map(|claim| claim.weight * level).collect())
}

/// Guards against an order among teams whose work all fits.
#[test]
fn there_are_no_shares_while_all_work_fits() {
    assert_eq!(shares(&[]), None);
    assert_eq!(shares(&[(1.0, 0.0)]), None);
    assert_eq!(shares(&[(1.0, 0.7), (3.0, 0.3)]), None);
}

/// Guards against shares that do not follow the weights, or that leave unused what one team does not need.
#[parameterized(
    by_weight = { &[(1.0, 2.0), (3.0, 2.0)], &[0.25, 0.75] },
    equal = { &[(2.0, 9.0), (2.0, 9.0)], &[0.5, 0.5] },
    unused_goes_to_others = { &[(1.0, 0.1), (1.0, 5.0), (2.0, 5.0)], &[0.3, 0.3, 0.6] },
    alone = { &[(7.0, 3.0)], &[1.0] },
)]
fn a_full_fleet_is_shared_by_weight(claims: &[(f64, f64)], expected: &[f64]) {
    let found = shares(claims).expect("the work does not fit");
    for (found, expected) in found.iter().zip(expected) {
        assert!((found - expected).abs() < 1e-9, "{found} instead of {expected}");
    }
}

/// Guards against a share that counts processors only: a team that uses memory exhausts the fleet, too.
#[test]
fn the_dominant_resource_counts() {
    let claims = [claim(1.0, [3.0, 0.6, 0.0]), claim(1.0, [0.5, 2.0, 0.0])];
    let level = level::compute(&claims).expect("the work does not fit");
    // At level x, processors are used by x + x / 4 and memory by x / 5 + x.
    assert!((level - 0.8).abs() < 1e-9, "{level}");
}

/// Guards against a level that exceeds the capacity, or leaves some of it unused, for any claims.
#[test]
fn the_level_exhausts_exactly_one_resource() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..2_000 {
        let claims: Vec<Claim> = (0..rng.random_range(1..40))
            .map(|_| {
                let wanted = [0.0; 3].map(|_: f64| rng.random_range(0.0..0.4));
                claim(rng.random_range(0.01..50.0), wanted)
            })
            .collect();
        let sum = |granted: &dyn Fn(&Claim) -> f64| {
            (0..3)
                .map(|dimension| {
                    claims
                        .iter()
                        .map(|claim| claim.wanted[dimension] * granted(claim))
                        .sum::<f64>()
                })
                .fold(0.0, f64::max)
        };
        let Some(level) = level::compute(&claims) else {
            assert!(sum(&|_| 1.0) <= 1.0);
            continue;
        };
        let used = sum(&|claim: &Claim| {
            let dominant = bronzespoke_share::dominant(&claim.wanted);
            (claim.weight * level / dominant).min(1.0)
        });
        assert!((used - 1.0).abs() < 1e-6, "{used} is used at level {level}");
    }
}

/// Guards against small differences that override slack, and against teams within their share that are ordered.
#[test]
fn teams_within_their_share_have_the_same_position() {
    let used = |share, widest| Use {
        share,
        widest,
        fair: 0.2,
    };
    for share in [0.0, 0.1, 0.2, 0.29] {
        assert_eq!(used(share, 0.0).position(false), order::WITHIN);
    }
    assert_eq!(used(0.45, 0.2).position(false), order::WITHIN);
    for share in [0.0, 0.1, 0.199] {
        assert_eq!(used(share, 0.0).position(true), order::FIRST_BEYOND);
    }
    assert!(used(0.31, 0.0).position(false) > order::FIRST_BEYOND);
    assert_eq!(used(0.21, 0.0).position(true), used(0.22, 0.0).position(true));
    assert!(used(0.4, 0.0).position(true) > used(0.21, 0.0).position(true));
    let without_share = Use {
        share: 0.5,
        widest: 0.0,
        fair: 0.0,
    };
    assert_eq!(without_share.position(true), order::LAST);
}

/// Guards against owed jobs that count as excess because they arrive at random.
#[parameterized(small = { 0.05 }, medium = { 2.0 }, large = { 60.0 })]
fn random_traffic_within_the_weight_is_owed(weight: f64) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut allowance = rate::Allowance::new(weight, 0);
    let (mut at, mut excess) = (0.0, 0);
    let jobs = 20_000;
    for _ in 0..jobs {
        at += -rng.random_range(1e-9_f64..1.0).ln() / (0.8 * weight) * 1_000.0;
        excess += u32::from(allowance.count(weight, at as u64));
    }
    assert!(excess * 100 < jobs, "{excess} of {jobs}");
}

/// Guards against a team that is owed more than its weight, or less, while it sends seven times as much.
#[test]
fn the_weight_is_owed_while_a_team_sends_more() {
    let mut allowance = rate::Allowance::new(10.0, 0);
    let owed = (0..7_000_u64).filter(|number| !allowance.count(10.0, number * 100 / 7));
    // 100 s at 10 jobs per second, and what accumulated before.
    let owed = owed.count();
    assert!((1_000..=1_021).contains(&owed), "{owed}");
}

/// Guards against a jump of the clock that marks owed jobs as excess for long, or gives a team more than one burst.
#[test]
fn a_jump_of_the_clock_changes_the_allowance_by_one_burst() {
    let mut allowance = rate::Allowance::new(10.0, 1_000_000);
    for _ in 0..20 {
        assert!(!allowance.count(10.0, 1_000_000));
    }
    assert!(allowance.count(10.0, 1_000_000));
    assert!(allowance.count(10.0, 500_000), "backwards");
    assert!(!allowance.count(10.0, 500_200), "it grows from the new time on");
    let owed = (0..1_000).filter(|_| !allowance.count(10.0, 90_000_000)).count();
    assert_eq!(owed, 20, "forwards");
}

/// Guards against an average that does not decay, or counts a share before it began.
#[test]
fn the_average_of_past_shares_decays() {
    let decay = Duration::from_secs(100);
    let mut average = past::Average::new(0.0, Duration::ZERO);
    average.update(Duration::ZERO, decay, 0.5);
    assert!(average.value().abs() < 1e-12);
    average.update(Duration::from_secs(100), decay, 0.0);
    let expected = 0.5 * (1.0 - (-1.0_f64).exp());
    assert!((average.value() - expected).abs() < 1e-12);
    average.update(Duration::from_secs(200), decay, 0.0);
    assert!((average.value() - expected * (-1.0_f64).exp()).abs() < 1e-12);
}
