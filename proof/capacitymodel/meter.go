package capacitymodel

import (
	"fmt"
	"sort"
	"syscall"
	"unsafe"

	"tuliprudder/membership/identity"
)

// Roles for which figures are told apart. A duty holder is the whole edge that
// reads most servers; the primary is the core that serves.
var Roles = []string{"edge", "hollow", "duty", "store", "core", "primary"}

// tally is what one role has done since counting began.
type tally struct {
	messages, calls, bytes, lost, redials, syncs, looks, largest int64
	cpu                                                          int64 // ns
	kinds                                                        map[string]*kindTally
}

type kindTally struct {
	Messages int64
	Bytes    float64
}

func (t *tally) kind(body any, bytes float64) {
	name := kindName(body)
	k := t.kinds[name]
	if k == nil {
		k = &kindTally{}
		t.kinds[name] = k
	}
	k.Messages++
	k.Bytes += bytes
}

func (f *Fleet) role(d *daemon) string {
	switch {
	case d == f.leader:
		return "primary"
	case d.kind == identity.Core:
		return "core"
	case d.kind == identity.Store:
		return "store"
	case d == f.holder:
		return "duty"
	case d.whole:
		return "edge"
	}
	return "hollow"
}

var nobody = &tally{kinds: map[string]*kindTally{}}

// count is where a daemon's figures go; before counting begins, nowhere.
func (f *Fleet) count(d *daemon) *tally {
	if f.warming {
		nobody.kinds = map[string]*kindTally{}
		return nobody
	}
	role := f.role(d)
	t := f.tallies[role]
	if t == nil {
		t = &tally{kinds: map[string]*kindTally{}}
		f.tallies[role] = t
	}
	return t
}

// meter charges this thread's processor time to whom it works for.
type meter struct {
	owner *daemon
	since int64
	cost  int64 // of one look at the clock
}

// charge goes on for another daemon, or for none, and tells for whom it was.
func (f *Fleet) charge(to *daemon) *daemon {
	was := f.meter.owner
	if was == to {
		return was
	}
	now := threadCPU()
	if was != nil {
		f.count(was).cpu += max(0, now-f.meter.since-f.meter.cost)
	}
	f.meter.owner, f.meter.since = to, now
	return was
}

func (m *meter) calibrate() {
	const looks = 20_000
	began := threadCPU()
	for range looks {
		threadCPU()
	}
	m.cost = (threadCPU() - began) / looks
}

const (
	clockProcess = 2
	clockThread  = 3
)

func readClock(which uintptr) int64 {
	var ts syscall.Timespec
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, which, uintptr(unsafe.Pointer(&ts)), 0)
	return ts.Nano()
}

// threadCPU and processCPU are processor time spent, in nanoseconds.
func threadCPU() int64 { return readClock(clockThread) }

func processCPU() int64 { return readClock(clockProcess) }

// Kinds lists what each role sent by kind, per daemon and second.
func (r *Result) kindRows() [][]string {
	var out [][]string
	for _, role := range Roles {
		f := r.Roles[role]
		names := make([]string, 0, len(f.Kinds))
		for name := range f.Kinds {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			k := f.Kinds[name]
			out = append(out, []string{role, name, figure(float64(k.Messages) / f.Daemons / r.Counted), figure(k.Bytes / f.Daemons / r.Counted)})
		}
	}
	return out
}

func figure(v float64) string { return fmt.Sprintf("%.6g", v) }
