//! The operators' command line, the demo and the report.
