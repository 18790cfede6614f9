//! Scheduling decisions: placement, fair share, limits, gangs, preemption, leases and worker health.
