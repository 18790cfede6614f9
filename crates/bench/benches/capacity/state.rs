//! Cost of the state of a zone group and of the root group: time per command, memory and snapshots.

use std::{hint::black_box, time::Duration};

use bronzespoke_control::{envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource, task, team, vm, worker};

use crate::{count, line};

/// Wall time of all commands, in milliseconds. It has a present-day value because its size affects encoded envelopes.
pub const NOW_MS: u64 = 1_796_000_000_000;
const UNLIMITED: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
const WORKERS: u64 = 165;
const ID_COUNTS: [u32; 4] = [1000, 5000, 20_000, 49_000];

/// Cost of the state of a zone group.
#[derive(Debug)]
pub struct ZoneFits {
    /// Microseconds to apply one start and its end, by running tasks.
    pub start_and_end: line::Line,
    /// Microseconds to apply a submission, by jobs.
    pub submit: line::Line,
    /// Bytes of memory by running tasks, ended jobs, request ids, command ids and teams.
    pub memory: [line::Line; 5],
    /// Snapshot bytes by ended jobs, request ids and command ids.
    pub snapshot: [line::Line; 3],
    /// Microseconds to encode a snapshot, by the same variables.
    pub encode: [line::Line; 3],
    /// Microseconds to decode and verify a snapshot, by the same variables.
    pub decode: [line::Line; 3],
}

/// Cost of the state of the root group.
#[derive(Debug)]
pub struct RootFits {
    /// Bytes of memory of the state and its view in 17 zones, by teams with four keys each.
    pub memory: line::Line,
    /// Microseconds to apply a change of a key and to create the new view, by teams.
    pub change: line::Line,
    /// Microseconds of one rebalancing of allotments, by teams.
    pub rebalance: line::Line,
}

/// Zone state to which commands are applied directly, without a log.
struct Zone(zone::State);

impl Zone {
    fn new(teams: u32) -> Self {
        let mut zone = Self(zone::State::new(9));
        for worker in 0..WORKERS {
            zone.run(zone::Command::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: 1,
                capacity: resource::Capacity::default(),
            }));
        }
        zone.run(zone::Command::Granted(
            (1..=teams).map(|team| (team, UNLIMITED.into())).collect(),
        ));
        zone
    }

    fn run(&mut self, command: zone::Command) -> zone::Outcome {
        self.run_with(None, command)
    }

    fn run_with(&mut self, id: Option<id::CommandId>, command: zone::Command) -> zone::Outcome {
        let index = self.0.applied() + 1;
        let envelope = envelope::Envelope {
            id,
            at_ms: NOW_MS,
            command,
        };
        self.0.apply(index, &envelope)
    }

    fn submit(&mut self, number: u64, tasks: u32) -> id::JobId {
        let command = zone::Command::Submit {
            team: 1 + (number % 640) as id::TeamId,
            submission: Some(request_id::Key::new(1, &number.to_string())),
            spec: spec(tasks),
        };
        match self.run(command) {
            zone::Outcome::Job(job) => job,
            other => unreachable!("a submission within bounds is accepted: {other:?}"),
        }
    }

    fn start(&mut self, task: task::Ref) -> id::Token {
        let token = self.0.next_token();
        let worker = token % WORKERS;
        self.run(zone::Command::Start(vec![zone::Start { task, worker, token }]));
        token
    }

    fn end(&mut self, task: task::Ref, token: id::Token, outcome: task::Outcome) {
        self.run(zone::Command::End(vec![zone::End { task, token, outcome }]));
    }

    fn run_tasks(&mut self, tasks: u32) {
        for number in 0..tasks.div_ceil(10) {
            let job = self.submit(number.into(), 10);
            for index in 0..10 {
                self.start(task::Ref { job, index });
            }
        }
    }

    fn end_jobs(&mut self, jobs: u32) {
        for number in 0..jobs {
            let job = self.submit(number.into(), 1);
            let task = task::Ref { job, index: 0 };
            let token = self.start(task);
            self.end(
                task,
                token,
                task::Outcome::Succeeded(String::from("reconciled 48 of 48")),
            );
        }
    }

    fn claim(&mut self, number: u32) {
        let key = request_id::Key::new(1, &number.to_string());
        self.run(zone::Command::Claim { key, holder: 1 });
    }
}

