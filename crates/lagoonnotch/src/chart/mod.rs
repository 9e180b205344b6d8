//! State charts, read from `charts/*.json` and interpreted.

mod state_chart;

pub use state_chart::StateChart;
