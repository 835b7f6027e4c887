package eventloop

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/storage"
)

// scriptedDisk writes down what it took, and fails as it is told to.
type scriptedDisk struct {
	log  []string
	fail func(operation string) error
}

func (s *scriptedDisk) do(operation string) error {
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

func (s *scriptedDisk) Write(records []machine.Record) error { return s.do("write" + units(records)) }
func (s *scriptedDisk) Fold(records []machine.Record) error  { return s.do("fold" + units(records)) }
func (s *scriptedDisk) Put(file uint64, _ []machine.Record, _ *storage.Folder) error {
	return s.do(fmt.Sprint("put ", file))
}
func (s *scriptedDisk) Drop(files []uint64) { _ = s.do(fmt.Sprint("drop ", files)) }

// recorder is a machine that writes down what it is told of its disk.
type recorder struct{ told []string }

func (r *recorder) Message(string, any, clock.Micros) []machine.Effect         { return nil }
func (r *recorder) Heard(machine.Update, clock.Micros) []machine.Effect        { return nil }
func (r *recorder) Call(uint64, any, clock.Micros) []machine.Effect            { return nil }
func (r *recorder) Answered(uint64, any, error, clock.Micros) []machine.Effect { return nil }
func (r *recorder) Fresh(clock.Micros, clock.Micros) []machine.Effect          { return nil }
func (r *recorder) ClockEvent(clock.Micros) []machine.Effect                   { return nil }
func (r *recorder) Stored(token uint64, _ clock.Micros) []machine.Effect {
	r.told = append(r.told, fmt.Sprint("stored ", token))
	return nil
}
func (r *recorder) Disk(state machine.DiskState, _ clock.Micros) []machine.Effect {
	r.told = append(r.told, fmt.Sprintf("writable %v", state.Writable))
	return nil
}
func (r *recorder) FoldAgain(clock.Micros) []machine.Effect {
	r.told = append(r.told, "fold again")
	return nil
}

// diskBench is a disk thread that is run by hand, in virtual time.
type diskBench struct {
	*diskThread
	disk    *scriptedDisk
	machine *recorder
	time    clock.Micros
	pauses  []time.Duration
	onPause func(count int) bool
}

func newDiskBench() *diskBench {
	b := &diskBench{disk: &scriptedDisk{}, machine: &recorder{}, time: clock.Second}
	b.diskThread = &diskThread{queue: newDiskQueue(100, 1000), folder: b.disk, shelf: b.disk, wake: func() {},
		now: func() clock.Micros { return b.time },
		pause: func(span time.Duration) bool {
			b.pauses = append(b.pauses, span)
			b.time += span.Microseconds()
			return b.onPause == nil || b.onPause(len(b.pauses))
		}}
	return b
}

// look has the thread looked at and the machine told, and gives what it was told.
func (b *diskBench) look() []string {
	b.diskThread.look(b.time)
	b.machine.told = nil
	b.tell(b.machine, b.time)
	return b.machine.told
}

func storeOf(token uint64) machine.Store {
	return machine.Store{Token: token, Records: []machine.Record{{Unit: fmt.Sprint("r", token)}}}
}

func (b *diskBench) want(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, not %q", got, want)
	}
}

// A group that the disk turns down is tried again until it is taken, and what is behind
// it stays behind it; nothing is acknowledged before, and the daemon goes on.
func TestARefusedGroupIsTriedAgainInOrder(t *testing.T) {
	b := newDiskBench()
	room := false
	b.disk.fail = func(operation string) error {
		if room {
			return nil
		}
		return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
	}
	b.onPause = func(count int) bool {
		switch count {
		case 1:
			b.want(t, b.look(), "writable false")
			if condition, reason := b.health.state(b.time); condition != DiskFull || reason == "" {
				t.Fatalf("it is %s: %q", condition, reason)
			}
		case 9:
			room = true
		default:
			b.want(t, b.look()) // told once
		}
		return true
	}
	if !b.writeAll([]machine.Effect{storeOf(1), storeOf(2), machine.Shelve{Token: 3, File: 7}, storeOf(4), machine.Unshelve{Files: []uint64{5}}}) {
		t.Fatal("it gave up")
	}
	b.want(t, b.disk.log[len(b.disk.log)-4:], "write r1 r2", "put 7", "write r4", "drop [5]")
	b.want(t, b.disk.log[:1], "write r1 r2 refused")
	b.want(t, b.look(), "stored 1", "stored 2", "stored 3", "stored 4", "writable true")
	if len(b.pauses) != 9 || b.pauses[0] != firstRetry || b.pauses[1] != 2*firstRetry || b.pauses[8] != mostRetry {
		t.Fatalf("it paused %v", b.pauses)
	}
	if _, refused := b.health.wait(b.time); refused != 9 {
		t.Fatalf("%d tries counted as refused", refused)
	}
}

