//! A plan in progress: commands that a copy of the fleet document accepted.

use crate::commit::Document;
use crate::fleet::{Fleet, FleetCommand};
use crate::ids::VmId;
use crate::map::Set;

/// Commands of a plan and the document as they leave it.
///
/// A VM gets at most one command per plan: the record version that a second command has to name is known only after the
/// plan has been written to the store.
#[derive(Debug)]
pub(crate) struct Draft {
    fleet: Fleet,
    touched: Set<VmId>,
    commands: Vec<FleetCommand>,
}

impl Draft {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        Self { fleet: fleet.clone(), touched: Set::default(), commands: Vec::new() }
    }

    pub(crate) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Adds a command about a VM if the plan hasn't changed the VM yet and the document accepts the command. Returns
    /// whether it was added.
    pub(crate) fn add_for(&mut self, vm: &VmId, command: FleetCommand) -> bool {
        if self.touched.contains(vm) || !self.add(command) {
            return false;
        }
        self.touched.insert(vm.clone());
        true
    }

    /// Adds a command if the document accepts it. Returns whether it was added.
    pub(crate) fn add(&mut self, command: FleetCommand) -> bool {
        if !Fleet::is_change(&self.fleet.apply(&command)) {
            return false;
        }
        self.commands.push(command);
        true
    }

    /// Applies a command to the copy only, for an assumed change that the plan doesn't write.
    pub(crate) fn assume(&mut self, vm: &VmId, command: &FleetCommand) {
        if Fleet::is_change(&self.fleet.apply(command)) {
            self.touched.insert(vm.clone());
        }
    }

    pub(crate) fn is_touched(&self, vm: &VmId) -> bool {
        self.touched.contains(vm)
    }

    pub(crate) fn into_commands(self) -> Vec<FleetCommand> {
        self.commands
    }
}
