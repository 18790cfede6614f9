//! Benchmarks of `consensus` and `storage`.

use std::hint::black_box;
use std::time::Duration;

use bronzespoke_consensus::replica::{Config, Input, Output, Replica, Restored};
use bronzespoke_consensus::{log, membership, snapshot, write};
use bronzespoke_model::id;
use bronzespoke_storage::Store;
use criterion::{BatchSize, Criterion, Throughput};

const ENTRY_BYTES: usize = 12;
const GROUP: id::GroupId = id::GroupId::Zone(1);
const SNAPSHOT_BYTES: [usize; 4] = [16 * 1024, 256 * 1024, 2 * 1024 * 1024, 8 * 1024 * 1024];
const APPENDED_ENTRIES: [u64; 2] = [1, 100];

/// Registers the benchmarks of this module.
pub fn register(criterion: &mut Criterion) {
    single_voter(criterion);
    replicate(criterion);
    append(criterion);
    snapshots(criterion);
}

fn entries(first: u64, count: u64) -> Vec<log::Entry> {
    let entry = |index| log::Entry {
        position: log::Position { term: 1, index },
        payload: log::Payload::Command(vec![0; ENTRY_BYTES].into()),
    };
    (first..first + count).map(entry).collect()
}

fn members(voters: u64) -> Restored {
    Restored::bootstrap(membership::Membership::from_voters(1..=voters))
}

/// Group that processes the outputs of its members until none remain. Writes are durable immediately.
struct Group {
    replicas: Vec<Replica>,
    now: Duration,
    inputs: Vec<(usize, Input)>,
    out: Vec<Output>,
}

impl Group {
    fn new(voters: u64) -> Self {
        let mut replicas = Vec::new();
        for vm in 1..=voters {
            replicas.push(Replica::new(
                Config::new(vm, GROUP, vm),
                members(voters),
                Duration::ZERO,
            ));
        }
        let mut group = Self {
            replicas,
            now: Duration::ZERO,
            inputs: Vec::new(),
            out: Vec::new(),
        };
        group.now = Duration::from_secs(2);
        group.run(0, Input::Tick);
        group
    }

    fn run(&mut self, node: usize, input: Input) {
        self.inputs.push((node, input));
        while let Some((node, input)) = self.inputs.pop() {
            self.replicas[node].step(self.now, input, &mut self.out);
            for output in self.out.drain(..) {
                match output {
                    Output::Persist(write::Write { sequence, .. }) => {
                        self.inputs.push((node, Input::Persisted { through: sequence }));
                    }
                    Output::Send { to, message } => {
                        let from = node as u64 + 1;
                        self.inputs
                            .insert(0, (to as usize - 1, Input::Receive { from, message }));
                    }
                    Output::Apply(entry) => {
                        self.inputs.push((
                            node,
                            Input::Applied {
                                index: entry.position.index,
                            },
                        ));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Proposes an entry, and compacts the logs every 10,000 proposals so that they stay small.
    fn propose(&mut self, id: u64) {
        self.now += Duration::from_micros(10);
        self.run(
            0,
            Input::Propose {
                id,
                data: vec![0; ENTRY_BYTES].into(),
            },
        );
        if id % 10_000 == 9_999 {
            for node in 0..self.replicas.len() {
                let applied = self.replicas[node].status().applied;
                if let Some(snapshot) = self.replicas[node].snapshot(applied, vec![0; 64].into()) {
                    self.run(node, Input::Compact { snapshot });
                }
            }
        }
    }
}

/// Append, commit and apply in a group of one voter, without messages.
fn single_voter(criterion: &mut Criterion) {
    let mut group = Group::new(1);
    let mut id = 0;
    criterion.bench_function("consensus/append_commit_apply/1_voter", |bencher| {
        bencher.iter(|| {
            id += 1;
            group.propose(id);
        });
    });
}

/// Append, commit and apply with the messages between a leader and two followers.
fn replicate(criterion: &mut Criterion) {
    let mut group = Group::new(3);
    let mut id = 0;
    criterion.bench_function("consensus/replicate/3_voters", |bencher| {
        bencher.iter(|| {
            id += 1;
            group.propose(id);
        });
    });
}

/// One synced write of one entry, and of several.
fn append(criterion: &mut Criterion) {
    for count in APPENDED_ENTRIES {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _) = Store::open(folder.path(), GROUP).expect("the store opens");
        let vote = write::Kind::Vote(write::Vote {
            term: 1,
            candidate: Some(1),
        });
        store
            .write(&[write::Write {
                sequence: 0,
                kind: vote,
            }])
            .expect("the disk has space");
        let mut next = 1;
        criterion.bench_function(&format!("storage/append_synced/{count}_entries"), |bencher| {
            bencher.iter(|| {
                let kind = write::Kind::Append {
                    entries: entries(next, count),
                    commit: 0,
                };
                next += count;
                store
                    .write(&[write::Write { sequence: next, kind }])
                    .expect("the disk has space");
            });
        });
    }
}

/// Computation of a snapshot's label, and a synced write of the snapshot.
fn snapshots(criterion: &mut Criterion) {
    for size in SNAPSHOT_BYTES {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _) = Store::open(folder.path(), GROUP).expect("the store opens");
        let position = log::Position { term: 1, index: 1 };
        let membership = membership::Membership::from_voters([1]);
        let snapshot = snapshot::Snapshot {
            position,
            membership,
            data: vec![7; size].into(),
        };
        let mut group = criterion.benchmark_group("snapshot");
        group.throughput(Throughput::Bytes(size as u64));
        group.bench_function(format!("label/{size}_bytes"), |bencher| {
            bencher.iter(|| black_box(snapshot.label()));
        });
        group.bench_function(format!("store_synced/{size}_bytes"), |bencher| {
            let write = || write::Write {
                sequence: 1,
                kind: write::Kind::Install(snapshot.clone()),
            };
            bencher.iter_batched(
                write,
                |write| store.write(&[write]).expect("the disk has space"),
                BatchSize::PerIteration,
            );
        });
        group.finish();
    }
}
