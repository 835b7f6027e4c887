package capacitymodel

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Figures are one role's, per daemon and second of virtual time.
type Figures struct {
	Daemons                            float64
	Messages, Calls, Bytes, CPU        float64
	Heap, Lines, Largest, Syncs, Looks float64
	Redials, Lost                      float64
	Kinds                              map[string]*kindTally
}

// Result is one run's row.
type Result struct {
	Set     Settings
	Counted float64 // seconds counted
	Settled float64 // seconds until every slot had its pair and all updates were fresh; -1: never
	Roles   map[string]*Figures
	// Shares of looks at updates older than 2.5 s, and ages in ms.
	Stale, AgeMedian, AgeMost            float64
	PlanBytes, Changes, Refused, Pending int
	ChangeMedian, ChangeMost             float64 // ms until in force everywhere
	Items, ItemsRefused                  float64 // listed, rejected
	Suspected, Refuted                   int64
	RunCPU, Collector                    float64 // seconds of this process, and its collector's share
	Restarted                            int
	Stopped                              string
}

// Run lives one run through.
//
//revive:disable-next-line:function-length one step a line, in the order of the run
func Run(set Settings, progress io.Writer) *Result {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(set.Memory << 20 * 8 / 10)
	f := New(set)
	f.meter.calibrate()
	r := &Result{Set: set, Settled: -1, Roles: map[string]*Figures{}}
	began, process := time.Now(), processCPU()
	say := func(format string, args ...any) {
		fmt.Fprintf(progress, "%6.1f s (virtual %6.1f s): %s\n", time.Since(began).Seconds(), float64(f.Now-start)/1e6, fmt.Sprintf(format, args...))
	}
	runtime.GC() // the heap of the run before
	f.boot()
	for second := range 90 {
		if f.run(clock.Second); f.settled() {
			r.Settled = float64(second + 1)
			break
		}
		if !r.within(f, say) {
			return r
		}
		if second%5 == 4 {
			say("not settled yet")
		}
	}
	say("settled after %g s; the plan and the servers come", r.Settled)
	if set.Late > 0 {
		for _, d := range f.daemons {
			d.step(func() { d.learn(f.words()) })
		}
	}
	f.putPlan()
	f.run(clock.Second)
	f.served = true
	held := f.held
	f.held = nil
	for _, look := range held {
		look()
	}
	f.assign()
	f.pace(set.Changes, 3600, func() { f.putPlan() })
	f.pace(set.Items, float64(set.BundleItems), func() { f.hand() })
	f.run(set.Warm * clock.Second)
	f.begin()
	f.bundles.begin()
	say("counting")
	f.pace(set.Restarts, 3600, func() { f.restarts(r) })
	f.cuts(set, say)
	thread, whole := threadCPU(), processCPU()
	listed := f.listed()
	suspected, refuted := f.suspicions()
	for range 2 * set.Seconds {
		f.run(clock.Second / 2)
		f.lookAtAges()
		r.Counted += 0.5
		if !r.within(f, say) {
			break
		}
		if int(2*r.Counted)%10 == 0 {
			say("%g of %d s counted; oldest news %d ms", r.Counted, set.Seconds, f.stale.quantile(1)/1000)
		}
	}
	f.charge(nil)
	f.warming = true
	threadAll, processAll := threadCPU()-thread, processCPU()-whole
	if processAll > 0 {
		r.Collector = max(0, float64(processAll-threadAll)/float64(processAll))
	}
	r.Items = float64(f.listed()-listed) / r.Counted
	s, u := f.suspicions()
	r.Suspected, r.Refuted = s-suspected, u-refuted
	r.gather(f)
	r.RunCPU = float64(processCPU()-process) / 1e9
	if f.plan.why != "" {
		say("changes not put, or of unknown outcome: %d; the last: %s", f.plan.refused, f.plan.why)
	}
	say("done: %.1f s of processor time", r.RunCPU)
	return r
}

// within stops a run that outgrows its memory.
func (r *Result) within(f *Fleet, say func(string, ...any)) bool {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if mib := int64(m.Sys >> 20); mib > f.Set.Memory {
		r.Stopped = fmt.Sprintf("memory of %d MiB", mib)
		say("stopped: %s is over -memory %d", r.Stopped, f.Set.Memory)
		return false
	}
	return true
}

// boot starts every daemon, with all others in its directory and with the servers.
func (f *Fleet) boot() {
	var told []machine.Update
	for _, d := range f.daemons {
		if d.kind == identity.Edge {
			d.id, d.life = fmt.Sprintf("%s-%03d.%d", d.kind, d.number, 1), uint64(f.Now)
		} else {
			d.life = 1
		}
		person := d.person()
		told = append(told, machine.Update{Key: identity.Key(d.id), Epoch: d.life, Seq: person.Seq(), Value: person.Encode()})
		if d.kind != identity.Edge {
			d.life = 0
		}
	}
	if f.Set.Late == 0 {
		told = append(told, f.words()...)
	}
	for _, d := range f.daemons {
		d.boot(told)
	}
}

// words are the platform's on all servers.
func (f *Fleet) words() []machine.Update {
	var out []machine.Update
	for _, s := range f.servers {
		out = append(out, registry.ServerUpdate(s.word, machine.Update{}, f.Now))
	}
	return out
}

