//! Receivers of the outcome of a command.

use bronzespoke_consensus::replica;
use bronzespoke_control::zone;
use bronzespoke_model::{id, job};

use crate::{control::context, peer::wire};

/// Callback that receives the reply to a local request.
pub type Callback = Box<dyn FnOnce(wire::Reply) + Send>;

/// Receiver of the reply to a request.
pub enum Responder {
    /// No receiver; the outcome is handled when the command is applied.
    Discard,
    /// A request of this process.
    Local(Callback),
    /// A request of another daemon.
    Remote {
        /// VM of the other daemon.
        to: id::VmId,
        /// Number that the other daemon assigned to the request.
        number: u64,
    },
    /// Receiver of the reply to a cancellation, and the job before it; the reply shows the job as it is afterwards.
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
    /// Sends the reply.
    pub fn reply(self, context: &context::Context, reply: wire::Reply) {
        match self {
            Self::Discard => {}
            Self::Local(then) => then(reply),
            Self::Remote { to, number } => context.send(to, wire::Body::Reply(number, reply)),
            Self::Cancellation(inner, job) => inner.reply(context, cancelled(job, reply)),
        }
    }

    /// Sends the reply to a command that was not committed, or may not have been.
    pub fn reject(self, context: &context::Context, reason: replica::Rejection) {
        let reply = match reason {
            replica::Rejection::Unknown => wire::Reply::Unknown,
            replica::Rejection::NotLeader { .. } | replica::Rejection::Transferring => wire::Reply::NotLeader,
            other => wire::Reply::NotDone(format!("the log does not take commands now: {other:?}")),
        };
        self.reply(context, reply);
    }
}

/// Converts the reply to the command of a cancellation into the reply to the cancellation.
fn cancelled(mut job: wire::Job, reply: wire::Reply) -> wire::Reply {
    match reply {
        wire::Reply::Zone(zone::Outcome::Done) => {
            job.state = job::State::Cancelled;
            job.waiting = 0;
            wire::Reply::Job(Some(job))
        }
        // The job had already ended; the caller learns its state from the refusal.
        wire::Reply::Zone(zone::Outcome::Refused(refusal)) => {
            wire::Reply::NotDone(format!("the job was not cancelled: {refusal:?}"))
        }
        other => other,
    }
}
