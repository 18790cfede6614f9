//! Batching of commands into log entries.
//!
//! Each entry costs frames to every member, their replies and a disk write, so commands are collected into batches. The
//! proposer does this rather than the log, because only the proposer knows which commands are urgent, and because the
//! log would still have one entry per command. Isolated commands are not collected and wait at most [`PROMPT_DELAY`]. Under sustained load,
//! commands that nobody waits for are collected for about [`ROUTINE_DELAY`].

use std::time::Duration;

use crate::envelope;

/// Maximum delay of a prompt command.
pub const PROMPT_DELAY: Duration = Duration::from_millis(2);

/// Maximum delay of a routine command, and time between batches of them under sustained load. Ten entries per second
/// take about a third of the bytes of 300 entries with one command each.
pub const ROUTINE_DELAY: Duration = Duration::from_millis(100);

/// Number of batches of routine commands that are proposed without collection after an idle period. One is regained
/// every [`ROUTINE_DELAY`].
const BURST: u32 = 8;

/// Number of commands at which a batch becomes due immediately.
pub const MAX_COMMANDS: usize = 1_024;

/// How long a command may wait before it is proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At most [`PROMPT_DELAY`]: urgent work, and commands whose sender waits for the outcome.
    Prompt,
    /// At most [`ROUTINE_DELAY`]: all other commands.
    Routine,
}

/// Pending commands in the order in which they will be proposed, each with the waiter for its outcome.
#[derive(Debug)]
pub struct Batch<C, W> {
    commands: Vec<envelope::Envelope<C>>,
    waiters: Vec<W>,
    due: Option<Duration>,
    /// Time until which the batches already taken use up the permitted rate; at most [`BURST`] intervals after the last
    /// batch.
    charged: Duration,
}

impl<C, W> Default for Batch<C, W> {
    fn default() -> Self {
        Self {
            commands: Vec::new(),
            waiters: Vec::new(),
            due: None,
            charged: Duration::ZERO,
        }
    }
}

impl<C, W> Batch<C, W> {
    /// Appends a command and updates the due time.
    pub fn push(&mut self, now: Duration, command: envelope::Envelope<C>, waiter: W, urgency: Urgency) {
        self.commands.push(command);
        self.waiters.push(waiter);
        let prompt = now + PROMPT_DELAY;
        let due = match urgency {
            _ if self.commands.len() >= MAX_COMMANDS => now,
            Urgency::Prompt => prompt,
            Urgency::Routine => prompt.max(self.charged.saturating_sub(ROUTINE_DELAY * (BURST - 1))),
        };
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Returns the time at which the commands have to be proposed; `None` when there are none.
    pub const fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Removes and returns all commands with their waiters, and charges the batch to the rate.
    pub fn take(&mut self, now: Duration) -> (Vec<envelope::Envelope<C>>, Vec<W>) {
        if !self.commands.is_empty() {
            self.charged = (self.charged.max(now) + ROUTINE_DELAY).min(now + ROUTINE_DELAY * BURST);
        }
        self.due = None;
        (
            std::mem::take(&mut self.commands),
            std::mem::take(&mut self.waiters),
        )
    }

    /// Keeps only the commands for whose waiter `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&W) -> bool) {
        let commands = std::mem::take(&mut self.commands).into_iter();
        let waiters = std::mem::take(&mut self.waiters).into_iter();
        (self.commands, self.waiters) = commands.zip(waiters).filter(|(_, waiter)| keep(waiter)).unzip();
        if self.commands.is_empty() {
            self.due = None;
        }
    }
}
