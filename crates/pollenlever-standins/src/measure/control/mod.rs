//! Measures the resources that the control plane (membership and configuration) takes on each node,
//! and estimates them for a fleet of full size.

mod control_cost;
mod control_measurement;
mod full_size;
mod overlay_shape;
mod partial_table;
mod simulated_fleet;
mod table_cost;

pub(super) use control_measurement::ControlMeasurement;
