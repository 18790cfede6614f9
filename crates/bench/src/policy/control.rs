//! Policy measurements of `control`: bytes in the log and in snapshots, and how well parts follow demand.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::{batch, demand, envelope, request_id, root, zone};
use bronzespoke_model::{id, job, resource::Amount, task, team, vm, worker};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::measure::{Bound, Length, Row};

const ZONES: usize = 17;
const TEAMS: u32 = 640;
/// Jobs of the cell in a day; the zone at target size has all of them.
const CELL_JOBS: u32 = 13_000;
/// Wall time of the runs, in milliseconds; its size counts in the envelopes.
const NOW_MS: u64 = 1_796_000_000_000;
const STATE: Bound = Bound::AtMost(64_000_000.0);
const STATE_SOURCE: &str = "design 1.7, 64 MB per daemon";
const WIRE: Bound = Bound::AtMost(24_000.0);
const WIRE_SOURCE: &str = "design 1.7, 24 KB/s per daemon";
const STARTS_PER_SECOND: u64 = 150;
const COMMAND: &str = "reconcile --federation judo --tournament 2026-11 --belts all";
const RESULT: &str = "reconciled 48 of 48";

/// Returns the rows of this part.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let mut rows = Vec::new();
    log_bytes(seed, &mut rows);
    collection(seed, &mut rows);
    let zone = zone_state(seed, CELL_JOBS, &mut rows);
    let witnessed = zone_state(seed, CELL_JOBS / ZONES as u32, &mut Vec::new());
    let root = root_state(seed, &mut rows);
    memory_row("root_and_zone", root + zone, &mut rows);
    memory_row("root_zone_and_witnessed_zone", root + zone + witnessed, &mut rows);
    escrow(seed, length, &mut rows);
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
        command: String::from(COMMAND),
    }
}

/// Returns starts of random tasks in a zone that has run for two years.
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
    // Ten entries a second at peak.
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
            outcome: task::Outcome::Succeeded(String::from(RESULT)),
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
        completion: zone::Completion::Answered(answer(200)),
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
    // Starts and ends at the peak rate, to the two followers of the zone leader.
    let rate = STARTS_PER_SECOND as f64 * (start + end) * 2.0;
    rows.push(Row::new(
        "control.log_bytes_per_second_at_peak.zone_leader",
        rate,
        "B/s",
        WIRE,
        WIRE_SOURCE,
    ));
}

/// Collects the starts and ends of a peak minute into entries, with one command for urgent work in a second. Returns the
/// entries in a second, and the longest waits of routine and urgent commands in milliseconds.
fn collect(seed: u64, routine: batch::Urgency) -> (f64, [f64; 2]) {
    const SECONDS: u64 = 60;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut batch = batch::Batch::default();
    let (mut entries, mut waits) = (0, [0.0, 0.0]);
    let end = Duration::from_secs(SECONDS);
    let mut now = Duration::ZERO;
    while now < end {
        let gap = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / (2.0 * STARTS_PER_SECOND as f64);
        now += Duration::from_secs_f64(gap);
        while let Some(due) = batch.due().filter(|due| *due <= now) {
            entries += 1;
            for (kind, since) in batch.take(due).1 {
                let wait = due.saturating_sub(since);
                waits[kind] = f64::max(waits[kind], wait.as_secs_f64() * 1000.0);
            }
        }
        let urgent = random.random::<f64>() < 0.5 / STARTS_PER_SECOND as f64;
        let urgency = if urgent { batch::Urgency::Prompt } else { routine };
        let command = envelope::Envelope::new(NOW_MS, ());
        batch.push(now, command, (usize::from(urgent), now), urgency);
    }
    (f64::from(entries) / SECONDS as f64, waits)
}

fn collection(seed: u64, rows: &mut Vec<Row>) {
    let (each, _) = collect(seed, batch::Urgency::Prompt);
    let (collected, [routine, urgent]) = collect(seed, batch::Urgency::Routine);
    let prompt = batch::PROMPT.as_secs_f64() * 1000.0;
    let longest = batch::COLLECT.as_secs_f64() * 1000.0;
    let source = "ten batches a second and one urgent command";
    let entries = "control.log_entries_per_second_at_peak";
    let waits = "control.command_wait_ms_at_peak";
    rows.push(Row::new(
        format!("{entries}.all_prompt"),
        each,
        "1/s",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        format!("{entries}.collected"),
        collected,
        "1/s",
        Bound::AtMost(12.0),
        source,
    ));
    let source = "2 ms for urgent work, 100 ms for the rest";
    rows.push(Row::new(
        format!("{waits}.longest_routine"),
        routine,
        "ms",
        Bound::AtMost(longest),
        source,
    ));
    rows.push(Row::new(
        format!("{waits}.longest_urgent"),
        urgent,
        "ms",
        Bound::AtMost(prompt),
        source,
    ));
}

