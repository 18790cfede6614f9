//! Randomized command histories of a zone group: runs, request ids, resent commands and snapshots.

use std::collections::BTreeMap;

use bronzespoke_control::{envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource, task, worker};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEPS: usize = 300;

struct History {
    state: zone::State,
    random: SmallRng,
    running: BTreeMap<task::Ref, id::Token>,
    last_token: id::Token,
    /// Claim numbers of granted request ids whose request may have run.
    granted: BTreeMap<request_id::Key, u64>,
    sent: Vec<(zone::Envelope, zone::Outcome)>,
}

impl History {
    fn new(seed: u64, rules: zone::Rules) -> Self {
        let mut history = Self {
            state: zone::State::with_rules(1, rules),
            random: SmallRng::seed_from_u64(seed),
            running: BTreeMap::new(),
            last_token: 0,
            granted: BTreeMap::new(),
            sent: Vec::new(),
        };
        for worker in 1..4 {
            history.register(worker);
        }
        history
    }

    fn register(&mut self, worker: id::WorkerId) {
        self.send(zone::Command::Register(worker::Registration {
            worker,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                accelerator: 0,
            },
        }));
    }

    fn send(&mut self, command: zone::Command) -> zone::Outcome {
        let envelope = envelope::Envelope {
            id: Some(self.random.random()),
            at_ms: 1,
            command,
        };
        let index = self.state.applied() + 1;
        let outcome = self.state.apply(index, &envelope);
        self.sent.push((envelope, outcome.clone()));
        outcome
    }

    fn submit(&mut self) {
        let kinds = [job::Kind::Service, job::Kind::Batch, job::Kind::Gang];
        let spec = job::Spec {
            kind: kinds[self.random.random_range(0..3)],
            priority: job::Priority::Normal,
            tasks: self.random.random_range(1..4),
            size: resource::Amount::ZERO,
            accelerator: 0,
            run_time: std::time::Duration::ZERO,
            checkpoint: false,
            command: String::new(),
        };
        self.send(zone::Command::Submit {
            team: 1,
            submission: None,
            spec,
        });
    }

    fn task(&mut self) -> task::Ref {
        task::Ref {
            job: id::job(1, self.random.random_range(1..8)),
            index: self.random.random_range(0..4),
        }
    }

    fn start(&mut self) -> Result<(), String> {
        let start = zone::Start {
            task: self.task(),
            worker: self.random.random_range(1..5),
            token: self.random.random_range(1..self.last_token + 3),
        };
        let outcome = self.send(zone::Command::Start(vec![start]));
        if outcome != zone::Outcome::Started(Vec::new()) {
            return Ok(());
        }
        if start.token <= self.last_token {
            return Err(format!("token {} after {}", start.token, self.last_token));
        }
        self.last_token = start.token;
        match self.running.insert(start.task, start.token) {
            Some(token) => Err(format!("{:?} runs under {token} already", start.task)),
            None => Ok(()),
        }
    }

    fn end(&mut self) {
        let task = self.task();
        let token = self.running.get(&task).copied().unwrap_or(1);
        let outcomes = [
            task::Outcome::Succeeded("done".into()),
            task::Outcome::Failed,
            task::Outcome::LeaseExpired,
        ];
        let outcome = outcomes[self.random.random_range(0..3)].clone();
        let end = zone::End { task, token, outcome };
        if let zone::Outcome::Ended { stale, .. } = self.send(zone::Command::End(vec![end]))
            && stale.is_empty()
        {
            self.running.remove(&task);
        }
    }

    fn claim(&mut self) -> Result<(), String> {
        let key = request_id::Key::new(1, &self.random.random_range(0..5).to_string());
        let claim = zone::Command::Claim {
            key,
            holder: self.random.random_range(1..3),
        };
        if let zone::Outcome::Claim(zone::Claimed::Granted(number)) = self.send(claim)
            && self.granted.insert(key, number).is_some()
        {
            return Err("a request id is granted twice".into());
        }
        Ok(())
    }

    fn complete(&mut self) {
        let number = self.random.random_range(1..8);
        let answer = zone::StoredResponse {
            status: 200,
            content_type: String::new(),
            body: "ok".into(),
        };
        let before = self.state.claims().len();
        let completion = match self.random.random_range(0..3) {
            0 => zone::Completion::Answered(answer),
            1 => zone::Completion::NotRun,
            _ => zone::Completion::Unknown,
        };
        self.send(zone::Command::Complete { number, completion });
        if self.state.claims().len() < before {
            self.granted.retain(|_, granted| *granted != number);
        }
    }

    fn resend(&mut self) -> Result<(), String> {
        let number = self.random.random_range(0..self.sent.len());
        let (envelope, first) = self.sent[number].clone();
        // Starts and ends are fenced by tokens; their outcomes are not retained.
        if matches!(envelope.command, zone::Command::Start(_) | zone::Command::End(_)) {
            return Ok(());
        }
        let index = self.state.applied() + 1;
        let again = self.state.apply(index, &envelope);
        let answered = matches!(
            again,
            zone::Outcome::Claim(zone::Claimed::Answered(_) | zone::Claimed::Unknown)
        );
        if again != first && !answered {
            return Err(format!(
                "resent {:?}: {first:?}, then {again:?}",
                envelope.command
            ));
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        match self.random.random_range(0..16) {
            0 => self.submit(),
            1..=4 => self.start()?,
            5..=7 => self.end(),
            8 | 9 => self.claim()?,
            10 => self.complete(),
            11 => {
                let holder = self.random.random_range(1..3);
                let before = self.state.claims().next_number();
                self.send(zone::Command::HolderGone { holder, before });
            }
            12 => {
                let worker = self.random.random_range(1..4);
                if self.random.random() {
                    self.send(zone::Command::WorkerGone {
                        worker,
                        incarnation: 1,
                    });
                } else {
                    self.register(worker);
                }
            }
            13 => self.resend()?,
            14 => {
                let job = self.task().job;
                self.send(zone::Command::Cancel { job });
            }
            _ => {
                let copy = self.state.encode();
                self.state.install(&copy).map_err(|error| error.to_string())?;
                if self.state.encode() != copy {
                    return Err("an installed snapshot differs from the state".into());
                }
            }
        }
        self.state.verify()?;
        let runs: BTreeMap<task::Ref, id::Token> =
            self.state.runs().map(|(task, run)| (task, run.token)).collect();
        if runs != self.running {
            return Err("the current runs differ from the starts without an end".into());
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        (0..STEPS).try_for_each(|_| self.step())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a task that runs under two tokens, a request id granted twice, and resent commands that are
    /// executed again.
    #[test]
    fn tasks_run_once_and_ids_are_granted_once(seed in any::<u64>()) {
        prop_assert_eq!(History::new(seed, zone::Rules::default()).run(), Ok(()));
    }

    /// Guards against starts and ends that the compact log encoding does not preserve.
    #[test]
    fn the_log_encoding_preserves_starts_and_ends(rows in prop::collection::vec(any::<(u64, u32, u64, u64)>(), 0..20)) {
        let starts: Vec<zone::Start> = rows
            .iter()
            .map(|(job, index, worker, token)| zone::Start {
                task: task::Ref { job: *job, index: *index },
                worker: *worker,
                token: *token,
            })
            .collect();
        let ends = starts
            .iter()
            .map(|start| zone::End { task: start.task, token: start.token, outcome: task::Outcome::Failed })
            .collect();
        let entry = [
            envelope::Envelope::new(1, zone::Command::Start(starts)),
            envelope::Envelope::new(2, zone::Command::End(ends)),
        ];
        let decoded = envelope::decode::<zone::Command>(&envelope::encode(&entry));
        prop_assert_eq!(decoded, Ok(entry.to_vec()));
    }
}

#[yare::parameterized(
    second_runs = { |rules| rules.single_run = false },
    stale_tokens = { |rules| rules.token = false },
    second_claims = { |rules| rules.claim_once = false },
    resent_commands = { |rules| rules.dedupe = false },
)]
fn a_disabled_rule_is_detected(disable: fn(&mut zone::Rules)) {
    let mut rules = zone::Rules::default();
    disable(&mut rules);
    assert!((0..20).any(|seed| History::new(seed, rules).run().is_err()));
}

