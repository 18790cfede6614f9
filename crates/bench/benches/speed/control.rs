//! Benchmarks of `control`.

use std::hint::black_box;

use bronzespoke_control::{envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource, task, team, vm, worker};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};

const TEAMS: u32 = 640;
const WORKERS: u64 = 165;
/// Starts in one command.
const STARTS: u64 = 150;

/// Registers the benchmarks of this module.
pub fn register(criterion: &mut Criterion) {
    starts(criterion);
    snapshots(criterion);
    views(criterion);
    rebalance(criterion);
}

fn run(state: &mut zone::State, command: zone::Command) -> zone::Outcome {
    let index = state.applied() + 1;
    state.apply(index, &envelope::Envelope::new(1, command))
}

fn build(tasks: u64, ids: u64) -> zone::State {
    let mut state = zone::State::new(1);
    for worker in 0..WORKERS {
        run(
            &mut state,
            zone::Command::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: 1,
                capacity: resource::Capacity {
                    amount: resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                    accelerator: 0,
                },
            }),
        );
    }
    let allotment = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
    let granted = (1..=TEAMS).map(|team| (team, allotment.into())).collect();
    run(&mut state, zone::Command::Granted(granted));
    for number in 0..(tasks + STARTS).div_ceil(10) {
        run(
            &mut state,
            zone::Command::Submit {
                team: number as id::TeamId % TEAMS + 1,
                submission: None,
                spec: job::Spec {
                    kind: job::Kind::Service,
                    priority: job::Priority::Normal,
                    tasks: 10,
                    size: resource::Amount::new(100, 100, 0),
                    accelerator: 0,
                    run_time: std::time::Duration::ZERO,
                    checkpoint: false,
                    command: "reconcile".into(),
                },
            },
        );
    }
    let first = starts_from(&state, 0, tasks);
    run(&mut state, first);
    for number in 0..ids {
        let key = request_id::Key::new(1, &number.to_string());
        run(&mut state, zone::Command::Claim { key, holder: 1 });
        let envelope = envelope::Envelope {
            id: Some(u128::from(number) << 64 | u128::from(number).wrapping_mul(0x9e37_79b9)),
            at_ms: 1,
            command: zone::Command::Expire,
        };
        let index = state.applied() + 1;
        state.apply(index, &envelope);
    }
    state
}

fn starts_from(state: &zone::State, first: u64, count: u64) -> zone::Command {
    let token = state.next_token();
    let starts = (first..first + count)
        .map(|number| zone::Start {
            task: task::Ref {
                job: id::job(1, number / 10 + 1),
                index: (number % 10) as u32,
            },
            worker: number % WORKERS,
            token: token + number,
        })
        .collect();
    zone::Command::Start(starts)
}

