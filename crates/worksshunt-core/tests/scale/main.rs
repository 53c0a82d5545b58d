//! Scenarios of four thousand machines on virtual time, with all invariants checked. Each takes 5 to 20 s of one
//! processor, so they are few.

mod completions;
mod fixtures;
mod key_value_store;
mod loss;
mod restart;
mod start;
