package controlplane

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
	"tuliprudder/internal/storage"
)

// disk is what a core has written: a snapshot, and the later writes.
type disk struct {
	snapshot []machine.Record
	writes   [][]machine.Record
}

func (b *testCluster) disk(peer string) *disk {
	if b.disks[peer] == nil {
		b.disks[peer] = &disk{}
	}
	return b.disks[peer]
}

// writeTo writes the same files as a daemon.
func (d *disk) writeTo(t *testing.T, folder string) (files int, size int64) {
	t.Helper()
	log, _, err := storage.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if d.snapshot != nil {
		if err := log.Compact(d.snapshot); err != nil {
			t.Fatal(err)
		}
	}
	for _, records := range d.writes {
		if err := log.Write(records); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		info, err := os.Stat(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	return len(entries), size
}

// largeConfiguration returns a document with 30 routes, like those that operators send.
func largeConfiguration(number int) string {
	var routes []string
	for i := 0; i < 30; i++ {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d-%05d","host":"host%d.example","path-prefix":"/part%d/","kind":"stream","deadline-ms":%d,"target-ms":300,"prio":0,"split":[{"svc":"service-a","share":90},{"svc":"service-b","share":10}],"tries":2,"pin":true,"resumable":true,"token-gap-ms":150}`,
			i, number, i%7, i, 2500+number%1000))
	}
	return fmt.Sprintf(`{"ver":%05d,"routes":[%s],"svcs":[{"name":"service-a","max-conns":210},{"name":"service-b","max-conns":210}]}`, 10_000+number, strings.Join(routes, ","))
}

// stateCost is the cost of a number of changes for a core that joins or starts afterwards.
type stateCost struct {
	changes     int
	copyBytes   int           // bytes of state sent to a core that joins the group
	copyChunks  int           // messages with these bytes
	joinedAfter clock.Micros  // simulated time from the loss of a replica
	diskBytes   int64         // bytes on the primary's disk: snapshot and later changes
	diskFiles   int           // files with these bytes
	startedIn   time.Duration // time to read the files and create the core from them
	heap        int64         // heap bytes used by that core
	mapBytes    int           // bytes of the map update to every daemon
}

func (f stateCost) String() string {
	return fmt.Sprintf("%6d changes: copy %7d bytes in %d chunks, complete again after %.2f s; disk %8d bytes in %3d files, start %5.1f ms, heap %5d KB; map %d bytes",
		f.changes, f.copyBytes, f.copyChunks, float64(f.joinedAfter)/float64(clock.Second), f.diskBytes, f.diskFiles, float64(f.startedIn.Microseconds())/1000, f.heap/1024, f.mapBytes)
}

// measureStateCost puts a number of configurations, removes the replica so that another core
// replaces it, and starts a core from the primary's disk.
func measureStateCost(t *testing.T, changes int) stateCost {
	t.Helper()
	b := newTestCluster(smallSettings())
	b.disks = map[string]*disk{}
	bootstrapWithStores(t, b)
	primary := b.primary()
	for n := 1; n <= changes; n++ {
		b.mustAcknowledge(t, primary, putRequest(uint64(n), uint64(n-1), largeConfiguration(n)))
		b.broadcasts, b.replies = nil, map[uint64]machine.Reply{}
	}
	out := stateCost{changes: changes}
	written := b.disk(primary.self.Peer)
	out.joinedAfter = b.replaceReplica(t, primary, &out)
	out.startFromDisk(t, b.starts[primary.self.Peer].nextIncarnation(), primary, written)
	return out
}

// replaceReplica removes the replica and waits until another core is replica.
func (b *testCluster) replaceReplica(t *testing.T, primary *Core, out *stateCost) clock.Micros {
	t.Helper()
	for peer, core := range b.cores {
		if core != primary && core.state.Configured() {
			delete(b.cores, peer)
		}
	}
	b.drop = func(l envelope) bool {
		if chunk, ok := l.body.(replication.SnapshotChunk); ok {
			out.copyChunks++
			for _, part := range chunk.Parts {
				out.copyBytes += len(part)
			}
		}
		return false
	}
	lost := b.now
	for b.now < lost+20*clock.Second {
		b.advance(50 * clock.Millisecond)
		for _, core := range b.cores {
			if core != primary && core.state.Configured() && primary.HoldsLease(b.now) {
				return b.now - lost
			}
		}
	}
	t.Fatal("no other core became replica within 20 s")
	return 0
}

// startFromDisk writes a core's disk to files and starts a core from them.
func (f *stateCost) startFromDisk(t *testing.T, again coreStart, of *Core, written *disk) {
	t.Helper()
	folder := t.TempDir()
	f.diskFiles, f.diskBytes = written.writeTo(t, folder)
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	began := time.Now()
	_, records, err := storage.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	core := again.newCore(records)
	f.startedIn = time.Since(began)
	records = nil
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(written)
	runtime.KeepAlive(of)
	f.heap = int64(after.HeapAlloc) - int64(before.HeapAlloc)
	latest, _ := core.state.Latest()
	if core.BadRecord != nil || f.changes > 0 && latest.Number != uint64(f.changes) {
		t.Fatalf("started with version %d, error %v", latest.Number, core.BadRecord)
	}
	mapUpdate, err := json.Marshal(core.state.Map())
	if err != nil {
		t.Fatal(err)
	}
	f.mapBytes = len(mapUpdate)
}

// collectGarbage frees unreachable memory, so that the heap can be measured.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}

// From 1,000 changes on, neither the state sent to a joining core nor the data on a core's disk
// grows with the number of changes. Run with -v for the figures.
func TestStateSizeDoesNotGrowWithChanges(t *testing.T) {
	var at1000 stateCost
	for _, changes := range []int{10, 100, 1_000, 10_000} {
		if changes > 1_000 && testing.Short() {
			break
		}
		f := measureStateCost(t, changes)
		t.Log(f)
		if changes < 1_000 {
			continue
		}
		if at1000.changes == 0 {
			at1000 = f
		}
		if limit := at1000.copyBytes + at1000.copyBytes/20; f.copyBytes > limit {
			t.Errorf("%d changes: a copy of %d bytes, limit %d", changes, f.copyBytes, limit)
		}
		if f.copyChunks > at1000.copyChunks || f.mapBytes > at1000.mapBytes+16 {
			t.Errorf("%d changes: %d chunks and a map of %d bytes, more than after 1,000 changes", changes, f.copyChunks, f.mapBytes)
		}
		if limit := int64(at1000.copyBytes*2 + 2*compactAfterBytes); f.diskBytes > limit || f.diskFiles > Defaults().CompactAfter+1 {
			t.Errorf("%d changes: %d bytes in %d files on disk, limit %d bytes", changes, f.diskBytes, f.diskFiles, limit)
		}
	}
}
