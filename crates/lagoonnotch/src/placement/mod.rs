//! Selection of an upstream for a task.

mod capacity_index;
mod naive;

pub use capacity_index::CapacityIndex;
pub use naive::naive_best_fit;
