//! Compact log form of starts and ends.
//!
//! Starts are the most frequent entries. Jobs lose the zone in their upper bits, which all jobs of a group share, and
//! tokens become differences, so that a start takes about as many bytes as its worker id and its sequence number need.

use bronzespoke_model::{id, task};
use serde::{Deserialize, Serialize};

const ZONE_BITS: u32 = 16;

/// Moves the zone to the low bits, so that equal zones leave no long numbers after the first job.
fn job_delta(previous: id::JobId, job: id::JobId) -> u64 {
    (previous ^ job).rotate_left(ZONE_BITS)
}

fn job_from_delta(previous: id::JobId, delta: u64) -> id::JobId {
    previous ^ delta.rotate_right(ZONE_BITS)
}

/// Form of a list of starts.
pub mod starts {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, Serialize, id, job_delta, job_from_delta, task};
    use crate::zone::command::Start;

    /// Encodes starts.
    pub fn serialize<S: Serializer>(starts: &[Start], serializer: S) -> Result<S::Ok, S::Error> {
        let (mut job, mut token) = (0, 0);
        let mut rows: Vec<(u64, id::TaskIndex, id::WorkerId, u64)> = Vec::with_capacity(starts.len());
        for start in starts {
            rows.push((
                job_delta(job, start.task.job),
                start.task.index,
                start.worker,
                start.token.wrapping_sub(token),
            ));
            (job, token) = (start.task.job, start.token);
        }
        rows.serialize(serializer)
    }

    /// Decodes starts.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Start>, D::Error> {
        let rows: Vec<(u64, id::TaskIndex, id::WorkerId, u64)> = Vec::deserialize(deserializer)?;
        let (mut job, mut token) = (0, 0_u64);
        let starts = rows
            .into_iter()
            .map(|(delta, index, worker, step)| {
                job = job_from_delta(job, delta);
                token = token.wrapping_add(step);
                Start {
                    task: task::Ref { job, index },
                    worker,
                    token,
                }
            })
            .collect();
        Ok(starts)
    }
}

/// Form of a list of ends.
pub mod ends {
    use serde::{Deserializer, Serializer};

    use super::{Deserialize, Serialize, id, job_delta, job_from_delta, task};
    use crate::zone::command::End;

    /// Encodes ends.
    pub fn serialize<S: Serializer>(ends: &[End], serializer: S) -> Result<S::Ok, S::Error> {
        let (mut job, mut token) = (0, 0);
        let mut rows: Vec<(u64, id::TaskIndex, i64, &task::Outcome)> = Vec::with_capacity(ends.len());
        for end in ends {
            rows.push((
                job_delta(job, end.task.job),
                end.task.index,
                end.token.wrapping_sub(token).cast_signed(),
                &end.outcome,
            ));
            (job, token) = (end.task.job, end.token);
        }
        rows.serialize(serializer)
    }

    /// Decodes ends.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<End>, D::Error> {
        let rows: Vec<(u64, id::TaskIndex, i64, task::Outcome)> = Vec::deserialize(deserializer)?;
        let (mut job, mut token) = (0, 0_u64);
        let ends = rows
            .into_iter()
            .map(|(delta, index, step, outcome)| {
                job = job_from_delta(job, delta);
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
