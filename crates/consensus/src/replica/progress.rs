//! Replication progress of one member, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use crate::snapshot;

/// Replication mode of a member.
#[derive(Debug)]
pub(crate) enum Mode {
    /// Only heartbeats are sent, to find the position up to which the logs match.
    Probe,
    /// Entries are sent optimistically, without waiting for replies.
    Pipeline,
    /// A snapshot is sent, one chunk at a time.
    Snapshot(Transfer),
}

/// A snapshot transfer. It completes with the snapshot with which it began, even if a newer one exists.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: snapshot::Snapshot,
    pub(crate) label: snapshot::Label,
    pub(crate) offset: u64,
    /// When data at this offset was sent, in microseconds; `None` if it was not sent yet.
    pub(crate) data_sent: Option<u64>,
}

/// Replication progress of one member.
///
/// Invariants: `matched < next`, and `matched` decreases within a term only if the member lost the tail of its log.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest index known to match and to be durable on the member.
    pub(crate) matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    pub(crate) mode: Mode,
    /// Last index and bytes of each unacknowledged message with entries.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    /// When the last message was sent.
    pub(crate) sent_at: Duration,
    /// When the newest acknowledged message was sent.
    pub(crate) acked: Option<Duration>,
    /// When probing last began, in microseconds. Refusals of messages sent before are ignored.
    pub(crate) probed_at: u64,
    /// Token of the newest reply.
    pub(crate) token: u32,
    /// Start of the current catch-up round: last index of the leader, and time.
    round: (u64, Duration),
    /// When the last catch-up round that did not exceed the limit ended.
    caught_up: Option<Duration>,
}

impl Progress {
    pub(crate) fn new(next: u64, mode: Mode, now: Duration) -> Self {
        Self {
            matched: 0,
            next,
            mode,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            sent_at: now,
            acked: None,
            probed_at: 0,
            token: 0,
            round: (next.saturating_sub(1), now),
            caught_up: None,
        }
    }

    pub(crate) fn has_capacity(&self, messages: usize, bytes: usize) -> bool {
        self.in_flight.len() < messages && self.in_flight_bytes < bytes
    }

    pub(crate) fn record_sent(&mut self, last: u64, bytes: usize) {
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
        self.next = last + 1;
    }

    /// Records a reply to a message that was sent at `sent`.
    pub(crate) fn record_ack(&mut self, sent: Duration, now: Duration) {
        self.acked = self.acked.max(Some(sent.min(now)));
    }

    /// Records that the logs match up to an index.
    pub(crate) fn record_match(&mut self, matched: u64, last: u64, now: Duration, round_limit: Duration) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while let Some((_, bytes)) = self.in_flight.pop_front_if(|sent| sent.0 <= matched) {
            self.in_flight_bytes -= bytes;
        }
        if self.matched >= self.round.0 {
            if now.saturating_sub(self.round.1) <= round_limit {
                self.caught_up = Some(now);
            }
            self.round = (last, now);
        }
    }

    /// Records a refusal of a message that was sent since probing last began.
    pub(crate) fn record_rejection(&mut self, previous: u64, hint: u64, now: Duration) {
        // A member that still has the entries that it acknowledged would accept a probe at `matched`. A refusal means
        // that it restarted without the tail of its log. In other modes, the message may have been reordered before
        // the preceding entries.
        if matches!(self.mode, Mode::Probe) && previous <= self.matched {
            self.matched = self.matched.min(hint);
        }
        self.start_probe(previous.min(hint + 1), now);
    }

    /// Switches to probing from an index.
    pub(crate) fn start_probe(&mut self, next: u64, now: Duration) {
        self.mode = Mode::Probe;
        self.probed_at = now.as_micros() as u64;
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Returns whether a catch-up round within the limit ended at most `limit` ago.
    pub(crate) fn is_caught_up(&self, now: Duration, limit: Duration) -> bool {
        self.caught_up.is_some_and(|at| now <= at + limit)
    }
}
