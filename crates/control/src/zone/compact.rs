//! Compact log form of starts and ends.
//!
//! Starts are the most frequent entries. Jobs and tokens become differences to the row before, which takes the zone out
//! of all jobs but the first, so that a start takes about as many bytes as its worker id and its sequence number need.

use bronzespoke_model::{id, task};
use serde::{Deserialize, Serialize};

/// Returns the job from which the first difference is taken: it takes the zone out of the first job as well.
fn base(zone: id::AvailabilityZoneId) -> id::JobId {
    id::job(zone, 0)
}

/// Worker ids from here on take 8 to 10 bytes as variable-length numbers; 8 fixed bytes are shorter on average.
const WIDE_WORKER: id::WorkerId = 1 << 49;

/// Form of a list of starts.
pub mod starts {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, Serialize, WIDE_WORKER, base, id, task};
    use crate::zone::command::Start;

    type Row<W> = (u64, id::TaskIndex, W, u64);

    #[derive(Serialize, Deserialize)]
    enum Rows {
        Narrow(Vec<Row<id::WorkerId>>),
        Wide(Vec<Row<[u8; 8]>>),
    }

    fn rows<W>(
        zone: id::AvailabilityZoneId,
        starts: &[Start],
        worker: impl Fn(id::WorkerId) -> W,
    ) -> Vec<Row<W>> {
        let (mut job, mut token) = (base(zone), 0);
        let mut rows = Vec::with_capacity(starts.len());
        for start in starts {
            rows.push((
                start.task.job ^ job,
                start.task.index,
                worker(start.worker),
                start.token.wrapping_sub(token),
            ));
            (job, token) = (start.task.job, start.token);
        }
        rows
    }

    fn starts<W>(
        zone: id::AvailabilityZoneId,
        rows: Vec<Row<W>>,
        worker: impl Fn(W) -> id::WorkerId,
    ) -> Vec<Start> {
        let (mut job, mut token) = (base(zone), 0_u64);
        let mut starts = Vec::with_capacity(rows.len());
        for (difference, index, worker_form, step) in rows {
            job ^= difference;
            token = token.wrapping_add(step);
            starts.push(Start {
                task: task::Ref { job, index },
                worker: worker(worker_form),
                token,
            });
        }
        starts
    }

    /// Encodes starts.
    pub fn serialize<S: Serializer>(starts: &[Start], serializer: S) -> Result<S::Ok, S::Error> {
        let wide = starts.iter().filter(|start| start.worker >= WIDE_WORKER).count();
        let zone = starts.first().map_or(0, |start| id::job_zone(start.task.job));
        let form = if wide * 2 > starts.len() {
            Rows::Wide(rows(zone, starts, id::WorkerId::to_le_bytes))
        } else {
            Rows::Narrow(rows(zone, starts, |worker| worker))
        };
        (zone, form).serialize(serializer)
    }

    /// Decodes starts.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Start>, D::Error> {
        let (zone, form) = <(id::AvailabilityZoneId, Rows)>::deserialize(deserializer)?;
        let form = match form {
            Rows::Narrow(rows) => starts(zone, rows, |worker| worker),
            Rows::Wide(rows) => starts(zone, rows, id::WorkerId::from_le_bytes),
        };
        Ok(form)
    }
}

/// Form of a list of ends.
pub mod ends {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, Serialize, base, id, task};
    use crate::zone::command::End;

    type Row = (u64, id::TaskIndex, i64, task::Outcome);

    /// Encodes ends.
    pub fn serialize<S: Serializer>(ends: &[End], serializer: S) -> Result<S::Ok, S::Error> {
        let zone = ends.first().map_or(0, |end| id::job_zone(end.task.job));
        let (mut job, mut token) = (base(zone), 0);
        let mut rows: Vec<(u64, id::TaskIndex, i64, &task::Outcome)> = Vec::with_capacity(ends.len());
        for end in ends {
            rows.push((
                end.task.job ^ job,
                end.task.index,
                end.token.wrapping_sub(token).cast_signed(),
                &end.outcome,
            ));
            (job, token) = (end.task.job, end.token);
        }
        (zone, rows).serialize(serializer)
    }

    /// Decodes ends.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<End>, D::Error> {
        let (zone, rows) = <(id::AvailabilityZoneId, Vec<Row>)>::deserialize(deserializer)?;
        let (mut job, mut token) = (base(zone), 0_u64);
        let ends = rows
            .into_iter()
            .map(|(difference, index, step, outcome)| {
                job ^= difference;
                token = token.wrapping_add(step.cast_unsigned());
                End {
                    task: task::Ref { job, index },
                    token,
                    outcome,
                }
            })
            .collect();
        Ok(ends)
    }
}
