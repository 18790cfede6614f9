//! Randomized command histories of the root group: keys, configuration versions, resent commands and snapshots.

use std::collections::{BTreeMap, BTreeSet};

use bronzespoke_control::{envelope, error, root};
use bronzespoke_model::{config, id, resource, team};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEPS: usize = 200;

struct History {
    state: root::State,
    random: SmallRng,
    withdrawn: BTreeSet<team::KeyHash>,
    versions: BTreeMap<id::ConfigVersion, id::CommandId>,
    newest: id::ConfigVersion,
    sent: Vec<(root::Envelope, root::Outcome)>,
    snapshots: Vec<bytes::Bytes>,
}

impl History {
    fn new(seed: u64, rules: root::Rules) -> Self {
        let mut history = Self {
            state: root::State::with_rules(rules),
            random: SmallRng::seed_from_u64(seed),
            withdrawn: BTreeSet::new(),
            versions: BTreeMap::new(),
            newest: 0,
            sent: Vec::new(),
            snapshots: Vec::new(),
        };
        history.send(root::Command::CreateTeam {
            name: "judo".into(),
            quota: team::Quota {
                weight: 1,
                limit: resource::Amount::ZERO,
                requests: 1,
            },
        });
        history
    }

    fn apply(&mut self, envelope: &root::Envelope) -> root::Outcome {
        let index = self.state.applied() + 1;
        self.state.apply(index, envelope)
    }

    fn send(&mut self, command: root::Command) -> root::Outcome {
        let envelope = envelope::Envelope {
            id: Some(self.random.random()),
            at_ms: 1,
            command,
        };
        let outcome = self.apply(&envelope);
        self.sent.push((envelope, outcome.clone()));
        outcome
    }

    fn step(&mut self) -> Result<(), String> {
        let hash = [self.random.random_range(0..6); 32];
        match self.random.random_range(0..12) {
            0..=2 => drop(self.send(root::Command::GrantKey { hash, team: 1 })),
            3 => {
                if self.send(root::Command::WithdrawKey { hash }) == root::Outcome::Done {
                    self.withdrawn.insert(hash);
                }
            }
            4..=6 => self.set_config()?,
            7 | 8 => self.resend()?,
            9 => self.snapshots.push(self.state.encode()),
            10 => self.restore()?,
            _ => {
                let copy = root::State::decode(&self.state.encode()).map_err(|error| error.to_string())?;
                if copy.encode() != self.state.encode() {
                    return Err("a decoded snapshot differs from the state".into());
                }
            }
        }
        self.check()
    }

    /// Two operators change the configuration based on the same version.
    fn set_config(&mut self) -> Result<(), String> {
        let expected = self.state.version();
        for _ in 0..2 {
            let retry_percent = self.random.random();
            let outcome = self.send(root::Command::SetConfig {
                expected,
                config: config::Config {
                    retry_percent,
                    ..config::Config::default()
                },
            });
            let id = self
                .sent
                .last()
                .and_then(|(envelope, _)| envelope.id)
                .unwrap_or(0);
            match outcome {
                root::Outcome::Config(version) => {
                    if self.versions.insert(version, id).is_some() {
                        return Err(format!("two commands set version {version}"));
                    }
                }
                root::Outcome::Conflict { version, winner } => {
                    if winner != self.versions.get(&version).copied() {
                        return Err(format!("the reported winner of version {version} is wrong"));
                    }
                }
                other => return Err(format!("{other:?}")),
            }
        }
        Ok(())
    }

    fn resend(&mut self) -> Result<(), String> {
        let number = self.random.random_range(0..self.sent.len());
        let (envelope, first) = self.sent[number].clone();
        let again = self.apply(&envelope);
        if again != first {
            return Err(format!(
                "resent {:?}: {first:?}, then {again:?}",
                envelope.command
            ));
        }
        Ok(())
    }

    fn restore(&mut self) -> Result<(), String> {
        if self.snapshots.is_empty() {
            return Ok(());
        }
        let number = self.random.random_range(0..self.snapshots.len());
        let applied = self.state.applied();
        match self.state.install(&self.snapshots[number]) {
            Ok(()) | Err(error::Error::Older { .. }) => {}
            Err(other) => return Err(other.to_string()),
        }
        if self.state.applied() < applied {
            return Err("the applied index decreased".into());
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        self.state.verify()?;
        let view = self.state.view();
        if self.withdrawn.iter().any(|hash| view.keys.contains_key(hash)) {
            return Err("a withdrawn key is granted".into());
        }
        if view.version < self.newest {
            return Err(format!("version {} after {}", view.version, self.newest));
        }
        self.newest = view.version;
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        (0..STEPS).try_for_each(|_| self.step())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against withdrawn keys that become valid again, versions that decrease or have two winners, and resent
    /// commands that are executed again, including after snapshots are installed.
    #[test]
    fn keys_stay_withdrawn_and_versions_never_decrease(seed in any::<u64>()) {
        prop_assert_eq!(History::new(seed, root::Rules::default()).run(), Ok(()));
    }
}

#[yare::parameterized(
    withdrawn_keys = { |rules| rules.withdrawn = false },
    versions = { |rules| rules.version = false },
    resent_commands = { |rules| rules.dedupe = false },
    older_snapshots = { |rules| rules.snapshot = false },
)]
fn a_disabled_rule_is_detected(disable: fn(&mut root::Rules)) {
    let mut rules = root::Rules::default();
    disable(&mut rules);
    assert!((0..20).any(|seed| History::new(seed, rules).run().is_err()));
}

#[test]
fn malformed_snapshots_are_refused() {
    let complete = root::State::new().encode();
    for length in 0..complete.len() {
        assert!(root::State::decode(&complete[..length]).is_err());
    }
    let newer = History::new(1, root::Rules::default()).state;
    let mut state = newer.clone();
    assert!(matches!(
        state.install(&complete),
        Err(error::Error::Older { .. })
    ));
    assert_eq!(state.encode(), newer.encode());
}
