//! Behaviour of the scheduler in a modelled cell.

mod cell;
mod history;
mod scenario;
mod steps;
mod throttle;