fn spec(tasks: u32) -> job::Spec {
    job::Spec {
        kind: job::Kind::Batch,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(1000, 1, 0),
        accelerator: 0,
        run_time: Duration::from_mins(10),
        checkpoint: false,
        command: String::from("reconcile --federation judo --tournament 2026-11 --belts all"),
    }
}

fn fit_sizes(
    name: &str,
    unit: &str,
    y: &str,
    sizes: [u32; 4],
    value: &mut dyn FnMut(u32) -> f64,
) -> line::Line {
    line::fit(name, unit, y, &sizes.map(|size| (f64::from(size), value(size))))
}

/// Measures the state of a zone group, prints the table, and returns the fitted lines.
pub fn measure_zone() -> ZoneFits {
    line::print_heading("Zone state (`crates/control/src/zone`)");
    let start_and_end = fit_sizes(
        "time to apply a start and its end",
        "running tasks",
        "µs",
        [100, 300, 1000, 3000],
        &mut |tasks| {
            let mut zone = Zone::new(640);
            zone.run_tasks(tasks);
            let job = zone.submit(1 << 40, 2);
            let task = task::Ref { job, index: 0 };
            count::micros(|| {
                let token = zone.start(task);
                zone.end(task, token, task::Outcome::Failed);
            })
        },
    );
    let submit = fit_sizes(
        "time to apply a submission",
        "open jobs",
        "µs",
        [100, 300, 1000, 3000],
        &mut |jobs| {
            let mut zone = Zone::new(640);
            for number in 0..jobs {
                zone.submit(number.into(), 1);
            }
            let full = zone.0;
            let mut runs = Vec::new();
            for _ in 0..31 {
                let mut zone = Zone(full.clone());
                let started = std::time::Instant::now();
                for number in 0..20 {
                    black_box(zone.submit((1 << 40) + number, 1));
                }
                runs.push(started.elapsed().as_secs_f64() * 1e6 / 20.0);
            }
            count::median(runs)
        },
    );
    fit_sizes(
        "time to apply a claim",
        "request ids",
        "µs",
        [1000, 5000, 20_000, 40_000],
        &mut |ids| {
            let mut zone = Zone::new(640);
            (0..ids).for_each(|number| zone.claim(number));
            let started = std::time::Instant::now();
            (ids..ids + 5000).for_each(|number| zone.claim(number));
            started.elapsed().as_secs_f64() * 1e6 / 5000.0
        },
    );
    let memory = zone_memory();
    let snapshot = snapshots("snapshot bytes", "B", &|zone| zone.0.encode().len() as f64);
    let encode = snapshots("time to encode a snapshot", "µs", &|zone| {
        count::micros(|| drop(black_box(zone.0.encode())))
    });
    let decode = snapshots("time to decode and verify a snapshot", "µs", &|zone| {
        let bytes = zone.0.encode();
        count::micros(|| drop(black_box(zone::State::decode(&bytes))))
    });
    ZoneFits {
        start_and_end,
        submit,
        memory,
        snapshot,
        encode,
        decode,
    }
}

/// Measures the state of the root group, prints the table, and returns the fitted lines.
pub fn measure_root() -> RootFits {
    line::print_heading("Root state (`crates/control/src/root`)");
    let memory = fit_sizes(
        "memory of the root state and its view, 17 zones, 34 VMs, 4 keys a team",
        "teams",
        "B",
        [80, 160, 320, 640],
        &mut |teams| {
            count::memory(|| {
                let state = root_state(teams);
                let view = state.view();
                (state, view)
            })
        },
    );
    let change = fit_sizes(
        "time of a key change with a new view",
        "teams",
        "µs",
        [80, 160, 320, 640],
        &mut |teams| {
            let mut state = root_state(teams);
            let mut view = state.view();
            let mut number = 0_u64;
            count::micros(|| {
                number += 1;
                let mut hash = [0; 32];
                hash[..8].copy_from_slice(&number.to_le_bytes());
                apply(&mut state, root::Command::GrantKey { hash, team: 1 });
                view = state.view();
                apply(&mut state, root::Command::WithdrawKey { hash });
                black_box(&view);
            })
        },
    );
    let rebalance = fit_sizes(
        "time of one round of moving parts, demand of every team in every zone",
        "teams",
        "µs",
        [80, 160, 320, 640],
        &mut |teams| {
            let state = root_state(teams);
            let demand = (1..=teams)
                .flat_map(|team| {
                    (1..=17).map(move |zone| {
                        (
                            (team, zone),
                            resource::Amount::new(1000 * u32::from(zone), 100, 0),
                        )
                    })
                })
                .collect();
            count::micros(|| drop(black_box(root::rebalance(&state, &demand))))
        },
    );
    RootFits {
        memory,
        change,
        rebalance,
    }
}

