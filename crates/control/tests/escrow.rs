//! Allotments of upper limits over an unreliable network: one root state and the states of three zones.
//!
//! Guards against allotments whose sum exceeds the limit, at any time and with any order of messages.

use bronzespoke_control::{envelope, escrow::Total, root, zone};
use bronzespoke_model::{id, job, resource::Amount, task, team, vm, worker};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

const ZONES: [id::AvailabilityZoneId; 3] = [1, 2, 3];
const TEAMS: [id::TeamId; 2] = [1, 2];
const STEPS: usize = 400;

enum Message {
    /// Allotments of a zone as recorded in the root state.
    Allotments(usize, Vec<(id::TeamId, root::Allotment)>),
    /// Released counters that a zone group has committed.
    Released(usize, Vec<(id::TeamId, Total)>),
}

struct Cell {
    root: root::State,
    zones: Vec<zone::State>,
    targets: Vec<[Amount; 2]>,
    cut: [bool; 3],
    messages: Vec<Message>,
    running: Vec<Vec<zone::Start>>,
    grants: Vec<Vec<root::Grant>>,
    /// Outstanding amount per team after the previous step.
    previous: [Total; 2],
    random: SmallRng,
}

fn quota(limit: Amount) -> team::Quota {
    team::Quota {
        weight: 1,
        limit,
        requests: 1,
    }
}

fn spec(size: Amount) -> job::Spec {
    job::Spec {
        kind: job::Kind::Service,
        priority: job::Priority::Normal,
        tasks: 1000,
        size,
        accelerator: 0,
        run_time: std::time::Duration::ZERO,
        checkpoint: false,
        command: String::new(),
    }
}

impl Cell {
    fn new(seed: u64, root_rules: root::Rules, zone_rules: zone::Rules) -> Self {
        let mut cell = Self {
            root: root::State::with_rules(root_rules),
            zones: ZONES
                .iter()
                .map(|zone| zone::State::with_rules(*zone, zone_rules))
                .collect(),
            targets: vec![[Amount::ZERO; 2]; 3],
            cut: [false; 3],
            messages: Vec::new(),
            running: vec![Vec::new(); 3],
            grants: Vec::new(),
            previous: [Total::ZERO; 2],
            random: SmallRng::seed_from_u64(seed),
        };
        for zone in ZONES {
            cell.on_root(root::Command::AddZone {
                place: vm::Place { region: 1, zone },
            });
        }
        for team in TEAMS {
            cell.on_root(root::Command::CreateTeam {
                name: format!("team {team}"),
                quota: quota(Amount::new(100, 100, 4)),
            });
        }
        for zone in 0..3 {
            cell.on_zone(
                zone,
                zone::Command::Register(worker::Registration {
                    worker: 1,
                    incarnation: 1,
                    rack: 1,
                    capacity: bronzespoke_model::resource::Capacity {
                        amount: bronzespoke_model::resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                        accelerator: 0,
                    },
                }),
            );
            for team in TEAMS {
                cell.on_zone(
                    zone,
                    zone::Command::Submit {
                        team,
                        submission: None,
                        spec: spec(Amount::new(3, 2, 0)),
                    },
                );
            }
        }
        cell
    }

    fn on_root(&mut self, command: root::Command) -> root::Outcome {
        let index = self.root.applied() + 1;
        self.root.apply(index, &envelope::Envelope::new(1, command))
    }

    fn on_zone(&mut self, zone: usize, command: zone::Command) -> zone::Outcome {
        let index = self.zones[zone].applied() + 1;
        self.zones[zone].apply(index, &envelope::Envelope::new(1, command))
    }

    fn amount(&mut self) -> Amount {
        Amount::new(
            self.random.random_range(0..150),
            self.random.random_range(0..150),
            self.random.random_range(0..6),
        )
    }

    fn rebalance(&mut self) {
        let mut demand = root::Demand::new();
        for team in TEAMS {
            for zone in ZONES {
                let amount = self.amount();
                demand.insert((team, zone), amount);
            }
        }
        let grants = root::rebalance(&self.root, &demand);
        self.on_root(root::Command::Grant(grants.clone()));
        self.grants.push(grants);
    }

    fn send(&mut self) {
        let zone = self.random.random_range(0..3);
        if self.cut[zone] {
            return;
        }
        let message = if self.random.random() {
            let allotments = TEAMS
                .iter()
                .filter_map(|team| Some((*team, self.root.allotment(*team, ZONES[zone])?)));
            Message::Allotments(zone, allotments.collect())
        } else {
            let holdings = self.zones[zone].holdings().iter();
            Message::Released(
                zone,
                holdings.map(|(team, holding)| (team, holding.released)).collect(),
            )
        };
        self.messages.push(message);
    }

