package program

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/roles"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/settings"
)

// storeDrainTimeout is how long a stopping store waits for other stores to take over its
// shards.
const storeDrainTimeout = 7 * clock.Second

// Store is the program of a store daemon, which stores batches and runs their items
// (DESIGN §6).
type Store struct {
	// Prepare, if not nil, is called with the assembled role.
	Prepare  func(store *roles.Store, dataDir string)
	settings batchstore.Settings
	disabled mechanism.Set
	maxItems int64
}

// NewStore returns a store with the default settings.
func NewStore() *Store { return &Store{settings: batchstore.Defaults()} }

// Name returns the name of the program.
func (*Store) Name() string { return "store" }

// Kind returns the kind of a store.
func (*Store) Kind() string { return membership.Store }

// NeedsDisk returns true: a store stores batches.
func (*Store) NeedsDisk() bool { return true }

// AddSettings adds the settings of a store to reader.
func (s *Store) AddSettings(reader *settings.Reader, _ *settings.Common) {
	s.maxItems = int64(s.settings.MaxItems)
	reader.Int(&s.maxItems, "most-items", s.maxItems, 1, 10_000_000, "items of batches that may wait here; more are rejected")
	reader.Int(&s.settings.RetainFinished, "keep-done-us", s.settings.RetainFinished, 60_000_000, 365*86_400_000_000, "microseconds for which a finished batch stays readable")
	addDisable(reader, &s.disabled)
}

// Assemble adds the parts of a store to the daemon.
func (s *Store) Assemble(daemon *host.Daemon) error {
	s.settings.MaxItems = int(s.maxItems)
	store, err := roles.NewStore(daemon, s.settings)
	if err != nil {
		return err
	}
	store.Scheduler.AdjustSettings(func(settings *scheduler.Settings) { settings.Disabled = s.disabled })
	if s.Prepare != nil {
		s.Prepare(store, daemon.Common.DataDir)
	}
	daemon.OnDrain(func() { DrainStore(daemon, store, storeDrainTimeout) })
	return nil
}

// DrainStore makes a store hand its shards over to other stores, and waits until it owns none,
// for at most timeout.
func DrainStore(daemon *host.Daemon, store *roles.Store, timeout clock.Micros) {
	daemon.Loop.Notify(batchstore.Drain{})
	host.WaitUntil(timeout, func() (released bool) {
		daemon.Loop.WithMachine(func(clock.Micros) { released = store.Batches.OwnedShards() == 0 })
		return released
	})
}
