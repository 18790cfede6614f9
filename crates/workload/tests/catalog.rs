//! Checks of a configuration.

use bronzespoke_model::resource;
use bronzespoke_workload::catalog;

/// Number of keys of each team: the body of a configuration of 4 MiB holds as many.
const KEYS: usize = 300_000;

fn team(name: &str, keys: impl Iterator<Item = String>) -> catalog::Team {
    catalog::Team {
        name: String::from(name),
        keys: keys.collect(),
        weight: 1.0,
        limit: resource::Amount::ZERO,
    }
}

fn configuration(teams: Vec<catalog::Team>) -> catalog::Catalog {
    catalog::Catalog {
        version: 1,
        queues: Vec::new(),
        pools: Vec::new(),
        teams,
    }
}

/// Guards against a configuration that stops the daemon that decodes it for hours: each key of a team was compared with
/// each key of all others.
#[test]
fn a_configuration_with_numerous_keys_is_checked() {
    let first = team("first", (0..KEYS).map(|number| format!("a{number}")));
    let second = team("second", (0..KEYS).map(|number| format!("b{number}")));
    let mut configuration = configuration(vec![first, second]);
    assert_eq!(configuration.verify(), Ok(()));
    configuration.teams[1].keys.push(String::from("a7"));
    let shared = catalog::Error::SharedKey(String::from("first"), String::from("second"));
    assert_eq!(configuration.verify(), Err(shared));
}

/// Guards against a team that is refused because it lists a key twice.
#[test]
fn a_key_may_be_listed_twice_by_one_team() {
    let keys = ["a", "a"].into_iter().map(String::from);
    assert_eq!(configuration(vec![team("first", keys)]).verify(), Ok(()));
}
