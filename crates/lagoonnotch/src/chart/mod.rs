//! State charts that are defined in `charts/*.json`.

mod state_chart;

pub use state_chart::StateChart;
