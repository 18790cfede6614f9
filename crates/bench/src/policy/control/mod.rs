//! Policy measurements of `control`: bytes in the log and in snapshots, and how closely allotments follow demand.

mod batching;
mod escrow;

use std::time::Duration;

use bronzespoke_control::{envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource::Amount, task, team, vm, worker};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::measure::{Bound, Length, Row};

const ZONES: usize = 17;
const TEAMS: u32 = 640;
/// Jobs of the cell in one day, all of which the zone at the target size holds.
const CELL_JOBS: u32 = 13_000;
/// Wall time of all commands, in milliseconds. It has a present-day value because its size affects encoded envelopes.
const NOW_MS: u64 = 1_796_000_000_000;
const STATE_BOUND: Bound = Bound::AtMost(64_000_000.0);
const STATE_SOURCE: &str = "design 1.7, 64 MB per daemon";
const WIRE_BOUND: Bound = Bound::AtMost(24_000.0);
const WIRE_SOURCE: &str = "design 1.7, 24 KB/s per daemon";
const STARTS_PER_SECOND: u64 = 150;
const TASK_COMMAND: &str = "reconcile --federation judo --tournament 2026-11 --belts all";
const TASK_RESULT: &str = "reconciled 48 of 48";

/// Runs the measurements of `control` and returns their rows.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let mut rows = Vec::new();
    log_bytes(seed, &mut rows);
    batching::add_rows(seed, &mut rows);
    let zone = zone_state(seed, CELL_JOBS, &mut rows);
    let witnessed = zone_state(seed, CELL_JOBS / ZONES as u32, &mut Vec::new());
    let root = root_state(seed, &mut rows);
    memory_row("root_and_zone", root + zone, &mut rows);
    memory_row("root_zone_and_witnessed_zone", root + zone + witnessed, &mut rows);
    escrow::add_rows(seed, length, &mut rows);
    rows
}

fn entry_bytes(command: zone::Command) -> f64 {
    envelope::encode(&[envelope::Envelope::new(NOW_MS, command)]).len() as f64
}

fn spec(kind: job::Kind, tasks: u32) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: Amount::new(1000, 1, 0),
        accelerator: 0,
        run_time: Duration::from_mins(10),
        checkpoint: false,
        command: String::from(TASK_COMMAND),
    }
}

/// Returns starts of random tasks, with ids and tokens as large as in a zone that has run for two years.
fn starts(
    random: &mut SmallRng,
    count: u64,
    worker: impl Fn(&mut SmallRng) -> id::WorkerId,
) -> Vec<zone::Start> {
    let token = 1 << 32;
    (0..count)
        .map(|number| zone::Start {
            task: task::Ref {
                job: id::job(9, random.random_range(500_000..560_000)),
                index: random.random_range(0..10),
            },
            worker: worker(random),
            token: token + number,
        })
        .collect()
}

fn log_bytes(seed: u64, rows: &mut Vec<Row>) {
    let mut random = SmallRng::seed_from_u64(seed);
    // At peak load the starts of one second go into ten entries.
    let batch = STARTS_PER_SECOND / 10;
    let mut per_start = |name: &str, worker: fn(&mut SmallRng) -> id::WorkerId| {
        let list = starts(&mut random, batch, worker);
        let bytes = entry_bytes(zone::Command::Start(list)) / batch as f64;
        rows.push(Row::new(
            format!("control.log_bytes_per_start.{name}"),
            bytes,
            "B",
            Bound::AtMost(14.0),
            "brief, bytes per start",
        ));
        bytes
    };
    per_start("small_worker_ids", |random| random.random_range(0..2800));
    per_start("32_bit_worker_ids", |random| u64::from(random.random::<u32>()));
    let start = per_start("64_bit_worker_ids", Rng::random);
    let ends = starts(&mut random, batch, |_| 0)
        .into_iter()
        .map(|start| zone::End {
            task: start.task,
            token: start.token - random.random_range(0..100_000),
            outcome: task::Outcome::Succeeded(String::from(TASK_RESULT)),
        })
        .collect();
    let end = entry_bytes(zone::Command::End(ends)) / batch as f64;
    let key = request_id::Key::new(1, "0b9f");
    let job = entry_bytes(zone::Command::Submit {
        team: 300,
        submission: Some(key),
        spec: spec(job::Kind::Batch, 10),
    });
    let claim = entry_bytes(zone::Command::Claim {
        key,
        holder: random.random(),
    });
    let completion = entry_bytes(zone::Command::Complete {
        number: 1 << 20,
        completion: zone::Completion::Answered(response(200)),
    });
    for (name, bytes) in [
        ("end_with_19_byte_result", end),
        ("job_with_60_byte_command", job),
        ("request_id_claim", claim),
        ("request_id_completion_200_byte_body", completion),
    ] {
        let name = format!("control.log_bytes_per_{name}");
        rows.push(Row::new(name, bytes, "B", Bound::None, WIRE_SOURCE));
    }
    // The zone leader sends every start and end to its two followers.
    let rate = STARTS_PER_SECOND as f64 * (start + end) * 2.0;
    rows.push(Row::new(
        "control.log_bytes_per_second_at_peak.zone_leader",
        rate,
        "B/s",
        WIRE_BOUND,
        WIRE_SOURCE,
    ));
}

