//! Commands on their way into a log entry.
//!
//! Each entry costs frames to every member, their answers and a write to disk, so that commands are collected. This
//! happens before the log: only the proposer knows which commands are urgent, and the log would still carry an entry
//! for each command. Isolated commands are proposed at once. When commands keep coming, those that nobody waits for
//! share about [`ROUTINE_DELAY`] of time.

use std::time::Duration;

use crate::envelope;

/// Longest wait of a prompt command.
pub const PROMPT_DELAY: Duration = Duration::from_millis(2);

/// Longest wait of a routine command, and time between two batches of them under load. Ten entries a second take
/// about a third of the bytes of an entry for each of 300 commands.
pub const ROUTINE_DELAY: Duration = Duration::from_millis(100);

/// Batches of routine commands that are proposed at once before collection begins. It is refilled at one in
/// [`ROUTINE_DELAY`].
const BURST: u32 = 8;

/// Commands with which a batch is due at once.
pub const MAX_COMMANDS: usize = 1_024;

/// How long a command may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At most [`PROMPT_DELAY`]: urgent work, and commands that somebody waits for.
    Prompt,
    /// At most [`ROUTINE_DELAY`].
    Routine,
}

/// Commands in the order in which they are proposed, each with who waits for it.
#[derive(Debug)]
pub struct Batch<C, W> {
    commands: Vec<envelope::Envelope<C>>,
    waiters: Vec<W>,
    due: Option<Duration>,
    /// Time up to which the batches that were taken use the rate; at most [`BURST`] intervals ahead of the last one.
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
    /// Adds a command.
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

    /// Time at which the commands are proposed; `None` when there are none.
    pub const fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Takes all commands with those who wait for them.
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

    /// Drops the commands whose waiters do not match.
    pub fn retain(&mut self, keep: impl Fn(&W) -> bool) {
        let commands = std::mem::take(&mut self.commands).into_iter();
        let waiters = std::mem::take(&mut self.waiters).into_iter();
        (self.commands, self.waiters) = commands.zip(waiters).filter(|(_, waiter)| keep(waiter)).unzip();
        if self.commands.is_empty() {
            self.due = None;
        }
    }
}
