//! What membership costs a node, and what it would cost at full size.

mod control_cost;
mod control_measurement;
mod crowd;
mod full_size;
mod overlay_shape;
mod partial_table;
mod table_cost;

pub(super) use control_measurement::ControlMeasurement;
