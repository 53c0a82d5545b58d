//! Scenarios of deployments with thousands of machines, simulated on virtual time. Each takes 5 to 20 s of CPU time.

mod completions;
mod fixtures;
mod key_value_store;
mod loss;
mod restart;
mod start;
