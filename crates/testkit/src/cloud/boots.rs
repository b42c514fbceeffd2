//! Boot times of new machines.

use super::CloudModel;
use crate::fleet::{BootModel, NOMINAL_BOOT_MS};
use crate::Ms;
use forkshift_wire::cloud::ProvisionRequest;
use rand::rngs::StdRng;
use rand::Rng;

/// Boot time of a machine that never boots. It is half the maximum, so that adding it to a time
/// does not overflow.
const NEVER_BOOTS_MS: Ms = Ms::MAX / 2;
/// Minimum nominal boot time, in milliseconds, so that the range of drawn times is not empty.
const MIN_BOOT_MS: f64 = 10.0;

/// The boot of one machine.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    /// When the machine was provisioned.
    pub provisioned_at: Ms,
    /// When the machine is up, unless it is deleted before. A time far in the future stands for
    /// never.
    pub up_at: Ms,
}

/// Selects new machines that boot late or never.
#[derive(Clone, Debug)]
pub struct SlowBoots {
    /// Machine type; any if absent.
    pub machine_type: Option<&'static str>,
    /// Zone; any if absent.
    pub zone: Option<&'static str>,
    /// Boot time as a multiple of the nominal boot time of 10 s; never up if absent.
    pub boots: Option<u32>,
}

impl SlowBoots {
    fn applies_to(&self, request: &ProvisionRequest) -> bool {
        self.machine_type
            .is_none_or(|machine_type| machine_type == request.machine_type)
            && self.zone.is_none_or(|zone| zone == request.zone)
    }

    fn boot_ms(&self) -> Ms {
        self.boots
            .map_or(NEVER_BOOTS_MS, |boots| NOMINAL_BOOT_MS * Ms::from(boots))
    }
}

impl CloudModel {
    /// Draws the boot time of a new machine, subject to the active faults.
    pub(super) fn random_boot_ms(
        &self,
        now: Ms,
        request: &ProvisionRequest,
        rng: &mut StdRng,
    ) -> Ms {
        let mut boot_ms = self.random_normal_boot_ms(&request.machine_type, rng);
        if self.fast_boots_until > now {
            boot_ms = rng.random_range(200..2_000);
        }
        match &self.slow_boots {
            Some((until, slow)) if *until > now && slow.applies_to(request) => slow.boot_ms(),
            _ => boot_ms,
        }
    }

    fn random_normal_boot_ms(&self, machine_type: &str, rng: &mut StdRng) -> Ms {
        let around =
            |boot_ms: Ms, rng: &mut StdRng| rng.random_range(boot_ms * 6 / 10..boot_ms * 15 / 10);
        match self.fleet.boots {
            BootModel::Adverse => match rng.random_range(0..20) {
                0 => NEVER_BOOTS_MS,
                1 => 500,
                2 => NOMINAL_BOOT_MS * 4,
                _ => around(NOMINAL_BOOT_MS, rng),
            },
            BootModel::Normal {
                failure_probability: fails,
            } if rng.random_bool(fails) => NEVER_BOOTS_MS,
            BootModel::Normal { .. } => {
                let of_type = self.fleet.machine_type(machine_type);
                let boot_s = of_type.map_or(0.0, |machine_type| machine_type.boot_s);
                around((boot_s * 1000.0).max(MIN_BOOT_MS) as Ms, rng)
            }
        }
    }
}
