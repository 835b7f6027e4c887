package eventloop

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// scriptedDisk writes down what it took, and fails as it is told to.
type scriptedDisk struct {
	log  []string
	fail func(operation string) error
}

func (s *scriptedDisk) perform(operation string) error {
	if s.fail != nil {
		if err := s.fail(operation); err != nil {
			s.log = append(s.log, operation+" refused")
			return err
		}
	}
	s.log = append(s.log, operation)
	return nil
}

func units(records []machine.Record) (out string) {
	for _, record := range records {
		out += " " + record.Unit
	}
	return out
}

func (s *scriptedDisk) Write(records []machine.Record) error {
	return s.perform("write" + units(records))
}
func (s *scriptedDisk) Compact(records []machine.Record) error {
	return s.perform("fold" + units(records))
}
func (s *scriptedDisk) Put(file uint64, _ []machine.Record, _ *storage.Folder) error {
	return s.perform(fmt.Sprint("put ", file))
}
func (s *scriptedDisk) Delete(files []uint64) { _ = s.perform(fmt.Sprint("drop ", files)) }

// recorder is a machine that writes down what it is told of its disk.
type recorder struct{ calls []string }

func (r *recorder) Message(string, any, clock.Micros) []machine.Effect              { return nil }
func (r *recorder) UpdateReceived(machine.Update, clock.Micros) []machine.Effect    { return nil }
func (r *recorder) Call(uint64, any, clock.Micros) []machine.Effect                 { return nil }
func (r *recorder) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }
func (r *recorder) FreshnessAdvanced(clock.Micros, clock.Micros) []machine.Effect   { return nil }
func (r *recorder) Tick(clock.Micros) []machine.Effect                              { return nil }
func (r *recorder) Persisted(token uint64, _ clock.Micros) []machine.Effect {
	r.calls = append(r.calls, fmt.Sprint("stored ", token))
	return nil
}
func (r *recorder) DiskStateChanged(state machine.DiskState, _ clock.Micros) []machine.Effect {
	r.calls = append(r.calls, fmt.Sprintf("writable %v", state.Writable))
	return nil
}
func (r *recorder) CompactAgain(clock.Micros) []machine.Effect {
	r.calls = append(r.calls, "fold again")
	return nil
}

// diskFixture is a disk thread that is run by hand, in virtual time.
type diskFixture struct {
	*diskWriter
	disk    *scriptedDisk
	machine *recorder
	time    clock.Micros
	pauses  []time.Duration
	onPause func(count int) bool
}

func newDiskFixture() *diskFixture {
	f := &diskFixture{disk: &scriptedDisk{}, machine: &recorder{}, time: clock.Second}
	f.diskWriter = &diskWriter{queue: newDiskQueue(100, 1000), folder: f.disk, archive: f.disk, wake: func() {},
		now: func() clock.Micros { return f.time },
		pause: func(delay time.Duration) bool {
			f.pauses = append(f.pauses, delay)
			f.time += delay.Microseconds()
			return f.onPause == nil || f.onPause(len(f.pauses))
		}}
	return f
}

// takeReports has the thread looked at and the machine told, and gives what it was told.
func (f *diskFixture) takeReports() []string {
	f.diskWriter.reportChanges(f.time)
	f.machine.calls = nil
	f.deliverReports(f.machine, f.time)
	return f.machine.calls
}

func persistOf(token uint64) machine.Persist {
	return machine.Persist{Token: token, Records: []machine.Record{{Unit: fmt.Sprint("r", token)}}}
}

func (f *diskFixture) requireEqual(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, not %q", got, want)
	}
}

// A group that the disk turns down is tried again until it is taken, and what is behind
// it stays behind it; nothing is acknowledged before, and the daemon goes on.
func TestAFailedGroupIsRetriedInOrder(t *testing.T) {
	f := newDiskFixture()
	room := false
	f.disk.fail = func(_ string) error {
		if room {
			return nil
		}
		return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
	}
	f.onPause = func(count int) bool {
		switch count {
		case 1:
			f.requireEqual(t, f.takeReports(), "writable false")
			if status := f.health.current(f.time); status.condition != DiskFull || status.reason == "" {
				t.Fatalf("it is %s: %q", status.condition, status.reason)
			}
		case 9:
			room = true
		default:
			f.requireEqual(t, f.takeReports()) // told once
		}
		return true
	}
	if !f.writeAll([]machine.Effect{persistOf(1), persistOf(2), machine.Archive{Token: 3, File: 7}, persistOf(4), machine.DeleteArchive{Files: []uint64{5}}}) {
		t.Fatal("it gave up")
	}
	f.requireEqual(t, f.disk.log[len(f.disk.log)-4:], "write r1 r2", "put 7", "write r4", "drop [5]")
	f.requireEqual(t, f.disk.log[:1], "write r1 r2 refused")
	f.requireEqual(t, f.takeReports(), "stored 1", "stored 2", "stored 3", "stored 4", "writable true")
	if len(f.pauses) != 9 || f.pauses[0] != initialRetryDelay || f.pauses[1] != 2*initialRetryDelay || f.pauses[8] != maxRetryDelay {
		t.Fatalf("it paused %v", f.pauses)
	}
	if _, failed := f.health.stats(f.time); failed != 9 {
		t.Fatalf("%d tries counted as refused", failed)
	}
}