// Another error of a write is no end either, and has its own name.
func TestAFailingDiskIsNamed(t *testing.T) {
	b := newDiskBench()
	b.disk.fail = func(string) error {
		if len(b.pauses) == 0 {
			return &storage.WriteError{Step: "sync", Err: syscall.EIO}
		}
		return nil
	}
	b.onPause = func(int) bool {
		if condition, _ := b.health.state(b.time); condition != DiskFailing || condition.Writable() {
			t.Fatalf("it is %s", condition)
		}
		return true
	}
	if !b.writeAll([]machine.Effect{storeOf(1)}) {
		t.Fatal("it gave up")
	}
	b.want(t, b.look(), "stored 1")
}

// A daemon that stops does not wait for a full disk, and acknowledges nothing.
func TestADaemonThatStopsLeavesAFullDisk(t *testing.T) {
	b := newDiskBench()
	b.disk.fail = func(string) error { return errors.New("no") }
	b.onPause = func(count int) bool { return count < 3 }
	b.queue.put(storeOf(1))
	b.queue.put(machine.Shelve{Token: 2})
	b.run()
	b.diskThread.words.state = nil
	if got := b.look(); slices.Contains(got, "stored 1") || slices.Contains(got, "stored 2") {
		t.Fatalf("told %q", got)
	}
}

// A view that finds no room is given up, and the groups behind it go on; the machine is
// asked for another one later, with pauses that grow.
func TestAViewWithoutRoomIsAskedForLater(t *testing.T) {
	b := newDiskBench()
	room := false
	b.disk.fail = func(operation string) error {
		if operation == "fold v" && !room {
			return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
		}
		return nil
	}
	fold := machine.Fold{Records: []machine.Record{{Unit: "v"}}}
	for round, wait := range []clock.Micros{firstRefold, 2 * firstRefold, 4 * firstRefold} {
		if !b.writeAll([]machine.Effect{storeOf(1), fold, storeOf(2)}) {
			t.Fatal("it gave up")
		}
		b.want(t, b.disk.log[len(b.disk.log)-3:], "write r1", "fold v refused", "write r2")
		b.want(t, b.look(), "stored 1", "stored 2")
		b.time += wait - 1
		b.want(t, b.look())
		b.time++
		b.want(t, b.look(), "fold again")
		if int(b.foldsGivenUp.Load()) != round+1 {
			t.Fatalf("%d given up", b.foldsGivenUp.Load())
		}
	}
	room = true
	if !b.writeAll([]machine.Effect{fold}) {
		t.Fatal("it gave up")
	}
	b.time += mostRefold
	b.want(t, b.look())
	if len(b.pauses) != 0 || b.foldsGivenUp.Load() != 0 {
		t.Fatal("a view was waited for, or one that was written still counts as given up")
	}
}

// A write that does not come back is a stalled disk while it lasts, and a slow one for a
// while after; each change is told once.
func TestAStalledAndASlowDisk(t *testing.T) {
	b := newDiskBench()
	b.disk.fail = func(string) error {
		b.time += stalledWrite
		b.want(t, b.look())
		b.time++
		b.want(t, b.look(), "writable false")
		if condition, _ := b.health.state(b.time); condition != DiskStalled {
			t.Fatalf("it is %s", condition)
		}
		if wait, _ := b.health.wait(b.time); wait != stalledWrite+1 {
			t.Fatalf("it waits %d", wait)
		}
		return nil
	}
	b.writeAll([]machine.Effect{storeOf(1)})
	b.want(t, b.look(), "stored 1", "writable true")
	if condition, _ := b.health.state(b.time); condition != DiskSlow {
		t.Fatalf("it is %s", condition)
	}
	b.time += slowFor
	if condition, reason := b.health.state(b.time); condition != DiskWell || reason != "" {
		t.Fatalf("it is %s: %s", condition, reason)
	}
	b.want(t, b.look(), "writable true")
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
				q.put(storeOf(token))
				put.Add(1)
			}
		}()
		var got []uint64
		for len(got) < 50 {
			for _, effect := range q.take(2) {
				got = append(got, effect.(machine.Store).Token)
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
	large := machine.Fold{Records: []machine.Record{{Body: make([]byte, 5000)}}}
	if !q.put(large) {
		t.Fatal("a large effect was turned away")
	}
	waiting := make(chan bool)
	go func() { waiting <- q.put(storeOf(1)) }()
	q.close()
	if <-waiting {
		t.Fatal("a closed queue took one")
	}
	if len(q.take(10)) != 1 || q.take(10) != nil {
		t.Fatal("what waited at the end is not handed over once")
	}
}
