// Package roles assembles each kind of daemon (DESIGN §2): the programs and the
// adapters to other platforms only choose settings and listeners.
package roles

import (
	"os"
	"time"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/daemon/effects"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// Edge is an edge daemon's parts.
type Edge struct {
	*machines.Edge
	Executor *effects.Executor
}

// NewEdge puts an edge daemon together.
func NewEdge(d *host.Daemon, settings machines.EdgeSettings) *Edge {
	edge := machines.NewEdge(d.Identity.ID, settings, int64(d.Identity.Incarnation))
	executor := effects.New(d.Loop.Now, d.Loop.Notify)
	d.Loop.SetMachine(edge, nil)
	d.Loop.SetExecutor(executor.Execute)
	d.SetRequestPath(edge.Scheduling, edge.Reader, edge.Decisions)
	d.Admin.Counters = func() map[string]int64 {
		out := map[string]int64{}
		d.Loop.WithMachine(func(now clock.Micros) {
			out["shares_held"], out["shares_lent"] = edge.Quota.Totals(now)
			out["over_allowance"], out["backlog"], out["assigned"] = edge.Quota.Rejected, int64(edge.Scheduler.QueueLength()), edge.Scheduler.Assigned
			out["expired"], out["turned_away"] = edge.Scheduler.DeadlineExceeded, edge.Scheduler.Rejected
			out["orders_open"], out["reads_waiting"] = int64(edge.Requests.InFlight()), int64(edge.Reader.Pending())
			out["requests_open"], out["requests_passed"], out["requests_refused"] = int64(edge.Proxy.InFlight()), edge.Proxy.Forwarded, edge.Proxy.Rejected
			out["requests_unknown"], out["requests_sent_again"] = edge.Proxy.UnknownOutcomes, edge.Proxy.Retries
		})
		return out
	}
	return &Edge{Edge: edge, Executor: executor}
}

// Store is a store daemon's parts.
type Store struct {
	*machines.Store
	Executor *effects.Executor
	Folder   *storage.Folder
}

// NewStore puts a store daemon together from what its data folder holds.
func NewStore(d *host.Daemon, settings batchstore.Settings) (*Store, error) {
	var folder *storage.Folder
	var records []machine.Record
	var archive *storage.Archive
	err := eventloop.WaitForDisk(d.Log, time.Sleep, func() (err error) {
		if folder, records, err = eventloop.OpenRecords(d.Common.DataDir); err == nil {
			archive, err = eventloop.OpenArchive(d.Common.DataDir)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	d.Loop.Archive = archive
	ledger := batchstore.New(batchstore.Self{ID: d.Identity.ID, Name: d.Common.Name, Zone: d.Common.Zone, Peer: d.Common.Peer, Incarnation: d.Identity.Incarnation}, settings, records, archive)
	if ledger.BadRecord != nil {
		return nil, ledger.BadRecord
	}
	ledger.OnDamage = func(err error) {
		d.Log.Error().Err(err).Msg("a shelved bundle can't be read; ending, so that the pair's other end serves")
		os.Exit(3)
	}
	storeMachine := machines.NewStore(d.Identity.ID, ledger, settings.MaxItems, int64(d.Identity.Incarnation))
	storeMachine.SetSeeds(d.Common.Seeds)
	executor := effects.New(d.Loop.Now, d.Loop.Notify)
	d.Loop.SetMachine(storeMachine, folder)
	d.Loop.SetExecutor(executor.Execute)
	d.SetRequestPath(storeMachine.Scheduling, nil, storeMachine.Runner.Decisions)
	d.Admin.Ready = func() (reason string) {
		if reason := d.Loop.DiskFault(); reason != "" {
			return reason
		}
		d.Loop.WithMachine(func(clock.Micros) {
			if ledger.Writer() == 0 {
				reason = "the core has not given this store a writer id yet"
			}
		})
		return reason
	}
	d.Admin.Counters = func() map[string]int64 {
		out := map[string]int64{}
		d.Loop.WithMachine(func(now clock.Micros) {
			out["copies_missing"], out["oldest_unannounced_us"] = ledger.UnderReplicated(now)
			out["entries_confirmed"], out["reads"] = ledger.EntriesConfirmed, ledger.Reads
			out["bundles_shelved"] = ledger.BatchesArchived
			out["disk_wait_us"] = ledger.OldestWrite(now)
			out["shares_held"], out["shares_lent"] = storeMachine.Quota.Totals(now)
			out["over_allowance"] = storeMachine.Quota.Rejected
			out["backlog"], out["items_open"] = int64(storeMachine.Scheduler.QueueLength()), int64(storeMachine.Runner.Pending())
			out["rows_listed"], out["bundles_enrolled"], out["outcomes_unknown"], out["takeovers"] = ledger.ResultsListed, ledger.BatchesSubmitted, ledger.UnknownOutcomes, ledger.Takeovers
		})
		return out
	}
	return &Store{Store: storeMachine, Executor: executor, Folder: folder}, nil
}

// NewCore puts a core daemon together from what its data folder holds.
func NewCore(d *host.Daemon, settings controlplane.Settings) (*controlplane.Core, error) {
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
	core := controlplane.New(election.CoreRef{ID: d.Identity.ID, Peer: d.Common.Peer, Zone: d.Common.Zone}, d.Identity.Incarnation, d.Common.Seeds, settings, records)
	if core.BadRecord != nil {
		return nil, core.BadRecord
	}
	d.Loop.SetMachine(machines.NewCore(core), folder)
	d.Admin.Ready = func() (reason string) {
		if reason := d.Loop.DiskFault(); reason != "" {
			return reason
		}
		d.Loop.WithMachine(func(clock.Micros) {
			if core.Vote().Committed.IsZero() {
				reason = "the cores have not founded a fleet yet"
			}
		})
		return reason
	}
	d.Admin.Counters = func() map[string]int64 {
		var out map[string]int64
		d.Loop.WithMachine(func(now clock.Micros) { out = core.Counters(now) })
		return out
	}
	return core, nil
}