fn snapshots(name: &str, y: &str, value: &dyn Fn(&Zone) -> f64) -> [line::Line; 3] {
    let line = |unit: &str, sizes, build: &dyn Fn(u32) -> Zone| {
        fit_sizes(name, unit, y, sizes, &mut |size| value(&build(size)))
    };
    [
        line("ended jobs", [100, 765, 3000, 13_000], &with_jobs),
        line("request ids", ID_COUNTS, &with_claims),
        line("command ids", ID_COUNTS, &with_commands),
    ]
}

fn with_jobs(jobs: u32) -> Zone {
    let mut zone = Zone::new(640);
    zone.end_jobs(jobs);
    zone
}

fn with_claims(ids: u32) -> Zone {
    let mut zone = Zone::new(1);
    (0..ids).for_each(|number| zone.claim(number));
    zone
}

fn with_commands(ids: u32) -> Zone {
    let mut zone = Zone::new(1);
    for number in 0..ids {
        let id = Some((u128::from(number) << 64) | (u128::from(number) * 7919));
        let job = id::job(9, 1 << 30);
        zone.run_with(id, zone::Command::Cancel { job });
    }
    zone
}

fn zone_memory() -> [line::Line; 5] {
    let by_memory = |name: &str, unit: &str, sizes: [u32; 4], build: &dyn Fn(u32) -> Zone| {
        fit_sizes(name, unit, "B", sizes, &mut |size| count::memory(|| build(size)))
    };
    [
        by_memory(
            "memory by running tasks, 10 to a job",
            "tasks",
            [100, 300, 1000, 3000],
            &|tasks| {
                let mut zone = Zone::new(1);
                zone.run_tasks(tasks);
                zone
            },
        ),
        by_memory(
            "memory by ended jobs of one task",
            "jobs",
            [100, 765, 3000, 13_000],
            &with_jobs,
        ),
        by_memory(
            "memory by request ids without answers",
            "ids",
            ID_COUNTS,
            &with_claims,
        ),
        by_memory("memory by command ids", "ids", ID_COUNTS, &with_commands),
        by_memory("memory by teams", "teams", [80, 160, 320, 640], &Zone::new),
    ]
}

fn apply(state: &mut root::State, command: root::Command) {
    let index = state.view().applied + 1;
    state.apply(index, &envelope::Envelope::new(NOW_MS, command));
}

/// Returns a VM as it appears in the directory at the target size.
pub fn vm(zone: u16, side: u16) -> vm::Vm {
    let port = zone * 10 + side;
    let address = |base: u16| ([10, 0, 0, 1], base + port).into();
    vm::Vm {
        id: u64::from(port).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        name: format!("entry-{zone}-{side}"),
        place: vm::Place {
            region: (zone - 1) / 3,
            zone,
        },
        peer: address(10_000),
        http: address(20_000),
        rpc: address(30_000),
        durable: true,
    }
}

/// Creates a root state with teams, their keys, and the allotments of zones without demand.
pub fn root_state(teams: u32) -> root::State {
    let mut state = root::State::new();
    for zone in 1..=17 {
        apply(
            &mut state,
            root::Command::AddZone {
                place: vm(zone, 0).place,
            },
        );
        apply(&mut state, root::Command::AddVm(vm(zone, 0)));
        apply(&mut state, root::Command::AddVm(vm(zone, 1)));
    }
    for team in 1..=teams {
        let quota = team::Quota {
            weight: 1,
            limit: resource::Amount::new(1_000_000, 1_000_000, 10),
            requests: 100,
        };
        let name = format!("federation-{team}");
        apply(&mut state, root::Command::CreateTeam { name, quota });
        for key in 0..4_u32 {
            let hash =
                std::array::from_fn(|byte| (team * 7919 + key * 104_729).rotate_left(byte as u32) as u8);
            apply(&mut state, root::Command::GrantKey { hash, team });
        }
    }
    let grants = root::rebalance(&state, &root::Demand::new());
    apply(&mut state, root::Command::Grant(grants));
    state
}