fn starts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("control/apply_150_starts");
    group.throughput(Throughput::Elements(STARTS));
    for tasks in [100, 1000, 10_000] {
        let state = build(tasks, 0);
        let command = starts_from(&state, tasks, STARTS);
        group.bench_with_input(BenchmarkId::from_parameter(tasks), &tasks, |bencher, _| {
            bencher.iter_batched_ref(
                || state.clone(),
                |state| run(state, black_box(command.clone())),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn snapshots(criterion: &mut Criterion) {
    for (tasks, ids) in [(100, 100), (1000, 1000), (1000, 10_000), (10_000, 49_000)] {
        let state = build(tasks, ids);
        let bytes = state.encode();
        let name = format!("{tasks}_tasks_{ids}_request_and_command_ids");
        criterion.bench_function(&format!("control/snapshot_encode/{name}"), |bencher| {
            bencher.iter(|| black_box(&state).encode());
        });
        criterion.bench_function(&format!("control/snapshot_decode/{name}"), |bencher| {
            bencher.iter(|| zone::State::decode(black_box(&bytes)));
        });
        criterion.bench_function(&format!("control/snapshot_copy/{name}"), |bencher| {
            bencher.iter_batched(|| (), |()| black_box(&state).clone(), BatchSize::PerIteration);
        });
        // Starts right after a copy, when no table has been unshared yet, are the most expensive entry.
        let first = starts_from(&state, tasks, STARTS);
        criterion.bench_function(
            &format!("control/apply_150_starts_after_copy/{name}"),
            |bencher| {
                bencher.iter_batched_ref(
                    || (state.clone(), state.clone()),
                    |(state, _copy)| run(state, black_box(first.clone())),
                    BatchSize::PerIteration,
                );
            },
        );
        criterion.bench_function(&format!("control/snapshot_replace/{name}"), |bencher| {
            bencher.iter_batched_ref(
                || (zone::State::new(1), zone::State::decode(&bytes).ok()),
                |(state, decoded)| decoded.take().map(|decoded| state.replace(decoded)),
                BatchSize::PerIteration,
            );
        });
    }
}

fn views(criterion: &mut Criterion) {
    for teams in [6, 640] {
        let mut state = root::State::new();
        let mut index = 0;
        let mut apply = |state: &mut root::State, command| {
            index += 1;
            state.apply(index, &envelope::Envelope::new(1, command))
        };
        let place = vm::Place { region: 1, zone: 1 };
        apply(&mut state, root::Command::AddZone { place });
        for team in 1..=teams {
            let quota = team::Quota {
                weight: 1,
                limit: resource::Amount::new(1000, 1000, 10),
                requests: 1,
            };
            let name = format!("team {team}");
            apply(&mut state, root::Command::CreateTeam { name, quota });
            for key in 0..4 {
                let hash = std::array::from_fn(|byte| (team * 7 + key + byte as u32) as u8);
                apply(&mut state, root::Command::GrantKey { hash, team });
            }
        }
        // A reader keeps the previous view, so every change copies the table.
        criterion.bench_function(&format!("control/key_change_and_view/{teams}_teams"), |bencher| {
            let mut view = state.view();
            let mut key = 0_u64;
            bencher.iter(|| {
                key += 1;
                let mut hash = [0; 32];
                hash[..8].copy_from_slice(&key.to_le_bytes());
                apply(&mut state, root::Command::GrantKey { hash, team: 1 });
                apply(&mut state, root::Command::WithdrawKey { hash });
                view = state.view();
                black_box(&view);
            });
        });
    }
}

/// One rebalancing of all teams by the root leader, with unchanged demand and with demand that changes every target.
fn rebalance(criterion: &mut Criterion) {
    for (teams, zones) in [(6, 3), (640, 17)] {
        let mut state = root::State::new();
        let apply = |state: &mut root::State, command| {
            let index = state.applied() + 1;
            state.apply(index, &envelope::Envelope::new(1, command))
        };
        for zone in 1..=zones {
            let place = vm::Place { region: 1, zone };
            apply(&mut state, root::Command::AddZone { place });
        }
        for team in 1..=teams {
            let quota = team::Quota {
                weight: 1,
                limit: resource::Amount::new(100_000, 100_000, 100),
                requests: 1,
            };
            let name = format!("team {team}");
            apply(&mut state, root::Command::CreateTeam { name, quota });
        }
        let demand = |shift: u16| -> root::Demand {
            let pairs = (1..=teams).flat_map(|team| (1..=zones).map(move |zone| (team, zone)));
            pairs
                .map(|(team, zone)| {
                    let amount = u32::from((zone + shift) % zones) * 1000;
                    ((team, zone), resource::Amount::new(amount, amount, 0))
                })
                .collect()
        };
        let grants = root::rebalance(&state, &demand(0));
        apply(&mut state, root::Command::Grant(grants));
        for (name, demand) in [("steady", demand(0)), ("all_change", demand(1))] {
            criterion.bench_function(
                &format!("control/rebalance_{name}/{teams}_teams_{zones}_zones"),
                |bencher| {
                    bencher.iter(|| root::rebalance(black_box(&state), &demand));
                },
            );
        }
    }
}
