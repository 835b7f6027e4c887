package roles

import (
	"os"
	"time"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/effects"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// Store holds the parts of a store daemon. The state machine must only be read within
// Loop.WithMachine.
type Store struct {
	*machines.Store
	Executor *effects.Executor
	Folder   *storage.Folder
}

// damagedArchiveExitCode is the exit status of a store that can't read a batch from its archive.
const damagedArchiveExitCode = 3

// NewStore makes a store daemon from the contents of its data folder. It blocks until the
// disk accepts writes, and returns an error if the folder can't be read.
func NewStore(d *host.Daemon, settings batchstore.Settings) (*Store, error) {
	data, err := openStoreData(d)
	if err != nil {
		return nil, err
	}
	batches := batchstore.New(batchstore.Self{
		ID:          d.Identity.ID,
		Name:        d.Common.Name,
		Zone:        d.Common.Zone,
		Peer:        d.Common.Peer,
		Incarnation: d.Identity.Incarnation,
	}, settings, data.records, data.archive)
	if batches.BadRecord != nil {
		return nil, batches.BadRecord
	}
	batches.OnDamage = func(err error) {
		logging.Write(d.Log, ArchivedBatchUnreadable{Reason: err.Error(), Remedy: "move the data folder away and start the store with an empty one: the other replicas serve its shards, and it copies the contents back from them"})
		os.Exit(damagedArchiveExitCode)
	}
	store := machines.NewStore(d.Identity.ID, batches, settings.MaxItems, int64(d.Identity.Incarnation))
	store.SetSeeds(d.Common.Seeds)
	executor := effects.New(d.Loop.Now, d.Loop.Notify)
	d.Loop.Archive = data.archive
	d.Loop.SetMachine(store, data.folder)
	d.Loop.SetExecutor(executor.Execute)
	d.SetRequestPath(store.Scheduling, nil, store.Runner.Decisions)
	d.Admin.Ready = func() string { return storeNotReadyReason(d.Loop, batches) }
	d.Admin.Metrics.Register(metrics.NewModule(storeMetrics, func() storeSample { return sampleStore(d.Loop, store) }))
	return &Store{Store: store, Executor: executor, Folder: data.folder}, nil
}

// storeData holds the opened parts of a store's data folder.
type storeData struct {
	folder  *storage.Folder
	records []machine.Record
	archive *storage.Archive
}

func openStoreData(d *host.Daemon) (data storeData, err error) {
	err = eventloop.WaitForDisk(d.Log, time.Sleep, func() (err error) {
		if data.folder, data.records, err = eventloop.OpenRecords(d.Common.DataDir); err != nil {
			return err
		}
		data.archive, err = eventloop.OpenArchive(d.Common.DataDir)
		return err
	})
	return data, err
}

// storeNotReadyReason returns why a store is not ready, or "" if it is ready.
func storeNotReadyReason(loop *eventloop.Loop, batches *batchstore.Store) (reason string) {
	if fault := loop.DiskFault(); fault != "" {
		return fault
	}
	loop.WithMachine(func(clock.Micros) {
		if batches.Writer() == 0 {
			reason = "the primary core has not assigned a writer id to this store yet"
		}
	})
	return reason
}
