// Package roles assembles each kind of daemon (DESIGN §2): the programs and the
// adapters to other platforms only choose settings and listeners.
package roles

import (
	"os"
	"time"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/daemon/effects"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/host"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/storage"
	"tuliprudder/ledger/store"
)

// Edge is an edge daemon's parts.
type Edge struct {
	*machines.Edge
	Executor *effects.Executor
}

// NewEdge puts an edge daemon together.
func NewEdge(l *host.Daemon, set machines.EdgeSettings) *Edge {
	edge := machines.NewEdge(l.Identity.ID, set, int64(l.Identity.Life))
	executor := effects.New(l.Loop.Now, l.Loop.Notify)
	l.Loop.SetMachine(edge, nil)
	l.Loop.OnWork(executor.Take)
	l.ServePath(edge.Scheduling, edge.Reader, edge.Decisions)
	l.Admin.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Loop.WithMachine(func(now clock.Micros) {
			out["shares_held"], out["shares_lent"] = edge.Quota.Totals(now)
			out["over_allowance"], out["backlog"], out["assigned"] = edge.Quota.Refused, int64(edge.Scheduler.Backlog()), edge.Scheduler.Assigned
			out["expired"], out["turned_away"] = edge.Scheduler.Expired, edge.Scheduler.Rejected
			out["orders_open"], out["reads_waiting"] = int64(edge.Requests.Open()), int64(edge.Reader.Open())
			out["requests_open"], out["requests_passed"], out["requests_refused"] = int64(edge.Proxy.Open()), edge.Proxy.Passed, edge.Proxy.Refused
			out["requests_unknown"], out["requests_sent_again"] = edge.Proxy.Unknown, edge.Proxy.Again
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
func NewStore(l *host.Daemon, set store.Settings) (*Store, error) {
	var folder *storage.Folder
	var records []machine.Record
	var shelf *storage.Shelf
	err := eventloop.WaitForDisk(l.Log, time.Sleep, func() (err error) {
		if folder, records, err = eventloop.OpenRecords(l.Common.Data); err == nil {
			shelf, err = eventloop.OpenShelf(l.Common.Data)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	l.Loop.Shelf = shelf
	ledgerState := store.New(store.Self{ID: l.Identity.ID, Name: l.Common.Name, Zone: l.Common.Zone, Peer: l.Common.Peer, Life: l.Identity.Life}, set, records, shelf)
	if ledgerState.BadRecord != nil {
		return nil, ledgerState.BadRecord
	}
	ledgerState.Damaged = func(err error) {
		l.Log.Error().Err(err).Msg("a shelved bundle can't be read; ending, so that the pair's other end serves")
		os.Exit(3)
	}
	ledger := machines.NewStore(l.Identity.ID, ledgerState, set.MostItems, int64(l.Identity.Life))
	ledger.SetSeeds(l.Common.Seeds)
	executor := effects.New(l.Loop.Now, l.Loop.Notify)
	l.Loop.SetMachine(ledger, folder)
	l.Loop.OnWork(executor.Take)
	l.ServePath(ledger.Scheduling, nil, ledger.Items.Decisions)
	l.Admin.Ready = func() (why string) {
		if why := l.Loop.DiskTrouble(); why != "" {
			return why
		}
		l.Loop.WithMachine(func(clock.Micros) {
			if ledgerState.Writer() == 0 {
				why = "the core has not given this store a writer id yet"
			}
		})
		return why
	}
	l.Admin.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Loop.WithMachine(func(now clock.Micros) {
			out["copies_missing"], out["oldest_unannounced_us"] = ledgerState.AtRisk(now)
			out["entries_confirmed"], out["reads"] = ledgerState.Entries, ledgerState.Reads
			out["bundles_shelved"] = ledgerState.Shelved
			out["disk_wait_us"] = ledgerState.DiskWait(now)
			out["shares_held"], out["shares_lent"] = ledger.Quota.Totals(now)
			out["over_allowance"] = ledger.Quota.Refused
			out["backlog"], out["items_open"] = int64(ledger.Scheduler.Backlog()), int64(ledger.Items.Open())
			out["rows_listed"], out["bundles_enrolled"], out["outcomes_unknown"], out["takeovers"] = ledgerState.Listed, ledgerState.Enrolled, ledgerState.Unknown, ledgerState.Takeovers
		})
		return out
	}
	return &Store{Store: ledger, Executor: executor, Folder: folder}, nil
}

// NewCore puts a core daemon together from what its data folder holds.
func NewCore(l *host.Daemon, set control.Settings) (*control.Core, error) {
	var folder *storage.Folder
	var records []machine.Record
	err := eventloop.WaitForDisk(l.Log, time.Sleep, func() (err error) {
		folder, records, err = eventloop.OpenRecords(l.Common.Data)
		return err
	})
	if err != nil {
		return nil, err
	}
	if set.CheckPlan == nil {
		set.CheckPlan = config.Check
	}
	core := control.New(control.CoreRef{ID: l.Identity.ID, Peer: l.Common.Peer, Zone: l.Common.Zone}, l.Identity.Life, l.Common.Seeds, set, records)
	if core.BadRecord != nil {
		return nil, core.BadRecord
	}
	l.Loop.SetMachine(machines.NewCore(core), folder)
	l.Admin.Ready = func() (why string) {
		if why := l.Loop.DiskTrouble(); why != "" {
			return why
		}
		l.Loop.WithMachine(func(clock.Micros) {
			if core.Vote().Committed.Zero() {
				why = "the cores have not founded a fleet yet"
			}
		})
		return why
	}
	l.Admin.Counters = func() map[string]int64 {
		var out map[string]int64
		l.Loop.WithMachine(func(now clock.Micros) { out = core.Counters(now) })
		return out
	}
	return core, nil
}