// Another error of a write is no end either, and has its own name.
func TestAFailingDiskIsNamed(t *testing.T) {
	f := newDiskFixture()
	f.disk.fail = func(string) error {
		if len(f.pauses) == 0 {
			return &storage.WriteError{Step: "sync", Err: syscall.EIO}
		}
		return nil
	}
	f.onPause = func(int) bool {
		if condition := f.health.current(f.time).condition; condition != DiskFailing || condition.IsWritable() {
			t.Fatalf("it is %s", condition)
		}
		return true
	}
	if !f.writeAll([]machine.Effect{persistOf(1)}) {
		t.Fatal("it gave up")
	}
	f.requireEqual(t, f.takeReports(), "stored 1")
}

// A daemon that stops does not wait for a full disk, and acknowledges nothing.
func TestADaemonThatStopsLeavesAFullDisk(t *testing.T) {
	f := newDiskFixture()
	f.disk.fail = func(string) error { return errors.New("no") }
	f.onPause = func(count int) bool { return count < 3 }
	f.queue.put(persistOf(1))
	f.queue.put(machine.Archive{Token: 2})
	f.run()
	f.diskWriter.reports.pending.state = nil
	if got := f.takeReports(); slices.Contains(got, "stored 1") || slices.Contains(got, "stored 2") {
		t.Fatalf("told %q", got)
	}
}

// A view that finds no room is given up, and the groups behind it go on; the machine is
// asked for another one later, with pauses that grow.
func TestASnapshotWithoutSpaceIsRequestedLater(t *testing.T) {
	f := newDiskFixture()
	room := false
	f.disk.fail = func(operation string) error {
		if operation == "fold v" && !room {
			return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
		}
		return nil
	}
	compact := machine.Compact{Records: []machine.Record{{Unit: "v"}}}
	for round, wait := range []clock.Micros{initialCompactRetryDelay, 2 * initialCompactRetryDelay, 4 * initialCompactRetryDelay} {
		if !f.writeAll([]machine.Effect{persistOf(1), compact, persistOf(2)}) {
			t.Fatal("it gave up")
		}
		f.requireEqual(t, f.disk.log[len(f.disk.log)-3:], "write r1", "fold v refused", "write r2")
		f.requireEqual(t, f.takeReports(), "stored 1", "stored 2")
		f.time += wait - 1
		f.requireEqual(t, f.takeReports())
		f.time++
		f.requireEqual(t, f.takeReports(), "fold again")
		if int(f.failedCompactions.Load()) != round+1 {
			t.Fatalf("%d given up", f.failedCompactions.Load())
		}
	}
	room = true
	if !f.writeAll([]machine.Effect{compact}) {
		t.Fatal("it gave up")
	}
	f.time += maxCompactRetryDelay
	f.requireEqual(t, f.takeReports())
	if len(f.pauses) != 0 || f.failedCompactions.Load() != 0 {
		t.Fatal("a view was waited for, or one that was written still counts as given up")
	}
}

// A write that does not come back is a stalled disk while it lasts, and a slow one for a
// while after; each change is told once.
func TestAStalledAndASlowDisk(t *testing.T) {
	f := newDiskFixture()
	f.disk.fail = func(string) error {
		f.time += stalledWriteThreshold
		f.requireEqual(t, f.takeReports())
		f.time++
		f.requireEqual(t, f.takeReports(), "writable false")
		if condition := f.health.current(f.time).condition; condition != DiskStalled {
			t.Fatalf("it is %s", condition)
		}
		if wait, _ := f.health.stats(f.time); wait != stalledWriteThreshold+1 {
			t.Fatalf("it waits %d", wait)
		}
		return nil
	}
	f.writeAll([]machine.Effect{persistOf(1)})
	f.requireEqual(t, f.takeReports(), "stored 1", "writable true")
	if condition := f.health.current(f.time).condition; condition != DiskSlow {
		t.Fatalf("it is %s", condition)
	}
	f.time += slowRecoveryPeriod
	if status := f.health.current(f.time); status.condition != DiskHealthy || status.reason != "" {
		t.Fatalf("it is %s: %s", status.condition, status.reason)
	}
	f.requireEqual(t, f.takeReports(), "writable true")
}

// The queue is bounded by count and by bytes: who puts into a full one waits until the
// disk thread has taken something, and nothing is lost or put out of order.
func TestTheDisksQueueIsBounded(t *testing.T) {
	for name, q := range map[string]*diskQueue{"count": newDiskQueue(3, 1<<20), "bytes": newDiskQueue(1000, 3*2*recordOverhead)} {
		var put atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			for token := uint64(1); token <= 50; token++ {
				q.put(persistOf(token))
				put.Add(1)
			}
		}()
		var got []uint64
		for len(got) < 50 {
			for _, effect := range q.take(2) {
				got = append(got, effect.(machine.Persist).Token)
			}
			if waiting, _ := q.load(); waiting > 3 || int(put.Load()) > len(got)+3 {
				t.Fatalf("%s: %d wait", name, waiting)
			}
		}
		<-done
		for i, token := range got {
			if token != uint64(i+1) {
				t.Fatalf("%s: order %v", name, got)
			}
		}
		if waiting, bytes := q.load(); waiting != 0 || bytes != 0 {
			t.Fatalf("%s: %d wait with %d bytes", name, waiting, bytes)
		}
	}
}

// One effect larger than the queue is still taken, and who waits is let go when the
// queue closes.
func TestTheDisksQueueEnds(t *testing.T) {
	q := newDiskQueue(10, 1000)
	large := machine.Compact{Records: []machine.Record{{Body: make([]byte, 5000)}}}
	if !q.put(large) {
		t.Fatal("a large effect was turned away")
	}
	waiting := make(chan bool)
	go func() { waiting <- q.put(persistOf(1)) }()
	q.close()
	if <-waiting {
		t.Fatal("a closed queue took one")
	}
	if len(q.take(10)) != 1 || q.take(10) != nil {
		t.Fatal("what waited at the end is not handed over once")
	}
}