fn answer(bytes: usize) -> zone::Answer {
    zone::Answer {
        status: 200,
        content_type: String::from("application/json"),
        body: vec![b'a'; bytes].into(),
    }
}

/// A zone state with a part without bounds for each team.
pub(crate) struct Zone {
    /// State.
    pub(crate) state: zone::State,
    at_ms: u64,
}

impl Zone {
    /// Returns a zone with workers and parts.
    pub(crate) fn new(id: id::AvailabilityZoneId, workers: u64, teams: u32, part: Amount) -> Self {
        let mut zone = Self {
            state: zone::State::new(id),
            at_ms: NOW_MS,
        };
        for worker in 0..workers {
            zone.run(zone::Command::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / 8) as id::RackId,
                capacity: bronzespoke_model::resource::Capacity {
                    amount: bronzespoke_model::resource::Amount::new(u32::MAX, u32::MAX, u32::MAX),
                    accelerator: 0,
                },
            }));
        }
        let granted = (1..=teams).map(|team| (team, part.into())).collect();
        zone.run(zone::Command::Granted(granted));
        zone
    }

    /// Applies a command.
    pub(crate) fn run(&mut self, command: zone::Command) -> zone::Outcome {
        let index = self.state.applied() + 1;
        self.state
            .apply(index, &envelope::Envelope::new(self.at_ms, command))
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, team: id::TeamId, kind: job::Kind, tasks: u32) -> id::JobId {
        let command = zone::Command::Submit {
            team,
            submission: None,
            spec: spec(kind, tasks),
        };
        match self.run(command) {
            zone::Outcome::Job(job) => job,
            other => unreachable!("the submission is refused: {other:?}"),
        }
    }

    /// Starts tasks of a job one after another; returns how many were accepted.
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
        match self.run(zone::Command::Start(starts)) {
            zone::Outcome::Started(refused) => (count - refused.len()) as u32,
            other => unreachable!("starts have an outcome of their own: {other:?}"),
        }
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, task: task::Ref, outcome: task::Outcome) {
        if let Some(run) = self.state.run(task) {
            let token = run.token;
            self.run(zone::Command::End(vec![zone::End { task, token, outcome }]));
        }
    }
}

/// Encoded bytes and the estimate of memory of a zone at the target size, and what one more of each kind adds.
fn zone_state(seed: u64, jobs: u32, rows: &mut Vec<Row>) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let workers = 165;
    let mut zone = Zone::new(9, workers, TEAMS, Amount::new(u32::MAX, u32::MAX, u32::MAX));
    let mut last = zone.state.encode().len();
    let mut slope = |zone: &Zone, name: &str, count: u32, rows: &mut Vec<Row>| {
        let bytes = zone.state.encode().len();
        rows.push(Row::new(
            format!("control.snapshot_bytes_per_{name}"),
            (bytes - last) as f64 / f64::from(count),
            "B",
            Bound::None,
            STATE_SOURCE,
        ));
        last = bytes;
    };
    // Jobs of one day, ended and not yet dropped.
    for number in 0..jobs {
        let job = zone.submit(number % TEAMS + 1, job::Kind::Batch, 1);
        zone.start(job, 0..1, workers);
        let task = task::Ref { job, index: 0 };
        zone.end(task, task::Outcome::Succeeded(String::from(RESULT)));
    }
    slope(&zone, "ended_job", jobs, rows);
    let open = zone.submit(1, job::Kind::Service, 10_000);
    zone.start(open, 0..1000, workers);
    slope(&zone, "running_task", 1000, rows);
    let ids = zone::MAX_REQUEST_IDS as u32;
    for number in 0..ids {
        let key = request_id::Key::new(1, &number.to_string());
        let holder = random.random_range(0..34);
        zone.run(zone::Command::Claim { key, holder });
        let completion = zone::Completion::Answered(answer(100));
        zone.run(zone::Command::Complete {
            number: u64::from(number) + 1,
            completion,
        });
    }
    slope(&zone, "request_id_with_100_byte_answer", ids, rows);
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
    slope(
        &zone,
        "command_id",
        bronzespoke_control::dedupe::MAX_IDS as u32,
        rows,
    );
    rows.push(Row::new(
        "control.snapshot_bytes.zone_at_target_size",
        last as f64,
        "B",
        STATE,
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
        STATE,
        STATE_SOURCE,
    ));
}

/// A root state at the target size.
pub(crate) fn root_at(seed: u64, teams: u32, zones: u16, limit: Amount) -> root::State {
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

fn root_state(seed: u64, rows: &mut Vec<Row>) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut state = root_at(seed, TEAMS, ZONES as u16, Amount::new(1_000_000, 4_000_000, 100));
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
        STATE,
        STATE_SOURCE,
    ));
    memory_row("root_at_target_size", state.memory(), rows);
    state.memory()
}

