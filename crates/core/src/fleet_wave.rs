//! Rules of a fleet group for its maintenance wave.

use crate::fleet::{Fleet, Vm};
use crate::ids::{OperatorId, VmId};
use crate::rejection::Rejection;
use crate::units::WallTime;
use crate::wave::{Phase, Wave, WaveId};

impl Fleet {
    /// Checks whether the wave may drain the VM.
    pub(crate) fn check_wave(&self, id: &VmId, vm: &Vm, wave: WaveId) -> Result<(), Rejection> {
        let current = self.find_running_wave(wave)?;
        if let Some(reason) = current.find_stop_reason() {
            return Err(Rejection::CorrelatedFailures { wave, reason });
        }
        if current.taken >= current.most {
            return Err(Rejection::WaveFull { wave });
        }
        if vm.maintained_at > current.cutoff {
            return Err(Rejection::NotInWave { vm: id.clone(), wave });
        }
        // With VMs of one pool in maintenance in two racks, the loss of either rack would take further VMs of the pool.
        let domain = vm.domain();
        let other = self.vms.values().find(|v| v.pool == vm.pool && v.wave().is_some() && v.domain() != domain);
        if let Some(other) = other {
            return Err(Rejection::OtherDomain { pool: vm.pool.clone(), open: other.domain() });
        }
        if current.batch_room(&vm.pool) == 0 {
            return Err(Rejection::BatchFull { pool: vm.pool.clone(), wave });
        }
        Ok(())
    }

    fn find_running_wave(&self, id: WaveId) -> Result<&Wave, Rejection> {
        let wave = self.wave.as_ref().filter(|w| w.id == id).ok_or(Rejection::UnknownWave { wave: id })?;
        match &wave.phase {
            Phase::Running => Ok(wave),
            phase => Err(Rejection::WrongPhase { wave: id, phase: phase.clone() }),
        }
    }

    pub(crate) fn start_wave(
        &mut self,
        replaces: Option<WaveId>,
        cutoff: WallTime,
        most: u32,
        by: &OperatorId,
        at: WallTime,
    ) -> Result<bool, Rejection> {
        if let Some(wave) = &self.wave {
            let replaced = replaces == Some(wave.id) && wave.phase != Phase::Running;
            if !replaced && !matches!(wave.phase, Phase::Finished { .. }) {
                return Err(Rejection::WrongPhase { wave: wave.id, phase: wave.phase.clone() });
            }
        } else if let Some(wave) = replaces {
            return Err(Rejection::UnknownWave { wave });
        }
        self.waves += 1;
        self.latest = self.latest.max(at);
        self.wave = Some(Wave::new(WaveId(self.waves), cutoff, most, by.clone(), at));
        Ok(true)
    }

    pub(crate) fn resume_wave(&mut self, id: WaveId, expect: u32) -> Result<bool, Rejection> {
        match &self.wave {
            Some(wave) if wave.id == id && wave.phase_changes != expect => {
                Err(Rejection::WrongPhase { wave: id, phase: wave.phase.clone() })
            }
            _ => self.set_phase(id, Phase::Running),
        }
    }

    pub(crate) fn set_phase(&mut self, id: WaveId, phase: Phase) -> Result<bool, Rejection> {
        let wave = self.wave.as_mut().filter(|w| w.id == id).ok_or(Rejection::UnknownWave { wave: id })?;
        if wave.phase == phase {
            return Ok(false);
        }
        let allowed = match &phase {
            Phase::Running => matches!(wave.phase, Phase::Paused { .. } | Phase::Stopped { .. }),
            Phase::Paused { .. } => wave.phase == Phase::Running,
            Phase::Stopped { .. } => matches!(wave.phase, Phase::Running | Phase::Paused { .. }),
            Phase::Finished { .. } => wave.phase == Phase::Running && wave.open() == 0,
        };
        if !allowed {
            return Err(Rejection::WrongPhase { wave: id, phase: wave.phase.clone() });
        }
        if phase == Phase::Running {
            wave.failures.clear();
        }
        wave.phase = phase;
        wave.phase_changes += 1;
        Ok(true)
    }
}
