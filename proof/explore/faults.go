package explore

import (
	"fmt"
	"maps"
	"slices"

	"tuliprudder/core/control"
)

// fault is a mistake planted to show that the checks catch it.
type fault struct {
	// KeepIdentity: a wiped process comes back under its old identity.
	KeepIdentity bool
	// EarlySync: a disk says that a write is synced before it is.
	EarlySync bool
	// Core plants a mistake in the machine.
	Core func(core *control.Core)
}

func (f fault) plant(core *control.Core) {
	if f.Core != nil {
		f.Core(core)
	}
}

// faults are the planted mistakes by name.
var faults = map[string]fault{
	"wiped-identity-votes": {KeepIdentity: true},
	"one-copy-confirms":    {Core: func(core *control.Core) { core.Groups().SkipRemote = true }},
	"last-copy-missing":    {Core: func(core *control.Core) { core.Groups().SkipLast = true }},
	"only-copy-removed":    {Core: func(core *control.Core) { core.Groups().SkipCopy = true }},
	"lease-without-quorum": {Core: func(core *control.Core) { core.SkipLease = true }},
	"new-voters-only":      {Core: func(core *control.Core) { core.SkipOldVoters = true }},
	"empty-member-leads":   {Core: func(core *control.Core) { core.SkipWhole = true }},
	"no-order-table":       {Core: func(core *control.Core) { core.SkipOrderTable = true }},
	"synced-too-early":     {EarlySync: true},
}

func (c *Config) fault() fault { return faults[c.Fault] }

// Faults are the names of the planted mistakes.
func Faults() []string { return slices.Sorted(maps.Keys(faults)) }

// KnownFault tells whether there is a planted mistake of that name; "" is none.
func KnownFault(name string) error {
	if _, known := faults[name]; !known && name != "" {
		return fmt.Errorf("no fault %q: give one of %v", name, Faults())
	}
	return nil
}
