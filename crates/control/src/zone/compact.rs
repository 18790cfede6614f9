//! Compact encoding of starts and ends in the log.
//!
//! Starts are the most frequent entries. Jobs and tokens are delta-encoded against the previous row, which eliminates
//! the zone from the job ids, so that a start takes little more than the bytes of its worker id and its sequence
//! number.

use bronzespoke_model::{id, task};
use serde::{Deserialize, Serialize};

/// Returns the base of the first delta, which eliminates the zone from the first job id as well.
fn base(zone: id::AvailabilityZoneId) -> id::JobId {
    id::job(zone, 0)
}

/// Smallest worker id that takes 8 to 10 bytes as a variable-length integer; 8 fixed bytes are shorter on average.
const WIDE_WORKER: id::WorkerId = 1 << 49;

/// Encoding of a list of starts.
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

    fn encode<W>(
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

    fn decode<W>(
        zone: id::AvailabilityZoneId,
        rows: Vec<Row<W>>,
        worker: impl Fn(W) -> id::WorkerId,
    ) -> Vec<Start> {
        let (mut job, mut token) = (base(zone), 0_u64);
        let mut starts = Vec::with_capacity(rows.len());
        for (job_delta, index, encoded_worker, token_delta) in rows {
            job ^= job_delta;
            token = token.wrapping_add(token_delta);
            starts.push(Start {
                task: task::Ref { job, index },
                worker: worker(encoded_worker),
                token,
            });
        }
        starts
    }

    /// Serializes starts.
    pub fn serialize<S: Serializer>(starts: &[Start], serializer: S) -> Result<S::Ok, S::Error> {
        let wide = starts.iter().filter(|start| start.worker >= WIDE_WORKER).count();
        let zone = starts.first().map_or(0, |start| id::job_zone(start.task.job));
        let rows = if wide * 2 > starts.len() {
            Rows::Wide(encode(zone, starts, id::WorkerId::to_le_bytes))
        } else {
            Rows::Narrow(encode(zone, starts, |worker| worker))
        };
        (zone, rows).serialize(serializer)
    }

    /// Deserializes starts.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Start>, D::Error> {
        let (zone, rows) = <(id::AvailabilityZoneId, Rows)>::deserialize(deserializer)?;
        let starts = match rows {
            Rows::Narrow(rows) => decode(zone, rows, |worker| worker),
            Rows::Wide(rows) => decode(zone, rows, id::WorkerId::from_le_bytes),
        };
        Ok(starts)
    }
}

/// Encoding of a list of ends.
pub mod ends {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, Serialize, base, id, task};
    use crate::zone::command::End;

    type Row = (u64, id::TaskIndex, i64, task::Outcome);

    /// Serializes ends.
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

    /// Deserializes ends.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<End>, D::Error> {
        let (zone, rows) = <(id::AvailabilityZoneId, Vec<Row>)>::deserialize(deserializer)?;
        let (mut job, mut token) = (base(zone), 0_u64);
        let ends = rows
            .into_iter()
            .map(|(job_delta, index, token_delta, outcome)| {
                job ^= job_delta;
                token = token.wrapping_add(token_delta.cast_unsigned());
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
