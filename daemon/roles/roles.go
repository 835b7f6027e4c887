// Package roles puts each kind of daemon together (composition; DESIGN §2): the
// programs and the adapters to other platforms only choose settings and fronts.
package roles

import (
	"os"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/daemon/effects"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/host"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/clock"
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
	edge := machines.NewEdge(l.Who.ID, set, int64(l.Who.Life))
	track := effects.New(l.Porter.Now, l.Porter.Notify)
	l.Porter.SetMachine(edge, nil)
	l.Porter.OnWork(track.Take)
	l.Path(edge.Road, edge.Reader, edge.Book)
	l.Office.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Porter.WithMachine(func(now clock.Micros) {
			out["shares_held"], out["shares_lent"] = edge.Purse.Totals(now)
			out["over_allowance"], out["backlog"], out["assigned"] = edge.Purse.Refused, int64(edge.Dispatch.Backlog()), edge.Dispatch.Assigned
			out["expired"], out["turned_away"] = edge.Dispatch.Expired, edge.Dispatch.TurnedAway
			out["orders_open"], out["reads_waiting"] = int64(edge.Trek.Open()), int64(edge.Reader.Open())
			out["requests_open"], out["requests_passed"], out["requests_refused"] = int64(edge.Ford.Open()), edge.Ford.Passed, edge.Ford.Refused
			out["requests_unknown"], out["requests_sent_again"] = edge.Ford.Unknown, edge.Ford.Again
		})
		return out
	}
	return &Edge{Edge: edge, Executor: track}
}

// Store is a store daemon's parts.
type Store struct {
	*machines.Ledger
	Executor *effects.Executor
	Folder   *storage.Folder
}

// NewStore puts a store daemon together from what its data folder holds.
func NewStore(l *host.Daemon, set store.Settings) (*Store, error) {
	room, records, err := eventloop.OpenRecords(l.Common.Data)
	if err != nil {
		return nil, err
	}
	shelf, err := eventloop.OpenShelf(l.Common.Data)
	if err != nil {
		return nil, err
	}
	l.Porter.Shelf = shelf
	books := store.New(store.Self{ID: l.Who.ID, Name: l.Common.Name, Zone: l.Common.Zone, Peer: l.Common.Peer, Life: l.Who.Life}, set, records, shelf)
	if books.BadRecord != nil {
		return nil, books.BadRecord
	}
	books.Damaged = func(err error) {
		l.Log.Error().Err(err).Msg("a shelved bundle can't be read; ending, so that the pair's other end serves")
		os.Exit(3)
	}
	ledger := machines.NewLedger(l.Who.ID, books, set.MostItems, int64(l.Who.Life))
	ledger.Greet(l.Common.Seeds)
	track := effects.New(l.Porter.Now, l.Porter.Notify)
	l.Porter.SetMachine(ledger, room)
	l.Porter.OnWork(track.Take)
	l.Path(ledger.Road, nil, ledger.Items.Book)
	l.Office.Ready = func() (why string) {
		l.Porter.WithMachine(func(clock.Micros) {
			if books.Writer() == 0 {
				why = "the core has not given this store a writer id yet"
			}
		})
		return why
	}
	l.Office.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Porter.WithMachine(func(now clock.Micros) {
			out["copies_missing"], out["oldest_unannounced_us"] = books.AtRisk(now)
			out["entries_confirmed"], out["reads"] = books.Entries, books.Reads
			out["bundles_shelved"] = books.Shelved
			out["disk_wait_us"] = books.DiskWait(now)
			out["shares_held"], out["shares_lent"] = ledger.Purse.Totals(now)
			out["over_allowance"] = ledger.Purse.Refused
			out["backlog"], out["items_open"] = int64(ledger.Dispatch.Backlog()), int64(ledger.Items.Open())
			out["rows_listed"], out["bundles_enrolled"], out["outcomes_unknown"], out["takeovers"] = books.Listed, books.Enrolled, books.Unknown, books.Takeovers
		})
		return out
	}
	return &Store{Ledger: ledger, Executor: track, Folder: room}, nil
}

// NewCore puts a core daemon together from what its data folder holds.
func NewCore(l *host.Daemon, set control.Settings) (*control.Core, error) {
	room, records, err := eventloop.OpenRecords(l.Common.Data)
	if err != nil {
		return nil, err
	}
	if set.CheckPlan == nil {
		set.CheckPlan = config.Check
	}
	core := control.New(control.CoreRef{ID: l.Who.ID, Peer: l.Common.Peer, Zone: l.Common.Zone}, l.Who.Life, l.Common.Seeds, set, records)
	if core.BadRecord != nil {
		return nil, core.BadRecord
	}
	l.Porter.SetMachine(machines.NewCore(core), room)
	l.Office.Ready = func() (why string) {
		l.Porter.WithMachine(func(clock.Micros) {
			if core.Vote().Done.Epoch == 0 {
				why = "the cores have not founded a fleet yet"
			}
		})
		return why
	}
	l.Office.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Porter.WithMachine(func(clock.Micros) {
			out["core_epoch"], out["core_claims"], out["core_takeovers"], out["core_changes"] = int64(core.Vote().Granted), core.Claims, core.Takeovers, core.Changes
			if core.Serving() {
				out["core_primary"] = 1
				for _, pairing := range core.State().Slots {
					if !pairing.Complete {
						out["slots_with_one_copy"]++
					}
				}
			}
		})
		return out
	}
	return core, nil
}
