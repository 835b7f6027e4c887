package roles

import (
	"context"
	"fmt"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/daemon/effects"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// Acts configures how a core performs acts on an external system (package exclusive).
type Acts struct {
	Settings exclusive.PerformerSettings
	// Perform performs an act; see effects.ActExecutor.
	Perform func(ctx context.Context, permit exclusive.Permit) exclusive.Result
}

// NewCore makes a core daemon from the contents of its data folder; acts is nil if the core performs no
// acts. It blocks until the disk accepts writes, and returns an error if the folder can't be read. The
// returned core must only be read within Loop.WithMachine.
func NewCore(d *host.Daemon, settings controlplane.Settings, acts *Acts) (*controlplane.Core, error) {
	var folder *storage.Folder
	var records []machine.Record
	err := eventloop.WaitForDisk(d.Log, time.Sleep, func() (err error) {
		folder, records, err = eventloop.OpenRecords(d.Common.DataDir)
		return err
	})
	if err != nil {
		return nil, err
	}
	if settings.CheckConfiguration == nil {
		settings.CheckConfiguration = config.Validate
	}
	self := election.CoreRef{ID: d.Identity.ID, Peer: d.Common.Peer, Zone: d.Common.Zone}
	core := controlplane.New(self, d.Identity.Incarnation, d.Common.Seeds, settings, records)
	if core.BadRecord != nil {
		return nil, core.BadRecord
	}
	coreMachine := machines.NewCore(core)
	if acts != nil {
		enableActs(d, coreMachine, acts)
	}
	d.Loop.SetMachine(coreMachine, folder)
	d.Admin.Ready = func() string { return coreNotReadyReason(d.Loop, core) }
	d.Admin.Metrics.Register(metrics.NewModule(coreMetrics, func() coreSample { return sampleCore(d.Loop, core) }))
	return core, nil
}

// enableActs lets a core perform acts. Each start of the process counts as a holder of its own.
func enableActs(d *host.Daemon, core *machines.Core, acts *Acts) {
	instance := fmt.Sprintf("%s/%d", d.Identity.ID, d.Identity.Incarnation)
	core.EnablePerformer(exclusive.Holder{Name: d.Common.Name, Instance: instance}, acts.Settings)
	executor := &effects.ActExecutor{Notify: d.Loop.Notify, Now: d.Loop.Now, Perform: acts.Perform}
	d.Loop.SetExecutor(executor.Execute)
}

// coreNotReadyReason returns why a core is not ready, or "" if it is ready.
func coreNotReadyReason(loop *eventloop.Loop, core *controlplane.Core) (reason string) {
	if fault := loop.DiskFault(); fault != "" {
		return fault
	}
	loop.WithMachine(func(clock.Micros) {
		if core.Vote().Committed.IsZero() {
			reason = "the cores have not formed the cluster yet"
		}
	})
	return reason
}
