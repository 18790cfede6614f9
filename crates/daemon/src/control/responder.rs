//! Who waits for the outcome of a command.

use bronzespoke_consensus::replica;
use bronzespoke_control::zone;
use bronzespoke_model::{id, job};

use crate::{control::context, peer::wire};

/// Continuation of a local call.
pub type Callback = Box<dyn FnOnce(wire::Reply) + Send>;

/// Who gets the answer to a call.
pub enum Responder {
    /// Discard; the outcome is handled when the command is applied.
    Discard,
    /// A call of this process.
    Local(Callback),
    /// A call of another daemon, under its number.
    Remote {
        /// The other daemon.
        to: id::VmId,
        /// Its number for the call.
        number: u64,
    },
    /// Who waits for the cancellation of a job; gets the job as it is afterwards.
    Cancellation(Box<Self>, wire::Job),
}

impl std::fmt::Debug for Responder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Discard => f.write_str("Discard"),
            Self::Local(_) => f.write_str("Local"),
            Self::Remote { to, number } => write!(f, "Remote({to}, {number})"),
            Self::Cancellation(inner, _) => write!(f, "Cancellation({inner:?})"),
        }
    }
}

impl Responder {
    /// Gives the answer.
    pub fn reply(self, context: &context::Context, reply: wire::Reply) {
        match self {
            Self::Discard => {}
            Self::Local(then) => then(reply),
            Self::Remote { to, number } => context.send(to, wire::Body::Reply(number, reply)),
            Self::Cancellation(inner, job) => inner.reply(context, cancelled(job, reply)),
        }
    }

    /// Gives the answer to a command that was not committed, or may not have been.
    pub fn reject(self, context: &context::Context, reason: replica::Rejection) {
        let reply = match reason {
            replica::Rejection::Unknown => wire::Reply::Unknown,
            replica::Rejection::NotLeader { .. } | replica::Rejection::Transferring => wire::Reply::NotLeader,
            other => wire::Reply::NotDone(format!("the log does not take commands now: {other:?}")),
        };
        self.reply(context, reply);
    }
}

/// Returns the answer to a cancellation, given the answer to its command.
fn cancelled(mut job: wire::Job, reply: wire::Reply) -> wire::Reply {
    match reply {
        wire::Reply::Zone(zone::Outcome::Done) => {
            job.state = job::State::Cancelled;
            job.waiting = 0;
            wire::Reply::Job(Some(job))
        }
        // The job ended first; the caller reads how.
        wire::Reply::Zone(zone::Outcome::Refused(refusal)) => {
            wire::Reply::NotDone(format!("the job was not cancelled: {refusal:?}"))
        }
        other => other,
    }
}
