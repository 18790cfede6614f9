//! Dense tables with typed indices.
//!
//! Entities refer to each other by small indices. A table reuses the slots of removed entities.

use std::marker::PhantomData;
use std::ops;

/// A typed index into a [`Table`].
pub(crate) trait Index: Copy {
    /// Returns the index of a slot.
    fn new(slot: usize) -> Self;
    /// Returns the slot.
    fn slot(self) -> usize;
}

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub(crate) struct $name(u32);
        impl Index for $name {
            fn new(slot: usize) -> Self {
                Self(slot as u32)
            }
            fn slot(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index! {
    /// Index of a worker.
    Worker,
    /// Index of a job.
    Job,
    /// Index of a team.
    Team,
    /// Index of a run, which is a start of a task under a lease.
    Run,
    /// Index of a lane: waiting jobs of one team with equal requirements.
    Lane,
    /// Index of a class: lanes of all teams with equal requirements.
    Class,
}

/// A table of entities with stable indices.
#[derive(Debug)]
pub(crate) struct Table<I, T> {
    slots: Vec<Option<T>>,
    free: Vec<u32>,
    index: PhantomData<I>,
}

impl<I: Index, T> Table<I, T> {
    /// Returns an empty table.
    pub(crate) const fn new() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            index: PhantomData,
        }
    }

    /// Inserts an entity and returns its index.
    pub(crate) fn insert(&mut self, entity: T) -> I {
        if let Some(slot) = self.free.pop() {
            self.slots[slot as usize] = Some(entity);
            return I::new(slot as usize);
        }
        self.slots.push(Some(entity));
        I::new(self.slots.len() - 1)
    }

    /// Removes and returns an entity.
    pub(crate) fn remove(&mut self, index: I) -> T {
        let entity = self.slots[index.slot()].take().expect("the slot is in use");
        self.free.push(index.slot() as u32);
        entity
    }

    /// Returns an entity if the slot is in use.
    pub(crate) fn get(&self, index: I) -> Option<&T> {
        self.slots.get(index.slot()).and_then(Option::as_ref)
    }

    /// Returns a mutable reference to an entity if the slot is in use.
    pub(crate) fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.slots.get_mut(index.slot()).and_then(Option::as_mut)
    }

    /// Returns the number of entities.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns the number of slots, including unused ones.
    pub(crate) fn slots(&self) -> usize {
        self.slots.len()
    }

    /// Iterates over all entities in slot order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(slot, entity)| entity.as_ref().map(|entity| (I::new(slot), entity)))
    }
}

impl<I: Index, T> ops::Index<I> for Table<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        self.slots[index.slot()].as_ref().expect("the slot is in use")
    }
}

impl<I: Index, T> ops::IndexMut<I> for Table<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        self.slots[index.slot()].as_mut().expect("the slot is in use")
    }
}