fn response(bytes: usize) -> zone::StoredResponse {
    zone::StoredResponse {
        status: 200,
        content_type: String::from("application/json"),
        body: vec![b'a'; bytes].into(),
    }
}

/// Zone state to which commands are applied directly, without a log.
pub(crate) struct Zone {
    /// State after the commands so far.
    pub(crate) state: zone::State,
    at_ms: u64,
}

impl Zone {
    /// Creates a zone with workers of unlimited capacity and the same allotment for each team.
    pub(crate) fn new(id: id::AvailabilityZoneId, workers: u64, teams: u32, allotment: Amount) -> Self {
        let mut zone = Self {
            state: zone::State::new(id),
            at_ms: NOW_MS,
        };
        for worker in 0..workers {
            zone.apply(zone::Command::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / 8) as id::RackId,
                capacity: bronzespoke_model::resource::Capacity {
                    amount: bronzespoke_model::resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                    accelerator: 0,
                },
            }));
        }
        let granted = (1..=teams).map(|team| (team, allotment.into())).collect();
        zone.apply(zone::Command::Granted(granted));
        zone
    }

    /// Applies a command as the next log entry.
    pub(crate) fn apply(&mut self, command: zone::Command) -> zone::Outcome {
        let index = self.state.applied() + 1;
        self.state
            .apply(index, &envelope::Envelope::new(self.at_ms, command))
    }

    /// Submits a job, which must be accepted, and returns its id.
    pub(crate) fn submit(&mut self, team: id::TeamId, kind: job::Kind, tasks: u32) -> id::JobId {
        let command = zone::Command::Submit {
            team,
            submission: None,
            spec: spec(kind, tasks),
        };
        match self.apply(command) {
            zone::Outcome::Job(job) => job,
            other => unreachable!("the submission is refused: {other:?}"),
        }
    }

    /// Starts tasks of a job on the workers in rotation, and returns the number of accepted starts.
    pub(crate) fn start(&mut self, job: id::JobId, indices: std::ops::Range<u32>, workers: u64) -> u32 {
        let first = self.state.next_token();
        let starts: Vec<zone::Start> = indices
            .enumerate()
            .map(|(number, index)| zone::Start {
                task: task::Ref { job, index },
                worker: (number as u64 + first) % workers,
                token: first + number as u64,
            })
            .collect();
        let count = starts.len();
        match self.apply(zone::Command::Start(starts)) {
            zone::Outcome::Started(refused) => (count - refused.len()) as u32,
            other => unreachable!("starts have an outcome of their own: {other:?}"),
        }
    }

    /// Ends the run of a task, if it has one.
    pub(crate) fn end(&mut self, task: task::Ref, outcome: task::Outcome) {
        if let Some(run) = self.state.run(task) {
            let token = run.token;
            self.apply(zone::Command::End(vec![zone::End { task, token, outcome }]));
        }
    }
}

