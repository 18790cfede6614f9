//! What a leader knows about one member.

use std::collections::VecDeque;
use std::time::Duration;

use crate::snapshot;

/// How entries are sent to a member.
#[derive(Debug)]
pub(crate) enum Mode {
    /// Heartbeats look for the place where the logs agree; no entries are sent.
    Probe,
    /// Entries are sent ahead of the answers.
    Pipeline,
    /// A snapshot is sent, one chunk at a time.
    Snapshot(Transfer),
}

/// A snapshot transfer. It ends with the snapshot that it began with, even if a newer one exists.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: snapshot::Snapshot,
    pub(crate) label: snapshot::Label,
    pub(crate) offset: u64,
    /// When bytes at this offset were sent, in microseconds.
    pub(crate) data_sent: Option<u64>,
}

/// What a leader knows about one member.
///
/// Invariant: `matched < next`, and `matched` goes back within a term only when the member lost the end of its log.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) matched: u64,
    pub(crate) next: u64,
    pub(crate) mode: Mode,
    /// Last index and bytes of each unanswered message with entries.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    /// When the last message was sent.
    pub(crate) sent_at: Duration,
    /// When the newest answered message was sent.
    pub(crate) acked: Option<Duration>,
    /// When probing last began, in microseconds; refusals of older messages tell nothing new.
    pub(crate) probed_at: u64,
    /// Token of the newest answer.
    pub(crate) token: u32,
    /// Last index of the leader when the current catch-up round began, and that time.
    round: (u64, Duration),
    /// When the last short catch-up round ended.
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

    /// Notes an answer to a message that was sent at a time.
    pub(crate) fn record_ack(&mut self, sent: Duration, now: Duration) {
        self.acked = self.acked.max(Some(sent.min(now)));
    }

    /// Notes that the logs agree up to an index.
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

    /// Notes a refusal of a message that was sent since probing last began.
    pub(crate) fn record_rejection(&mut self, previous: u64, hint: u64, now: Duration) {
        // A member that still held what it acknowledged would have accepted a probe at `matched`, so it restarted
        // without the end of its log. Outside probing, the message may have overtaken the entries before it.
        if matches!(self.mode, Mode::Probe) && previous <= self.matched {
            self.matched = self.matched.min(hint);
        }
        self.start_probe(previous.min(hint + 1), now);
    }

    /// Goes back to probing from an index.
    pub(crate) fn start_probe(&mut self, next: u64, now: Duration) {
        self.mode = Mode::Probe;
        self.probed_at = now.as_micros() as u64;
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Tells whether the member held the log of at most one election timeout ago, that recently.
    pub(crate) fn is_caught_up(&self, now: Duration, limit: Duration) -> bool {
        self.caught_up.is_some_and(|at| now <= at + limit)
    }
}
