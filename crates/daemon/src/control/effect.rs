//! Commands that are acknowledged only when they are in effect everywhere.
//!
//! A change is in effect when every VM of the directory has reported that it applied the entry. The withdrawal of a key
//! is also in effect when no view from before it can still be fresh, which bounds the wait when a VM is partitioned.

use std::time::Duration;

use bronzespoke_gateway::control;
use bronzespoke_language::answer;
use bronzespoke_model::id;
use tokio::sync::oneshot;

use crate::control::Controller;

/// Maximum relative drift between two monotonic clocks.
const DRIFT: f64 = 0.02;
/// Maximum wait until a command is in effect; after it the answer names the VMs that lag behind.
const TIMEOUT: Duration = Duration::from_millis(3_500);

/// Condition under which a command is in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Applied by every VM, or no view from before the withdrawal can still be fresh.
    Withdrawal,
    /// Applied by every VM.
    Everywhere,
    /// The allotments of a team fit its new limit.
    Limit(id::TeamId),
}

/// A committed command that is not in effect yet.
#[derive(Debug)]
pub struct Pending {
    /// Log index of the command.
    pub index: u64,
    /// Condition to wait for.
    pub condition: Condition,
    /// First part of the answer.
    pub text: String,
    /// When this VM learned that the command is committed; set at the first check.
    pub since: Option<Duration>,
    /// Channel of the answer to the operator.
    pub reply: oneshot::Sender<answer::Answer>,
}

impl Controller {
    /// Answers the commands that are in effect or have reached [`TIMEOUT`].
    pub(super) fn check_effects(&mut self, now: Duration) {
        let mut waiting = std::mem::take(&mut self.pending_effects);
        waiting.retain_mut(|pending| {
            let since = *pending.since.get_or_insert(now);
            !self.complete_effect(now, since, pending)
        });
        self.pending_effects = waiting;
    }

    /// Answers a command if it is in effect or has waited long enough; returns whether it did.
    fn complete_effect(&self, now: Duration, since: Duration, pending: &mut Pending) -> bool {
        let waited = now.saturating_sub(since);
        let ending = if self.is_in_effect(now, waited, pending) {
            log::info!(
                "operator: Entry {} is in effect after {} ms.",
                pending.index,
                waited.as_millis()
            );
            // A resend has to get the same text, so the duration is only logged.
            String::from("It is in force everywhere.")
        } else if waited >= TIMEOUT {
            format!("It is not in force yet in {}.", self.lagging(now, pending.index))
        } else {
            return false;
        };
        let (closed, _receiver) = oneshot::channel();
        let reply = std::mem::replace(&mut pending.reply, closed);
        // The operator may have disconnected.
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

    /// Returns the names of the VMs that have not reported to have applied an index.
    fn lagging(&self, now: Duration, index: u64) -> String {
        let view = self.root.view();
        let lagging = view.vms.values().filter(|vm| {
            self.gossip
                .min_applied_index(&[vm.id], now)
                .is_none_or(|applied| applied < index)
        });
        let names: Vec<_> = lagging.map(|vm| vm.name.as_str()).collect();
        if names.is_empty() {
            String::from("some zones: parts above the limit are not released")
        } else {
            names.join(", ")
        }
    }
}
