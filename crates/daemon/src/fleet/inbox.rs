//! Messages that wait for the control thread.
//!
//! The mailbox of an actor is unbounded and in the order of arrival. Traffic therefore waits here, in lanes, and the
//! mailbox holds at most one wake-up for all of it.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use bronzespoke_clock as clock;
use bronzespoke_dispatch::lane::{self, Lane};
use bronzespoke_workload::call::{self, Call};
use ractor::ActorRef;

use crate::{
    fleet::{Message, wire},
    peer,
};

/// Queue to the control thread; clones share it.
#[derive(Debug, Clone)]
pub struct Inbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    origin: clock::Origin,
    actor: OnceLock<ActorRef<Message>>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    waiting: lane::Queue<Traffic>,
    /// Whether a wake-up is in the mailbox, or being handled.
    woken: bool,
    closed: bool,
}

/// A message that waits in a lane.
#[derive(Debug)]
pub enum Traffic {
    /// A frame from another daemon.
    Frame(Box<peer::wire::Frame>),
    /// Any other message.
    Message(Box<Message>),
}

impl Traffic {
    /// Returns the lane in which the message waits.
    pub fn lane(&self) -> Lane {
        match self {
            Self::Frame(frame) => match &frame.body {
                peer::wire::Body::Consensus(..) => Lane::Group,
                peer::wire::Body::Fleet(wire::Message::Request { call, .. }) => of_call(call),
                _ => Lane::Exchange,
            },
            Self::Message(message) => match message.as_ref() {
                Message::Call { call, .. } => of_call(call),
                _ => Lane::Exchange,
            },
        }
    }
}

const fn of_call(call: &Call) -> Lane {
    match call {
        Call::Job(job) => match job.action {
            call::Action::Cancel(_) => Lane::Control,
            call::Action::Submit(..) | call::Action::Show(_) | call::Action::CountPending => Lane::Work,
        },
        Call::Configure { .. }
        | Call::ShowConfiguration
        | Call::Announce(_)
        | Call::Leave { .. }
        | Call::Evacuate { .. } => Lane::Control,
    }
}

impl Inbox {
    /// Returns an empty queue. Messages may be added before an actor is attached.
    pub fn new(origin: clock::Origin) -> Self {
        Self {
            shared: Arc::new(Shared {
                origin,
                actor: OnceLock::new(),
                state: Mutex::default(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the actor that handles the messages, and wakes it.
    pub fn attach(&self, actor: ActorRef<Message>) {
        if self.shared.actor.set(actor).is_err() {
            log::error!("event=second_control_thread");
        }
        self.lock().woken = true;
        self.wake();
    }

    /// Adds a message; returns it if its lane is full or the control thread has ended.
    pub fn send(&self, traffic: Traffic) -> Result<(), Traffic> {
        let now = self.shared.origin.elapsed();
        let lane = traffic.lane();
        let mut state = self.lock();
        if state.closed {
            return Err(traffic);
        }
        state.waiting.push(now, lane, traffic)?;
        let was_woken = std::mem::replace(&mut state.woken, true);
        drop(state);
        if !was_woken {
            self.wake();
        }
        Ok(())
    }

    /// Removes the message to handle next. After `None`, the next message wakes the actor.
    pub fn pop(&self) -> Option<lane::Waited<Traffic>> {
        let mut state = self.lock();
        let waited = state.waiting.pop();
        state.woken = waited.is_some();
        waited
    }

    /// Sends a wake-up to the actor.
    pub fn wake(&self) {
        let Some(actor) = self.shared.actor.get() else {
            return;
        };
        if actor.send_message(Message::Wake).is_err() {
            self.lock().closed = true;
        }
    }

    /// Returns the number of messages that wait in each lane.
    pub fn lengths(&self) -> [usize; Lane::ALL.len()] {
        let state = self.lock();
        Lane::ALL.map(|lane| state.waiting.len(lane))
    }
}

/// Work of the control thread in each lane.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    lanes: [LaneLoad; Lane::ALL.len()],
}

/// Work of the control thread in one lane.
#[derive(Debug, Clone, Copy, Default)]
pub struct LaneLoad {
    /// Messages that were handled.
    pub handled: u64,
    /// Time that handling them took.
    pub busy: Duration,
    /// Longest time that one of them had waited.
    pub longest_wait: Duration,
}

impl Load {
    /// Records a message that was handled.
    pub fn record(&mut self, lane: Lane, waited: Duration, took: Duration) {
        let load = &mut self.lanes[lane as usize];
        load.handled += 1;
        load.busy += took;
        load.longest_wait = load.longest_wait.max(waited);
    }

    /// Returns the work in a lane.
    pub const fn lane(&self, lane: Lane) -> &LaneLoad {
        &self.lanes[lane as usize]
    }
}