/// Adds the snapshot size and the memory estimate of a zone at the target size, and the snapshot bytes that each further
/// item of a kind takes. Returns the memory estimate.
fn zone_state(seed: u64, jobs: u32, rows: &mut Vec<Row>) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let workers = 165;
    let mut zone = Zone::new(9, workers, TEAMS, Amount::new(u32::MAX, u32::MAX, u32::MAX));
    let mut previous = zone.state.encode().len();
    let mut add_growth = |zone: &Zone, name: &str, count: u32, rows: &mut Vec<Row>| {
        let bytes = zone.state.encode().len();
        rows.push(Row::new(
            format!("control.snapshot_bytes_per_{name}"),
            (bytes - previous) as f64 / f64::from(count),
            "B",
            Bound::None,
            STATE_SOURCE,
        ));
        previous = bytes;
    };
    // Ended jobs are retained for a day.
    for number in 0..jobs {
        let job = zone.submit(number % TEAMS + 1, job::Kind::Batch, 1);
        zone.start(job, 0..1, workers);
        let task = task::Ref { job, index: 0 };
        zone.end(task, task::Outcome::Succeeded(String::from(TASK_RESULT)));
    }
    add_growth(&zone, "ended_job", jobs, rows);
    let open = zone.submit(1, job::Kind::Service, 10_000);
    zone.start(open, 0..1000, workers);
    add_growth(&zone, "running_task", 1000, rows);
    let ids = zone::MAX_REQUEST_IDS as u32;
    for number in 0..ids {
        let key = request_id::Key::new(1, &number.to_string());
        let holder = random.random_range(0..34);
        zone.apply(zone::Command::Claim { key, holder });
        let completion = zone::Completion::Answered(response(100));
        zone.apply(zone::Command::Complete {
            number: u64::from(number) + 1,
            completion,
        });
    }
    add_growth(&zone, "request_id_with_100_byte_answer", ids, rows);
    for number in 0..bronzespoke_control::dedupe::MAX_IDS {
        let index = zone.state.applied() + 1;
        let envelope = envelope::Envelope {
            id: Some(random.random()),
            at_ms: NOW_MS,
            command: zone::Command::Cancel {
                job: id::job(9, number as u64 % u64::from(jobs)),
            },
        };
        zone.state.apply(index, &envelope);
    }
    add_growth(
        &zone,
        "command_id",
        bronzespoke_control::dedupe::MAX_IDS as u32,
        rows,
    );
    rows.push(Row::new(
        "control.snapshot_bytes.zone_at_target_size",
        previous as f64,
        "B",
        STATE_BOUND,
        STATE_SOURCE,
    ));
    memory_row("zone_at_target_size", zone.state.memory(), rows);
    zone.state.memory()
}

fn memory_row(name: &str, bytes: usize, rows: &mut Vec<Row>) {
    rows.push(Row::new(
        format!("control.memory_estimate.{name}"),
        bytes as f64,
        "B",
        STATE_BOUND,
        STATE_SOURCE,
    ));
}

/// Creates a root state with zones of two VMs each, and with teams of four keys each.
pub(crate) fn build_root(seed: u64, teams: u32, zones: u16, limit: Amount) -> root::State {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut state = root::State::new();
    for zone in 1..=zones {
        let place = vm::Place {
            region: (zone - 1) / 3,
            zone,
        };
        apply(&mut state, None, root::Command::AddZone { place });
        for side in 0..2 {
            let port = zone * 10 + side;
            let address = |base: u16| ([10, 0, 0, 1], base + port).into();
            apply(
                &mut state,
                None,
                root::Command::AddVm(vm::Vm {
                    id: random.random(),
                    name: format!("entry-{zone}-{side}"),
                    place,
                    peer: address(1000),
                    http: address(2000),
                    rpc: address(3000),
                    durable: true,
                }),
            );
        }
    }
    for team in 1..=teams {
        let quota = team::Quota {
            weight: 1,
            limit,
            requests: 100,
        };
        let name = format!("federation-{team}");
        apply(&mut state, None, root::Command::CreateTeam { name, quota });
        for _ in 0..4 {
            let hash = random.random();
            apply(&mut state, None, root::Command::GrantKey { hash, team });
        }
    }
    state
}

fn apply(state: &mut root::State, id: Option<id::CommandId>, command: root::Command) -> root::Outcome {
    let index = state.applied() + 1;
    let envelope = envelope::Envelope {
        id,
        at_ms: NOW_MS,
        command,
    };
    state.apply(index, &envelope)
}

/// Adds the snapshot size and the memory estimate of a root at the target size. Returns the memory estimate.
fn root_state(seed: u64, rows: &mut Vec<Row>) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut state = build_root(seed, TEAMS, ZONES as u16, Amount::new(1_000_000, 4_000_000, 100));
    let demand = (1..=TEAMS)
        .flat_map(|team| (1..=ZONES as u16).map(move |zone| ((team, zone), Amount::new(1000, 1000, 1))))
        .collect();
    let grants = root::rebalance(&state, &demand);
    apply(&mut state, None, root::Command::Grant(grants));
    for _ in 0..bronzespoke_control::dedupe::MAX_IDS {
        let hash = random.random();
        let team = random.random_range(1..=TEAMS);
        apply(
            &mut state,
            Some(random.random()),
            root::Command::GrantKey { hash, team },
        );
        apply(
            &mut state,
            Some(random.random()),
            root::Command::WithdrawKey { hash },
        );
    }
    rows.push(Row::new(
        "control.snapshot_bytes.root_at_target_size",
        state.encode().len() as f64,
        "B",
        STATE_BOUND,
        STATE_SOURCE,
    ));
    memory_row("root_at_target_size", state.memory(), rows);
    state.memory()
}
