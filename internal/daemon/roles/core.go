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

// Acts is a core's part in acts on an outside system.
type Acts struct {
	Settings exclusive.PerformerSettings
	// Perform performs an act; see effects.ActExecutor.
	Perform func(ctx context.Context, permit exclusive.Permit) exclusive.Result
}

// NewCore puts a core daemon together from what its data folder holds; acts is nil where it performs none.
// It waits until the disk takes writes; the error is one of a folder that can't be read. The core is read
// within Loop.WithMachine only.
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

// enableActs has a core perform acts. Each start of the process is another holder.
func enableActs(d *host.Daemon, core *machines.Core, acts *Acts) {
	instance := fmt.Sprintf("%s/%d", d.Identity.ID, d.Identity.Incarnation)
	core.EnablePerformer(exclusive.Holder{Name: d.Common.Name, Instance: instance}, acts.Settings)
	executor := &effects.ActExecutor{Notify: d.Loop.Notify, Now: d.Loop.Now, Perform: acts.Perform}
	d.Loop.SetExecutor(executor.Execute)
}

// coreNotReadyReason tells why a core is not ready; "" when it is.
func coreNotReadyReason(loop *eventloop.Loop, core *controlplane.Core) (reason string) {
	if fault := loop.DiskFault(); fault != "" {
		return fault
	}
	loop.WithMachine(func(clock.Micros) {
		if core.Vote().Committed.IsZero() {
			reason = "the cores have not founded the cluster yet"
		}
	})
	return reason
}