    /// Delivers a random message. Half of the delivered messages stay in flight and are delivered again later.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let number = self.random.random_range(0..self.messages.len());
        let (zone, command) = match &self.messages[number] {
            Message::Allotments(zone, allotments) => (*zone, Ok(allotments.clone())),
            Message::Released(zone, released) => (*zone, Err(released.clone())),
        };
        if self.cut[zone] {
            return;
        }
        match command {
            Ok(allotments) => {
                for (team, allotment) in &allotments {
                    self.targets[zone][*team as usize - 1] = allotment.target;
                }
                let granted = allotments
                    .iter()
                    .map(|(team, allotment)| (*team, allotment.granted))
                    .collect();
                self.on_zone(zone, zone::Command::Granted(granted));
            }
            Err(released) => {
                let zone = ZONES[zone];
                self.on_root(root::Command::Released { zone, released });
            }
        }
        if self.random.random() || self.messages.len() > 50 {
            self.messages.swap_remove(number);
        }
    }

    fn run_tasks(&mut self) {
        let zone = self.random.random_range(0..3);
        if self.random.random::<f64>() < 0.4 && !self.running[zone].is_empty() {
            let number = self.random.random_range(0..self.running[zone].len());
            let start = self.running[zone].swap_remove(number);
            let end = zone::End {
                task: start.task,
                token: start.token,
                outcome: task::Outcome::Stopped,
            };
            self.on_zone(zone, zone::Command::End(vec![end]));
            return;
        }
        let start = zone::Start {
            task: task::Ref {
                job: id::job(ZONES[zone], self.random.random_range(1..3)),
                index: self.random.random_range(0..1000),
            },
            worker: 1,
            token: self.zones[zone].next_token(),
        };
        let outcome = self.on_zone(zone, zone::Command::Start(vec![start]));
        if outcome == zone::Outcome::Started(Vec::new()) {
            self.running[zone].push(start);
        }
    }

    fn release(&mut self) {
        let zone = self.random.random_range(0..3);
        let targets = self.targets[zone];
        let mut released = self.zones[zone].releases(|team| targets[team as usize - 1]);
        if self.random.random::<f64>() < 0.3 {
            // A stale proposal, made before some starts, requests a larger release than the zone can afford.
            released = vec![(*TEAMS.choose(&mut self.random).unwrap(), self.amount().into())];
        }
        self.on_zone(zone, zone::Command::Release(released));
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0 => {
                let (team, limit) = (*TEAMS.choose(&mut self.random).unwrap(), self.amount());
                self.on_root(root::Command::SetQuota {
                    team,
                    quota: quota(limit),
                });
            }
            1 | 2 => self.rebalance(),
            3 if self.random.random() && !self.grants.is_empty() => {
                // A leader proposes a grant again that was committed long ago.
                let number = self.random.random_range(0..self.grants.len());
                let grants = self.grants[number].clone();
                self.on_root(root::Command::Grant(grants));
            }
            3 => {
                // A leader with a stale state proposes an arbitrary grant.
                let grant = root::Grant {
                    team: *TEAMS.choose(&mut self.random).unwrap(),
                    zone: *ZONES.choose(&mut self.random).unwrap(),
                    granted: self.amount().into(),
                    target: self.amount(),
                };
                self.on_root(root::Command::Grant(vec![grant]));
            }
            4 => {
                let zone = self.random.random_range(0..3);
                self.cut[zone] = self.random.random();
            }
            5 => {
                let zone = self.random.random_range(0..3);
                let copy = self.zones[zone].encode();
                self.zones[zone].install(&copy).unwrap();
                let copy = self.root.encode();
                self.root.install(&copy).unwrap();
            }
            6..=8 => self.send(),
            9..=12 => self.deliver(),
            13 | 14 => self.release(),
            _ => self.run_tasks(),
        }
    }

    /// Returns the outstanding amount of a team, including grants that have not reached the zones.
    fn outstanding(&self, team: id::TeamId) -> Total {
        let mut outstanding = Total::ZERO;
        for (zone, state) in ZONES.iter().zip(&self.zones) {
            let holding = state.holdings().get(team);
            let granted = self.root.allotment(team, *zone).unwrap_or_default().granted;
            outstanding =
                outstanding.saturating_add(&granted.max(&holding.granted).saturating_sub(&holding.released));
        }
        outstanding
    }

    fn check(&mut self) -> Result<(), String> {
        self.root.verify()?;
        for zone in &self.zones {
            zone.verify()?;
        }
        for team in TEAMS {
            let limit = Total::from(self.root.teams()[&team].quota.limit);
            let outstanding = self.outstanding(team);
            let previous = &mut self.previous[team as usize - 1];
            // Lowering a limit does not reclaim allotments immediately, but nothing may grow beyond the limit.
            if !outstanding.fits(&limit.max(previous)) {
                return Err(format!(
                    "team {team}: {outstanding:?} outstanding, {previous:?} in the previous step, limit {limit:?}"
                ));
            }
            *previous = outstanding;
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// Heals the network and ends all tasks, then returns whether all limits are in force.
    fn converge(&mut self) -> bool {
        self.cut = [false; 3];
        for _ in 0..4 {
            self.rebalance();
            for (zone, id) in ZONES.into_iter().enumerate() {
                for start in std::mem::take(&mut self.running[zone]) {
                    let end = zone::End {
                        task: start.task,
                        token: start.token,
                        outcome: task::Outcome::Stopped,
                    };
                    self.on_zone(zone, zone::Command::End(vec![end]));
                }
                let allotments: Vec<(id::TeamId, root::Allotment)> = TEAMS
                    .iter()
                    .filter_map(|team| Some((*team, self.root.allotment(*team, id)?)))
                    .collect();
                let granted = allotments
                    .iter()
                    .map(|(team, allotment)| (*team, allotment.granted))
                    .collect();
                self.on_zone(zone, zone::Command::Granted(granted));
                let released = self.zones[zone].releases(|team| {
                    let allotment = allotments.iter().find(|(other, _)| *other == team);
                    allotment.map_or(Amount::ZERO, |(_, allotment)| allotment.target)
                });
                self.on_zone(zone, zone::Command::Release(released));
                let holdings = self.zones[zone].holdings().iter();
                let released = holdings.map(|(team, holding)| (team, holding.released)).collect();
                self.on_root(root::Command::Released { zone: id, released });
            }
        }
        TEAMS.iter().all(|team| self.root.limit_in_force(*team))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn allotments_stay_within_limits(seed in any::<u64>()) {
        let mut cell = Cell::new(seed, root::Rules::default(), zone::Rules::default());
        prop_assert_eq!(cell.run(), Ok(()));
        prop_assert!(cell.converge(), "limits do not come into force");
        prop_assert_eq!(cell.check(), Ok(()));
    }
}

#[yare::parameterized(
    grants_above_the_limit = { |root, _| root.limit = false },
    granted_counters_that_go_back = { |root, _| root.monotonic = false },
    starts_above_the_allotment = { |_, zone| zone.allotment = false },
    releases_of_what_is_in_use = { |_, zone| zone.keep_used = false },
)]
fn a_disabled_rule_is_detected(disable: fn(&mut root::Rules, &mut zone::Rules)) {
    let (mut root_rules, mut zone_rules) = (root::Rules::default(), zone::Rules::default());
    disable(&mut root_rules, &mut zone_rules);
    let detected = (0..20).any(|seed| Cell::new(seed, root_rules, zone_rules).run().is_err());
    assert!(detected);
}

#[test]
fn a_lost_zone_releases_its_allotment_only_after_its_leases() {
    let mut cell = Cell::new(1, root::Rules::default(), zone::Rules::default());
    cell.rebalance();
    assert_ne!(cell.root.outstanding(1), Total::ZERO);
    let lose = |stopped_ms| root::Command::LoseZone {
        zone: 1,
        proof: root::LossProof { stopped_ms },
    };
    let early = root::LossProof::MIN_STOPPED_MS - 1;
    assert_eq!(
        cell.on_root(lose(early)),
        root::Outcome::Refused(root::Refusal::LeasesMayRun)
    );
    let before = cell.root.allotment(1, 1).unwrap().outstanding();
    assert_ne!(before, Total::ZERO);
    assert_eq!(cell.on_root(lose(early + 1)), root::Outcome::Done);
    assert_eq!(cell.root.allotment(1, 1).unwrap().outstanding(), Total::ZERO);
    let place = vm::Place { region: 1, zone: 1 };
    assert_eq!(
        cell.on_root(root::Command::AddZone { place }),
        root::Outcome::Refused(root::Refusal::ZoneTaken)
    );
    cell.root.verify().unwrap();
}
