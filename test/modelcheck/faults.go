package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
)

// plantedFault is a deliberate bug that the checks must detect.
type plantedFault struct {
	// KeepIdentity makes a wiped process start again under its old identity.
	KeepIdentity bool
	// EarlySync makes a disk report a write as synced before it is.
	EarlySync bool
	// PlantInCore plants a bug in the machine.
	PlantInCore func(core *controlplane.Core)
}

func (f plantedFault) plant(core *controlplane.Core) {
	if f.PlantInCore != nil {
		f.PlantInCore(core)
	}
}

// inject returns a function that injects faults into a core; injectElection injects them into
// its election.
func inject(faults controlplane.InjectedFaults) func(core *controlplane.Core) {
	return func(core *controlplane.Core) { core.InjectFaults(faults) }
}

func injectElection(faults election.InjectedFaults) func(core *controlplane.Core) {
	return inject(controlplane.InjectedFaults{Election: faults})
}

// plantedFaults maps names to planted faults.
var plantedFaults = map[string]plantedFault{
	"wiped-identity-votes": {KeepIdentity: true},
	"one-copy-confirms":    {PlantInCore: func(core *controlplane.Core) { core.Groups().InjectedFaults.SkipReplicas = true }},
	"last-copy-missing":    {PlantInCore: func(core *controlplane.Core) { core.Groups().InjectedFaults.SkipLastReplica = true }},
	"only-copy-removed":    {PlantInCore: func(core *controlplane.Core) { core.Groups().InjectedFaults.SkipSnapshot = true }},
	"lease-without-quorum": {PlantInCore: injectElection(election.InjectedFaults{SkipLease: true})},
	"new-voters-only":      {PlantInCore: injectElection(election.InjectedFaults{SkipOldVoters: true})},
	"empty-member-leads":   {PlantInCore: injectElection(election.InjectedFaults{SkipStateCheck: true})},
	"no-order-table":       {PlantInCore: inject(controlplane.InjectedFaults{SkipRequestTable: true})},
	"synced-too-early":     {EarlySync: true},
}

func (c *Config) fault() plantedFault { return plantedFaults[c.Fault] }

// FaultNames returns the names of the planted faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(plantedFaults)) }

// CheckFaultName returns an error if there is no planted fault with that name; "", for no fault, is
// valid.
func CheckFaultName(name string) error {
	if _, known := plantedFaults[name]; !known && name != "" {
		return fmt.Errorf("unknown fault %q; valid names are %v", name, FaultNames())
	}
	return nil
}
