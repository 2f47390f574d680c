use super::ClusterSpec;
use crate::relay::Place;

/// Where a machine is to stand and what it serves.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineSlot {
    /// Index of the service.
    pub(super) service: usize,
    /// Number of the target within the service.
    pub(super) index: usize,
    /// Place of the machine.
    pub(super) place: Place,
    /// Number of the machine within the deployment, from 1.
    pub(super) number: u8,
}

impl MachineSlot {
    /// All machines of a deployment; the targets of a service are spread over the places in turn.
    pub(super) fn all(spec: &ClusterSpec) -> Vec<MachineSlot> {
        let places = spec.places();
        let mut slots = Vec::new();
        for (service, it) in spec.services.iter().enumerate() {
            for index in 0..it.targets {
                let place = places[index % places.len()];
                slots.push(MachineSlot { service, index, place, number: slots.len() as u8 + 1 });
            }
        }
        slots
    }
}
