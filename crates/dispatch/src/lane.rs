//! Order in which a leader handles the messages that wait for it.
//!
//! When more messages arrive than a leader can handle, the ones whose delay causes further work have to come first: a
//! report that waits too long costs a worker its lease and its runs, which are then started again. Messages therefore
//! wait in lanes that are served in a fixed order, each in the order of arrival. New work comes last, so that a leader
//! that falls behind takes less of it and recovers. Submissions that have waited too long are to be refused, which takes
//! far less time than to accept them.

use std::{collections::VecDeque, time::Duration};

/// Lane of a message, in the order in which the lanes are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Messages of the consensus group: a late heartbeat costs the leader its lease.
    Group,
    /// Answers of workers and of the eligibility service, and what daemons exchange about them.
    Exchange,
    /// Announcements of workers, calls of operators, and cancellations.
    Control,
    /// Submissions and queries of jobs.
    Work,
}

impl Lane {
    /// All lanes in the order in which they are served.
    pub const ALL: [Self; 4] = [Self::Group, Self::Exchange, Self::Control, Self::Work];

    /// Returns the name of the lane in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Group => "group",
            Self::Exchange => "exchange",
            Self::Control => "control",
            Self::Work => "work",
        }
    }

    /// Returns the maximum number of messages that wait; `None` if their number is bounded by the requests that they
    /// answer, which must not be lost.
    const fn capacity(self) -> Option<usize> {
        match self {
            Self::Exchange => None,
            // Heartbeats of each worker of a large fleet, and a burst of calls.
            Self::Group | Self::Control | Self::Work => Some(4_096),
        }
    }
}

/// A message that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waited<T> {
    /// Lane in which it waited.
    pub lane: Lane,
    /// Time at which it arrived.
    pub since: Duration,
    /// The message.
    pub message: T,
}

/// Messages that wait.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: [VecDeque<(Duration, T)>; Lane::ALL.len()],
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            lanes: [const { VecDeque::new() }; Lane::ALL.len()],
        }
    }
}

impl<T> Queue<T> {
    /// Adds a message that arrives now; returns it if its lane is full.
    pub fn push(&mut self, now: Duration, lane: Lane, message: T) -> Result<(), T> {
        let waiting = &mut self.lanes[lane as usize];
        if lane.capacity().is_some_and(|capacity| waiting.len() >= capacity) {
            return Err(message);
        }
        waiting.push_back((now, message));
        Ok(())
    }

    /// Removes the message to handle next.
    pub fn pop(&mut self) -> Option<Waited<T>> {
        let lane = *Lane::ALL
            .iter()
            .find(|lane| !self.lanes[**lane as usize].is_empty())?;
        let (since, message) = self.lanes[lane as usize].pop_front()?;
        Some(Waited { lane, since, message })
    }

    /// Returns whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Returns the number of messages that wait in a lane.
    pub fn len(&self, lane: Lane) -> usize {
        self.lanes[lane as usize].len()
    }
}
