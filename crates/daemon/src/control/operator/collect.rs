//! Collects the answers of several zones and joins them into one.

use std::{
    fmt::Write as _,
    sync::{Mutex, PoisonError},
};

use bronzespoke_language::answer;
use bronzespoke_model::id;
use tokio::sync::oneshot;

use crate::peer::wire;

/// Answers of zones received so far.
#[derive(Debug)]
pub struct Collector {
    waiting: usize,
    joined: Option<answer::Answer>,
    unreachable: Vec<id::AvailabilityZoneId>,
    reply: Option<oneshot::Sender<answer::Answer>>,
}

impl Collector {
    /// Returns a collector that waits for the replies of `waiting` zones.
    pub const fn new(waiting: usize, reply: oneshot::Sender<answer::Answer>) -> Self {
        Self {
            waiting,
            joined: None,
            unreachable: Vec::new(),
            reply: Some(reply),
        }
    }

    fn join(&mut self, zone: id::AvailabilityZoneId, reply: &wire::Reply) {
        let answer = match reply {
            wire::Reply::Answer(bytes) => serde_json::from_slice(bytes).ok(),
            _ => None,
        };
        let Some(answer) = answer else {
            self.unreachable.push(zone);
            return;
        };
        match (&mut self.joined, answer) {
            (Some(answer::Answer::Table(all)), answer::Answer::Table(table)) => {
                for row in table.rows {
                    all.push(row);
                }
                all.omitted += table.omitted;
            }
            (joined, answer) => *joined = Some(answer),
        }
    }

    fn finish(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let answer = match self.joined.take() {
            Some(answer::Answer::Table(mut table)) => {
                for (position, zone) in self.unreachable.iter().enumerate() {
                    let separator = if position == 0 {
                        ", unreachable zones: "
                    } else {
                        ", "
                    };
                    write!(table.title, "{separator}{zone}").expect("writing to a string does not fail");
                }
                answer::Answer::Table(table)
            }
            Some(answer) => answer,
            None => answer::Answer::error(answer::Code::Unavailable, "no zone leader can be reached"),
        };
        // The operator may have disconnected.
        drop(reply.send(answer));
    }
}

/// Adds the reply of one zone; after the last one, the joined answer is sent.
pub fn add(collector: &Mutex<Collector>, zone: id::AvailabilityZoneId, reply: wire::Reply) {
    let mut collector = collector.lock().unwrap_or_else(PoisonError::into_inner);
    collector.join(zone, &reply);
    drop(reply);
    collector.waiting = collector.waiting.saturating_sub(1);
    if collector.waiting == 0 {
        collector.finish();
    }
}
