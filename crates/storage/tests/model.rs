//! Random writes, compared with an in-memory model after every restart.

use bronzespoke_consensus::{log, membership, snapshot, write};
use bronzespoke_model::id::GroupId;
use bronzespoke_storage::Store;

/// Linear congruential generator that chooses the writes; its low bits are weak and are discarded.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// State that a restart must restore: the retained entries, and the latest vote and snapshot.
#[derive(Default)]
struct Model {
    vote: write::Vote,
    snapshot: Option<snapshot::Snapshot>,
    entries: Vec<log::Entry>,
    term: u64,
}

impl Model {
    fn last(&self) -> u64 {
        let base = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.position.index);
        self.entries.last().map_or(base, |entry| entry.position.index)
    }

    fn snapshot_at(index: u64, term: u64) -> snapshot::Snapshot {
        let membership = membership::Membership::from_voters([1, 2]);
        snapshot::Snapshot {
            position: log::Position { term, index },
            membership,
            data: vec![3; 99].into(),
        }
    }

    /// Draws the next write and applies it to the model.
    fn next(&mut self, random: &mut Random) -> write::Kind {
        let base = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.position.index);
        match random.below(10) {
            0 => {
                self.term += 1;
                self.vote = write::Vote {
                    term: self.term,
                    candidate: Some(random.below(3)),
                };
                write::Kind::Vote(self.vote)
            }
            1 if self.last() > base => {
                let index = base + 1 + random.below(self.last() - base);
                let held = self
                    .entries
                    .iter()
                    .find(|entry| entry.position.index == index)
                    .expect("the model holds every entry after its snapshot");
                let snapshot = Self::snapshot_at(index, held.position.term);
                let first = (index + 1)
                    .saturating_sub(random.below(5))
                    .max(self.entries[0].position.index);
                self.entries.retain(|entry| entry.position.index >= first);
                self.snapshot = Some(snapshot.clone());
                write::Kind::Compact { snapshot, first }
            }
            2 => {
                self.term += 1;
                let snapshot = Self::snapshot_at(self.last() + 1 + random.below(5), self.term);
                self.entries.clear();
                self.snapshot = Some(snapshot.clone());
                write::Kind::Install(snapshot)
            }
            _ => {
                self.term += random.below(2);
                let first = self.last() + 1 - random.below(self.last() - base + 1).min(3);
                self.entries.retain(|entry| entry.position.index < first);
                let mut entries = Vec::new();
                for index in first..=first + random.below(4) {
                    let position = log::Position {
                        term: self.term,
                        index,
                    };
                    // Occasional large entries make the log span several segments.
                    let size = if random.below(20) == 0 { 3_000_000 } else { 20 };
                    entries.push(log::Entry {
                        position,
                        payload: log::Payload::Command(vec![5; size].into()),
                    });
                }
                self.entries.extend(entries.iter().cloned());
                write::Kind::Append {
                    entries,
                    commit: base,
                }
            }
        }
    }
}

/// Guards against a restart that restores another state than was written, for random sequences of appends,
/// replaced entries, compactions and installed snapshots over several segments.
#[test]
fn restart_restores_what_was_written() {
    for seed in 0..5 {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let mut random = Random(seed);
        let mut model = Model::default();
        for round in 0..16 {
            let (mut store, restored) = Store::open(folder.path(), GroupId::Root).expect("the store opens");
            let context = format!("seed {seed} round {round}");
            assert_eq!(restored.snapshot, model.snapshot, "{context}");
            assert_eq!(restored.vote, model.vote, "{context}");
            // The store may retain entries that the model has compacted.
            let tail = restored
                .entries
                .len()
                .checked_sub(model.entries.len())
                .expect("no entry is missing");
            assert_eq!(restored.entries[tail..], model.entries, "{context}");
            let mut writes = Vec::new();
            for sequence in 0..random.below(6) {
                let kind = model.next(&mut random);
                if model.vote.term < model.term {
                    // A replica stores a term before the first entry of it.
                    model.vote = write::Vote {
                        term: model.term,
                        candidate: None,
                    };
                    writes.push(write::Write {
                        sequence,
                        kind: write::Kind::Vote(model.vote),
                    });
                }
                writes.push(write::Write { sequence, kind });
            }
            store.write(&writes).expect("the disk has space");
        }
    }
}