/// Guards against a request id that two zones grant because a change of the set of zones changed its owner.
#[test]
fn owners_overlap_while_zones_change() {
    let mut root = root::State::new();
    let mut apply = |at_ms, command| {
        let index = root.applied() + 1;
        root.apply(index, &envelope::Envelope::new(at_ms, command));
        root.zones().clone()
    };
    let add = |zone| root::Command::AddZone {
        place: bronzespoke_model::vm::Place { region: 1, zone },
    };
    apply(1, add(1));
    let before = apply(1, add(2));
    apply(
        1,
        root::Command::CreateTeam {
            name: "judo".into(),
            quota: bronzespoke_model::team::Quota {
                weight: 1,
                limit: resource::Amount::ZERO,
                requests: 1,
            },
        },
    );
    let after = apply(1000, add(3));
    let settled_ms = 1000 + request_id::OVERLAP_MS;
    let mut moved = 0;
    for number in 0..200 {
        let key = request_id::Key::new(1, &number.to_string());
        let old = request_id::owners(key, &before, 1).unwrap();
        let new = request_id::owners(key, &after, 2000).unwrap();
        assert_eq!(old.second, None);
        assert!(new.first == old.first || new.second == Some(old.first));
        moved += usize::from(new.first != old.first);
        let last = request_id::owners(key, &after, settled_ms).unwrap();
        assert_eq!((last.first, last.second), (new.first, None));
    }
    assert!(
        (30..110).contains(&moved),
        "{moved} of 200 ids moved to the third zone"
    );
}