// begin starts the count.
func (f *Fleet) begin() {
	f.charge(nil)
	f.leader = f.primary()
	for _, d := range f.daemons {
		if d.kind == identity.Edge && d.whole && (f.holder == nil || d.duty > f.holder.duty) {
			f.holder = d
		}
	}
	f.warming = false
}

// pace does something so many times in a span of seconds, evenly with a little chance.
func (f *Fleet) pace(times int64, in float64, do func()) {
	if times <= 0 {
		return
	}
	gap := clock.Micros(in / float64(times) * 1e6)
	var again func()
	again = func() {
		do()
		f.after(f.between(gap/2, gap+gap/2), again)
	}
	f.after(f.between(0, gap), again)
}

func (f *Fleet) listed() int64 {
	sum := int64(0)
	for _, d := range f.daemons {
		if d.store != nil {
			sum += d.store.Listed
		}
	}
	return sum
}

func (f *Fleet) suspicions() (suspected, refuted int64) {
	for _, d := range f.daemons {
		if d.gossip != nil {
			suspected, refuted = suspected+d.gossip.Suspected, refuted+d.gossip.Refuted
		}
	}
	return suspected, refuted
}

// restarts ends one daemon at random and starts it a few seconds later.
func (f *Fleet) restarts(r *Result) {
	d := f.daemons[f.chance.Intn(len(f.daemons))]
	if !d.up || d == f.holder {
		return
	}
	r.Restarted++
	d.crash()
	f.assign()
	f.after(f.between(2, 6)*clock.Second, func() { d.boot(nil); f.assign() })
}

// cuts cuts the last region and, after it, the last zone from all others.
func (f *Fleet) cuts(set Settings, say func(string, ...any)) {
	cut := func(after, span clock.Micros, what string, in func(d *daemon) bool) {
		if span <= 0 {
			return
		}
		f.after(after, func() {
			say("%s is cut off", what)
			f.cut = func(from, to *daemon) bool { return in(from) != in(to) }
		})
		f.after(after+span, func() {
			stale, all := 0, 0
			for _, d := range f.daemons {
				if d.up && !in(d) {
					all++
					if f.Now-d.gossip.LastSwap() > staleAfter {
						stale++
					}
				}
			}
			say("%s is back; of the others %d of %d had old news", what, stale, all)
			f.cut = func(_, _ *daemon) bool { return false }
		})
	}
	region, zone := int(set.Regions-1), int(set.Zones-1)
	cut(3*clock.Second, set.CutRegion*clock.Second, "a region", func(d *daemon) bool { return d.region == region })
	cut((8+set.CutRegion)*clock.Second, set.CutZone*clock.Second, "a zone", func(d *daemon) bool { return d.place == zone })
}

// gather works out the figures; the heap of a role is what lets go with it.
func (r *Result) gather(f *Fleet) {
	counts, lines := map[string]float64{}, map[string]float64{}
	for _, d := range f.daemons {
		role := f.role(d)
		counts[role]++
		lines[role] += float64(len(d.lines))
	}
	for _, role := range Roles {
		n := counts[role]
		out := &Figures{Daemons: n, Kinds: map[string]*kindTally{}}
		r.Roles[role] = out
		t := f.tallies[role]
		if n == 0 || t == nil || r.Counted == 0 {
			continue
		}
		per := func(v int64) float64 { return float64(v) / n / r.Counted }
		*out = Figures{Daemons: n, Messages: per(t.messages), Calls: per(t.calls), Bytes: per(t.bytes), CPU: per(t.cpu) / 1e9, Lines: lines[role] / n,
			Largest: float64(t.largest), Syncs: per(t.syncs), Looks: per(t.looks), Redials: per(t.redials), Lost: per(t.lost), Kinds: t.kinds}
	}
	r.Stale, r.AgeMedian, r.AgeMost = f.stale.share(), float64(f.stale.quantile(0.5))/1000, float64(f.stale.quantile(1))/1000
	r.PlanBytes, r.Changes, r.Refused, r.Pending = f.plan.bytes, len(f.plan.spans), f.plan.refused, len(f.plan.pending)
	if n := len(f.plan.spans); n > 0 {
		slices.Sort(f.plan.spans)
		r.ChangeMedian, r.ChangeMost = float64(f.plan.spans[n/2])/1000, float64(f.plan.spans[n-1])/1000
	}
	if handed, refused := f.bundles.counted(); handed > 0 {
		r.ItemsRefused = float64(refused) / float64(handed)
	}
	f.queue, f.lines, f.woken, f.held, f.plan.pending = nil, nil, nil, nil, nil
	roles := map[*daemon]string{}
	for _, d := range f.daemons {
		roles[d] = f.role(d)
		d.lines, d.asks, d.calls = nil, nil, nil
		d.disk = disk{}
	}
	heap := inUse()
	for _, role := range Roles {
		for _, d := range f.daemons {
			if roles[d] == role {
				d.gossip, d.machine, d.core, d.store, d.model = nil, nil, nil, nil, nil
			}
		}
		if counts[role] == 0 {
			continue
		}
		left := inUse()
		r.Roles[role].Heap = float64(heap-left) / counts[role]
		heap = left
	}
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// MostMemory is half of the machine's memory in MiB, as -memory may not reach it.
func MostMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 4096
	}
	for _, line := range strings.Split(string(data), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(words[1], 10, 64)
			return kib >> 11
		}
	}
	return 4096
}