/// Teams, limit per team in tasks, and steps of one second of the escrow runs.
const ESCROW_TEAMS: u32 = 20;
const ESCROW_LIMIT: u32 = 170;
/// Seconds that a task runs.
const TASK_SECONDS: u64 = 30;

/// Zones whose tasks follow a demand, under parts from the root state or under fixed ones.
struct Run {
    root: root::State,
    zones: Vec<Zone>,
    jobs: BTreeMap<(id::TeamId, id::AvailabilityZoneId), (id::JobId, u32)>,
    /// Runs by the second at which they end.
    ends: BTreeMap<u64, Vec<(usize, task::Ref)>>,
    reporters: Vec<demand::Reporter>,
    table: demand::Table,
    report_bytes: usize,
    log_bytes: usize,
    second: u64,
}

impl Run {
    fn new(seed: u64, moving: bool) -> Self {
        let limit = Amount::new(ESCROW_LIMIT * 1000, ESCROW_LIMIT, 0);
        let part = if moving {
            Amount::ZERO
        } else {
            Amount::new(limit.cpu_milli / ZONES as u32, limit.memory_mib / ZONES as u32, 0)
        };
        let mut run = Self {
            root: root_at(seed, ESCROW_TEAMS, ZONES as u16, limit),
            zones: (1..=ZONES as u16)
                .map(|zone| Zone::new(zone, 8, ESCROW_TEAMS, part))
                .collect(),
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            reporters: (1..=ZONES as u16)
                .map(|zone| demand::Reporter::new(zone, 1, Duration::ZERO))
                .collect(),
            table: demand::Table::new(Duration::ZERO),
            report_bytes: 0,
            log_bytes: 0,
            second: 0,
        };
        for team in 1..=ESCROW_TEAMS {
            for (number, zone) in run.zones.iter_mut().enumerate() {
                let job = zone.submit(team, job::Kind::Service, job::MAX_TASKS);
                run.jobs.insert((team, number as u16 + 1), (job, 0));
            }
        }
        run
    }

    fn running(&self, team: id::TeamId, zone: usize) -> u32 {
        let used = self.zones[zone].state.holdings().get(team).used;
        (used.cpu_milli / 1000) as u32
    }

    /// One second: tasks end, zones start what they may, and each zone and the root exchange one message.
    fn step(&mut self, demand: &BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>, moving: bool) {
        self.second += 1;
        for (zone, task) in self.ends.remove(&self.second).unwrap_or_default() {
            self.zones[zone].end(task, task::Outcome::Stopped);
        }
        for (key, wanted) in demand {
            let zone = usize::from(key.1) - 1;
            let missing = wanted.saturating_sub(self.running(key.0, zone));
            let free = self.zones[zone].state.holdings().get(key.0).free();
            let count = missing
                .min((free.cpu_milli / 1000) as u32)
                .min(free.memory_mib as u32);
            self.start(*key, count);
        }
        if moving {
            self.exchange(demand);
        }
    }

    fn start(&mut self, key: (id::TeamId, id::AvailabilityZoneId), count: u32) {
        let Some((job, next)) = self.jobs.get_mut(&key) else {
            return;
        };
        let zone = usize::from(key.1) - 1;
        let first = *next % (job::MAX_TASKS - count);
        *next = first + count;
        self.zones[zone].start(*job, first..first + count, 8);
        let tasks = (first..first + count).map(|index| (zone, task::Ref { job: *job, index }));
        self.ends
            .entry(self.second + TASK_SECONDS)
            .or_default()
            .extend(tasks);
    }

    fn exchange(&mut self, demand: &BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>) {
        let view = self.root.view();
        let now = Duration::from_secs(self.second);
        for (number, zone) in self.zones.iter_mut().enumerate() {
            let id = number as u16 + 1;
            zone.run(zone::Command::Granted(view.granted(id)));
            let released = zone.state.releases(|team| view.target(team, id));
            if !released.is_empty() {
                zone.run(zone::Command::Release(released));
            }
            let reporter = &mut self.reporters[number];
            for ((team, _), tasks) in demand.iter().filter(|((_, zone), _)| *zone == id) {
                let released = zone.state.holdings().get(*team).released;
                reporter.set(*team, Amount::new(tasks * 1000, *tasks, 0), released);
            }
            if let Some(report) = reporter.report(now, 1)
                && let Some(receipt) = self.table.receive(now, &report)
            {
                self.report_bytes += postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
                reporter.acknowledge(1, &receipt);
            }
        }
        for (zone, released) in self.table.released(&self.root) {
            self.log(root::Command::Released { zone, released });
        }
        let grants = root::rebalance(&self.root, &self.table.demand(now, &self.root));
        if !grants.is_empty() {
            self.log(root::Command::Grant(grants));
        }
    }

