//! Workers that restart under their name while the leader decides on their runs, directive by directive.

mod claims;
mod evidence;
mod leader;
mod leases;
mod reports;
