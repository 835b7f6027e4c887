package eventloop

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// scriptedDisk records its operations, and fails those for which fail returns an error.
type scriptedDisk struct {
	log  []string
	fail func(operation string) error
}

func (s *scriptedDisk) perform(operation string) error {
	if s.fail != nil {
		if err := s.fail(operation); err != nil {
			s.log = append(s.log, operation+" failed")
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
	return s.perform("compact" + units(records))
}
func (s *scriptedDisk) Put(file uint64, _ []machine.Record, _ *storage.Folder) error {
	return s.perform(fmt.Sprint("archive ", file))
}
func (s *scriptedDisk) Delete(files []uint64) { _ = s.perform(fmt.Sprint("delete ", files)) }

// recorder is a machine that records the disk reports it gets.
type recorder struct{ calls []string }

func (r *recorder) Message(string, any, clock.Micros) []machine.Effect              { return nil }
func (r *recorder) UpdateReceived(machine.Update, clock.Micros) []machine.Effect    { return nil }
func (r *recorder) Call(uint64, any, clock.Micros) []machine.Effect                 { return nil }
func (r *recorder) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }
func (r *recorder) FreshnessAdvanced(clock.Micros, clock.Micros) []machine.Effect   { return nil }
func (r *recorder) Tick(clock.Micros) []machine.Effect                              { return nil }
func (r *recorder) Persisted(token uint64, _ clock.Micros) []machine.Effect {
	r.calls = append(r.calls, fmt.Sprint("persisted ", token))
	return nil
}
func (r *recorder) DiskStateChanged(state machine.DiskState, _ clock.Micros) []machine.Effect {
	r.calls = append(r.calls, fmt.Sprintf("writable %v", state.Writable))
	return nil
}
func (r *recorder) CompactAgain(clock.Micros) []machine.Effect {
	r.calls = append(r.calls, "compact again")
	return nil
}

// diskFixture is a disk writer that the test drives in virtual time.
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
	f.diskWriter = &diskWriter{
		queue:   newDiskQueue(100, 1000),
		folder:  f.disk,
		archive: f.disk,
		wake:    func() {},
		now:     func() clock.Micros { return f.time },
		pause: func(delay time.Duration) bool {
			f.pauses = append(f.pauses, delay)
			f.time += delay.Microseconds()
			return f.onPause == nil || f.onPause(len(f.pauses))
		},
	}
	return f
}

// takeReports checks for changes, delivers the reports, and returns those that the machine got.
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

// A commit group whose write fails is retried until it is written, and later writes stay
// behind it; nothing is acknowledged before that, and the daemon keeps running.
func TestAFailedGroupIsRetriedInOrder(t *testing.T) {
	f := newDiskFixture()
	hasSpace := false
	f.disk.fail = func(_ string) error {
		if hasSpace {
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
			hasSpace = true
		default:
			f.requireEqual(t, f.takeReports()) // the change is reported only once
		}
		return true
	}
	if !f.writeAll([]machine.Effect{persistOf(1), persistOf(2), machine.Archive{Token: 3, File: 7}, persistOf(4), machine.DeleteArchive{Files: []uint64{5}}}) {
		t.Fatal("it stopped")
	}
	f.requireEqual(t, f.disk.log[len(f.disk.log)-4:], "write r1 r2", "archive 7", "write r4", "delete [5]")
	f.requireEqual(t, f.disk.log[:1], "write r1 r2 failed")
	f.requireEqual(t, f.takeReports(), "persisted 1", "persisted 2", "persisted 3", "persisted 4", "writable true")
	if len(f.pauses) != 9 || f.pauses[0] != initialRetryDelay || f.pauses[1] != 2*initialRetryDelay || f.pauses[8] != maxRetryDelay {
		t.Fatalf("it paused %v", f.pauses)
	}
	if _, failed := f.health.stats(f.time); failed != 9 {
		t.Fatalf("%d failed attempts were counted", failed)
	}
}

// A write error other than a full disk does not end the writer either, and has its own
// condition.
func TestAWriteErrorMakesTheDiskFailing(t *testing.T) {
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
		t.Fatal("it stopped")
	}
	f.requireEqual(t, f.takeReports(), "persisted 1")
}

// A daemon that stops does not wait for failing writes, and acknowledges none of them.
func TestADaemonThatStopsDoesNotWaitForAFullDisk(t *testing.T) {
	f := newDiskFixture()
	f.disk.fail = func(string) error { return errors.New("no") }
	f.onPause = func(count int) bool { return count < 3 }
	f.queue.put(persistOf(1))
	f.queue.put(machine.Archive{Token: 2})
	f.run()
	f.diskWriter.reports.pending.state = nil
	if got := f.takeReports(); slices.Contains(got, "persisted 1") || slices.Contains(got, "persisted 2") {
		t.Fatalf("reported %q", got)
	}
}

// A snapshot that finds no space is abandoned, and the commit groups behind it continue;
// another one is requested from the machine later, with exponential backoff.
func TestASnapshotWithoutSpaceIsRequestedLater(t *testing.T) {
	f := newDiskFixture()
	hasSpace := false
	f.disk.fail = func(operation string) error {
		if operation == "compact v" && !hasSpace {
			return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
		}
		return nil
	}
	compact := machine.Compact{Records: []machine.Record{{Unit: "v"}}}
	for round, wait := range []clock.Micros{initialCompactRetryDelay, 2 * initialCompactRetryDelay, 4 * initialCompactRetryDelay} {
		if !f.writeAll([]machine.Effect{persistOf(1), compact, persistOf(2)}) {
			t.Fatal("it stopped")
		}
		f.requireEqual(t, f.disk.log[len(f.disk.log)-3:], "write r1", "compact v failed", "write r2")
		f.requireEqual(t, f.takeReports(), "persisted 1", "persisted 2")
		f.time += wait - 1
		f.requireEqual(t, f.takeReports())
		f.time++
		f.requireEqual(t, f.takeReports(), "compact again")
		if int(f.failedCompactions.Load()) != round+1 {
			t.Fatalf("%d failed compactions", f.failedCompactions.Load())
		}
	}
	hasSpace = true
	if !f.writeAll([]machine.Effect{compact}) {
		t.Fatal("it stopped")
	}
	f.time += maxCompactRetryDelay
	f.requireEqual(t, f.takeReports())
	if len(f.pauses) != 0 || f.failedCompactions.Load() != 0 {
		t.Fatal("the writer paused for a snapshot, or one that was written still counts as failed")
	}
}

// A write that does not return makes the disk stalled while it lasts, and slow for a while
// afterwards; each change is reported once.
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
			t.Fatalf("the write in progress has lasted %d", wait)
		}
		return nil
	}
	f.writeAll([]machine.Effect{persistOf(1)})
	f.requireEqual(t, f.takeReports(), "persisted 1", "writable true")
	if condition := f.health.current(f.time).condition; condition != DiskSlow {
		t.Fatalf("it is %s", condition)
	}
	f.time += slowRecoveryPeriod
	if status := f.health.current(f.time); status.condition != DiskHealthy || status.reason != "" {
		t.Fatalf("it is %s: %s", status.condition, status.reason)
	}
	f.requireEqual(t, f.takeReports(), "writable true")
}