    fn log(&mut self, command: root::Command) {
        self.log_bytes += envelope::encode(&[envelope::Envelope::new(NOW_MS, command.clone())]).len();
        apply(&mut self.root, None, command);
    }
}

/// Demand that wanders: every ten seconds, some teams move their main zone.
fn wander(
    random: &mut SmallRng,
    second: u64,
    demand: &mut BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>,
) {
    for team in 1..=ESCROW_TEAMS {
        let moves = second == 0 || (second.is_multiple_of(10) && random.random::<f64>() < 0.1);
        let main = random.random_range(1..=ZONES as u16);
        for zone in 1..=ZONES as u16 {
            let tasks = demand.entry((team, zone)).or_default();
            if moves {
                let most = if zone == main { ESCROW_LIMIT * 3 / 4 } else { 6 };
                *tasks = random.random_range(0..=most);
            } else if random.random::<f64>() < 0.2 {
                *tasks = tasks.saturating_add_signed(random.random_range(-1..=1));
            }
        }
    }
}

/// Returns the part of the demand within the limits that ran in its zone, and in each second the bytes of the root log
/// and of the reports to the root leader.
fn demand_met(seed: u64, seconds: u64, moving: bool) -> (f64, f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut run = Run::new(seed, moving);
    let mut demand = BTreeMap::new();
    let (mut met, mut possible) = (0, 0);
    for second in 0..seconds {
        wander(&mut random, second, &mut demand);
        run.step(&demand, moving);
        for team in 1..=ESCROW_TEAMS {
            let wanted: u32 = (1..=ZONES as u16).map(|zone| demand[&(team, zone)]).sum();
            possible += u64::from(wanted.min(ESCROW_LIMIT));
            for zone in 0..ZONES {
                let wanted = demand[&(team, zone as u16 + 1)];
                met += u64::from(run.running(team, zone).min(wanted));
            }
        }
    }
    (
        met as f64 / possible as f64,
        run.log_bytes as f64 / seconds as f64,
        run.report_bytes as f64 / seconds as f64,
    )
}

/// Returns the seconds until a zone to which all demand of a team moved runs 95% of it. The tasks of the other zone
/// ended, so that the time is that of the messages, one round of which takes a second.
fn time_to_move(seed: u64, moving: bool) -> u64 {
    let mut run = Run::new(seed, moving);
    let mut demand = BTreeMap::from([((1, 1), ESCROW_LIMIT), ((1, 2), 0)]);
    for _ in 0..60 {
        run.step(&demand, moving);
    }
    let running: Vec<task::Ref> = run.zones[0].state.runs().map(|(task, _)| task).collect();
    for task in running {
        run.zones[0].end(task, task::Outcome::Stopped);
    }
    run.ends.clear();
    demand = BTreeMap::from([((1, 1), 0), ((1, 2), ESCROW_LIMIT)]);
    (1..=600)
        .find(|_| {
            run.step(&demand, moving);
            run.running(1, 1) * 100 >= ESCROW_LIMIT * 95
        })
        .unwrap_or(600)
}

fn escrow(seed: u64, length: Length, rows: &mut Vec<Row>) {
    let seconds = match length {
        Length::Short => 120,
        Length::Long => 1200,
    };
    let (fixed, _, _) = demand_met(seed, seconds, false);
    let (met, bytes, reports) = demand_met(seed, seconds, true);
    let source = "static equal split, same seed";
    rows.push(Row::new(
        "control.escrow_demand_met_locally.static_equal_split",
        fixed,
        "share",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        "control.escrow_demand_met_locally.moving_parts",
        met,
        "share",
        Bound::AtLeast(fixed),
        source,
    ));
    rows.push(Row::new(
        "control.escrow_root_log_bytes_per_second.20_teams",
        bytes,
        "B/s",
        Bound::AtMost(24_000.0 * f64::from(ESCROW_TEAMS) / f64::from(TEAMS)),
        "design 1.7, 24 KB/s for 640 teams",
    ));
    rows.push(Row::new(
        "control.demand_report_bytes_per_second.to_root_leader_20_teams",
        reports,
        "B/s",
        Bound::AtMost(24_000.0 * f64::from(ESCROW_TEAMS) / f64::from(TEAMS)),
        "design 1.7, 24 KB/s for 640 teams; reports of 17 zones without frames",
    ));
    rows.push(Row::new(
        "control.escrow_seconds_to_move.static_equal_split_capped_at_600",
        time_to_move(seed, false) as f64,
        "s",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        "control.escrow_seconds_to_move.moving_parts",
        time_to_move(seed, true) as f64,
        "s",
        Bound::AtMost(time_to_move(seed, false) as f64),
        source,
    ));
}
