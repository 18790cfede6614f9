//! Commands that answer only when they are in force everywhere.
//!
//! A change is in force when every VM of the directory reported that it applied the entry. A withdrawn key is in force
//! also when no view from before the withdrawal can be fresh any more, which bounds the wait when a VM is cut off.

use std::time::Duration;

use bronzespoke_gateway::control;
use bronzespoke_language::answer;
use bronzespoke_model::id;
use tokio::sync::oneshot;

use crate::control::Controller;

/// Relative drift between two monotonic clocks.
const DRIFT: f64 = 0.02;
/// Longest wait for other changes; after it the answer names the processes that lag behind.
const LONGEST: Duration = Duration::from_millis(3_500);

/// What has to be so for a command to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Applied by every VM, or no view without it can be fresh.
    Withdrawal,
    /// Applied by every VM.
    Everywhere,
    /// The parts of a team fit its limit.
    Limit(id::TeamId),
}

/// A command that waits to be in force.
#[derive(Debug)]
pub struct Pending {
    /// Index of the entry.
    pub index: u64,
    /// What is waited for.
    pub condition: Condition,
    /// Start of the answer.
    pub text: String,
    /// When the outcome was known here, which is after the commit.
    pub since: Option<Duration>,
    /// Who waits.
    pub reply: oneshot::Sender<answer::Answer>,
}

impl Controller {
    /// Answers the commands that are in force, or have waited long enough.
    pub(super) fn check_effects(&mut self, now: Duration) {
        let mut waiting = std::mem::take(&mut self.pending_effects);
        waiting.retain_mut(|pending| {
            let since = *pending.since.get_or_insert(now);
            !self.complete_effect(now, since, pending)
        });
        self.pending_effects = waiting;
    }

    /// Returns whether the command was answered.
    fn complete_effect(&self, now: Duration, since: Duration, pending: &mut Pending) -> bool {
        let waited = now.saturating_sub(since);
        let ending = if self.is_in_effect(now, waited, pending) {
            log::info!(
                "operator: Entry {} is in force after {} ms.",
                pending.index,
                waited.as_millis()
            );
            // A resend gets the same text, so the time stands in the log only.
            String::from("It is in force everywhere.")
        } else if waited >= LONGEST {
            format!("It is not in force yet in {}.", self.lagging(now, pending.index))
        } else {
            return false;
        };
        let (closed, _receiver) = oneshot::channel();
        let reply = std::mem::replace(&mut pending.reply, closed);
        // The operator may have gone away.
        drop(reply.send(answer::Answer::text(format!("{} {ending}", pending.text))));
        true
    }

    fn is_in_effect(&self, now: Duration, waited: Duration, pending: &Pending) -> bool {
        let members: Vec<_> = self.root.view().vms.keys().copied().collect();
        let applied = self
            .gossip
            .min_applied_index(&members, now)
            .is_some_and(|applied| applied >= pending.index);
        match pending.condition {
            Condition::Withdrawal => {
                applied || waited >= control::Freshness::MAX_KEY_VIEW_AGE.mul_f64(1.0 + DRIFT)
            }
            Condition::Everywhere => applied,
            Condition::Limit(team) => {
                self.root.view().applied >= pending.index && self.root.state().limit_in_force(team)
            }
        }
    }

    /// Names of the VMs that have not reported an index.
    fn lagging(&self, now: Duration, index: u64) -> String {
        let view = self.root.view();
        let behind = view.vms.values().filter(|vm| {
            self.gossip
                .min_applied_index(&[vm.id], now)
                .is_none_or(|applied| applied < index)
        });
        let names: Vec<_> = behind.map(|vm| vm.name.as_str()).collect();
        if names.is_empty() {
            String::from("some zones: parts above the limit are not released")
        } else {
            names.join(", ")
        }
    }
}
