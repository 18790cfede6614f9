//! Behaviour of the scheduler in a simulated cell.

mod cell;
mod history;
mod scenario;
mod steps;
mod throttle;
