package capacitymodel

import (
	"fmt"
	"sort"
	"syscall"
	"unsafe"

	"tuliprudder/internal/membership"
)

// Roles are those with figures of their own, as the tables spell them: "duty" is the full edge
// that polls most servers, "hollow" are the simulated edges, "primary" is the core that serves.
var Roles = []string{"edge", "hollow", "duty", "store", "core", "primary"}

// tally is what the daemons of one role did since counting began.
type tally struct {
	messages, calls, bytes, lost, reconnects, syncs, polls, largestCall int64
	cpuNanos                                                            int64
	kinds                                                               map[string]*kindTally
}

// kindTally is what was sent of one kind of message.
type kindTally struct {
	Messages int64
	Bytes    float64
}

func (t *tally) addKind(body any, bytes float64) {
	name := typeName(body)
	k := t.kinds[name]
	if k == nil {
		k = &kindTally{}
		t.kinds[name] = k
	}
	k.Messages++
	k.Bytes += bytes
}

func (f *Fleet) roleOf(d *daemon) string {
	switch {
	case d == f.countedPrimary:
		return "primary"
	case d.kind == membership.Core:
		return "core"
	case d.kind == membership.Store:
		return "store"
	case d == f.busiestPoller:
		return "duty"
	case d.isFull:
		return "edge"
	}
	return "hollow"
}

var discarded = &tally{kinds: map[string]*kindTally{}}

// tallyOf is where a daemon's figures are counted; before counting begins they are discarded.
func (f *Fleet) tallyOf(d *daemon) *tally {
	if f.warmingUp {
		discarded.kinds = map[string]*kindTally{}
		return discarded
	}
	role := f.roleOf(d)
	t := f.tallies[role]
	if t == nil {
		t = &tally{kinds: map[string]*kindTally{}}
		f.tallies[role] = t
	}
	return t
}

// cpuMeter charges this thread's processor time to the daemon that it works for.
type cpuMeter struct {
	owner    *daemon // nil: nobody is charged
	since    int64   // reading of the clock when the owner was set
	readCost int64   // of one reading of the clock, in ns
}

// chargeCPU charges what follows to another daemon, or to none, and returns the one before.
func (f *Fleet) chargeCPU(to *daemon) *daemon {
	was := f.cpu.owner
	if was == to {
		return was
	}
	now := threadCPU()
	if was != nil {
		f.tallyOf(was).cpuNanos += max(0, now-f.cpu.since-f.cpu.readCost)
	}
	f.cpu.owner, f.cpu.since = to, now
	return was
}

// calibrate measures what one reading of the clock costs.
func (m *cpuMeter) calibrate() {
	const readings = 20_000
	began := threadCPU()
	for range readings {
		threadCPU()
	}
	m.readCost = (threadCPU() - began) / readings
}

// Clocks of clock_gettime(2).
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

// kindFigures lists what each role sent by kind, per daemon and second.
func (r *Result) kindFigures() [][]string {
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
			out = append(out, []string{role, name, formatFloat(float64(k.Messages) / f.Daemons / r.CountedSeconds), formatFloat(k.Bytes / f.Daemons / r.CountedSeconds)})
		}
	}
	return out
}

func formatFloat(v float64) string { return fmt.Sprintf("%.6g", v) }
