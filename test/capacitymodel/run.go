package capacitymodel

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Bounds of the time until the fleet is stable, in seconds of virtual time.
const (
	maxStabilizeSeconds = 90
	progressSeconds     = 5
)

// run is a run on its way.
type run struct {
	fleet    *Fleet
	result   *Result
	progress io.Writer
	began    time.Time
}

// Run runs one fleet with its workload and returns its figures. Progress is written in lines
// for a person.
func Run(settings Settings, progress io.Writer) *Result {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(settings.MaxMemoryMiB << 20 * 8 / 10)
	r := &run{
		fleet:    New(settings),
		result:   &Result{Settings: settings, StableAfterSeconds: -1, Roles: map[string]*Figures{}},
		progress: progress,
		began:    time.Now(),
	}
	r.fleet.cpu.calibrate()
	processBefore := processCPU()
	runtime.GC() // the heap of the run before
	r.fleet.bootAll()
	if !r.awaitStable() {
		return r.result
	}
	r.startWorkload()
	r.fleet.RunFor(settings.WarmupSeconds * clock.Second)
	r.count()
	r.result.collect(r.fleet)
	r.result.RunCPUSeconds = float64(processCPU()-processBefore) / 1e9
	if lastError := r.fleet.configurations.lastError; lastError != "" {
		r.logf("changes not put, or of unknown outcome: %d; the last: %s", r.fleet.configurations.rejected, lastError)
	}
	r.logf("done: %.1f s of processor time", r.result.RunCPUSeconds)
	return r.result
}

func (r *run) logf(format string, args ...any) {
	virtual := float64(r.fleet.Now-virtualStart) / 1e6
	fmt.Fprintf(r.progress, "%6.1f s (virtual %6.1f s): %s\n", time.Since(r.began).Seconds(), virtual, fmt.Sprintf(format, args...))
}

// awaitStable lets time pass until the fleet is stable, at most maxStabilizeSeconds; false where
// the run outgrew its memory.
func (r *run) awaitStable() bool {
	for second := range maxStabilizeSeconds {
		r.fleet.RunFor(clock.Second)
		if r.fleet.isStable() {
			r.result.StableAfterSeconds = float64(second + 1)
			break
		}
		if !r.isWithinMemory() {
			return false
		}
		if second%progressSeconds == progressSeconds-1 {
			r.logf("not stable yet")
		}
	}
	r.logf("stable after %g s; the configuration and the servers come", r.result.StableAfterSeconds)
	return true
}

// startWorkload puts a configuration, lists the servers, and starts changes and batches.
func (r *run) startWorkload() {
	f := r.fleet
	if f.Settings.LateServers > 0 {
		for _, d := range f.daemons {
			d.runStep(func() { d.receiveUpdates(f.serverUpdates()) })
		}
	}
	f.submitConfiguration()
	f.RunFor(clock.Second)
	f.polling = true
	deferred := f.deferredPolls
	f.deferredPolls = nil
	for _, poll := range deferred {
		poll()
	}
	f.assignPolling()
	f.repeatEvenly(f.Settings.ChangesPerHour, 3600, f.submitConfiguration)
	f.repeatEvenly(f.Settings.ItemsPerSecond, float64(f.Settings.BatchItems), f.submitBatch)
}

// count lets the counted time pass, with restarts and partitions.
func (r *run) count() {
	f, result := r.fleet, r.result
	f.startCounting()
	f.batches.endWarmup()
	r.logf("counting")
	f.repeatEvenly(f.Settings.RestartsPerHour, 3600, func() { f.restartOne(result) })
	r.schedulePartitions()
	threadBefore, processBefore := threadCPU(), processCPU()
	finishedBefore := f.finishedItems()
	suspectedBefore, refutedBefore := f.suspicions()
	for range 2 * f.Settings.CountedSeconds {
		f.RunFor(clock.Second / 2)
		f.sampleUpdateAges()
		result.CountedSeconds += 0.5
		if !r.isWithinMemory() {
			break
		}
		if int(2*result.CountedSeconds)%10 == 0 {
			r.logf("%g of %d s counted; oldest update %d ms", result.CountedSeconds, f.Settings.CountedSeconds, f.updateAges.quantile(1)/1000)
		}
	}
	f.chargeCPU(nil)
	f.warmingUp = true
	thread, process := threadCPU()-threadBefore, processCPU()-processBefore
	if process > 0 {
		result.CollectorShare = max(0, float64(process-thread)/float64(process))
	}
	result.ItemsPerSecond = float64(f.finishedItems()-finishedBefore) / result.CountedSeconds
	suspected, refuted := f.suspicions()
	result.Suspected, result.Refuted = suspected-suspectedBefore, refuted-refutedBefore
}

// isWithinMemory stops a run that outgrows its memory.
func (r *run) isWithinMemory() bool {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	limit := r.fleet.Settings.MaxMemoryMiB
	mib := int64(m.Sys >> 20)
	if mib <= limit {
		return true
	}
	r.result.StopReason = fmt.Sprintf("memory of %d MiB", mib)
	r.logf("stopped: %s is over -memory %d", r.result.StopReason, limit)
	return false
}

// bootAll boots every daemon with the updates of all members and servers.
func (f *Fleet) bootAll() {
	var updates []machine.Update
	for _, d := range f.daemons {
		if d.kind == membership.Edge {
			d.id, d.incarnation = fmt.Sprintf("%s-%03d.%d", d.kind, d.number, 1), uint64(f.Now)
		} else {
			d.incarnation = 1
		}
		member := d.member()
		updates = append(updates, machine.Update{Key: membership.Key(d.id), Epoch: d.incarnation, Seq: member.Seq(), Value: member.Encode()})
		if d.kind != membership.Edge {
			d.incarnation = 0
		}
	}
	if f.Settings.LateServers == 0 {
		updates = append(updates, f.serverUpdates()...)
	}
	for _, d := range f.daemons {
		d.boot(updates)
	}
}

// serverUpdates are the platform's updates of all servers.
func (f *Fleet) serverUpdates() []machine.Update {
	var out []machine.Update
	for _, s := range f.servers {
		out = append(out, endpoints.ServerUpdate(s.endpoint, machine.Update{}, f.Now))
	}
	return out
}

// startCounting ends the warm-up: from now on figures are counted.
func (f *Fleet) startCounting() {
	f.chargeCPU(nil)
	f.countedPrimary = f.primary()
	for _, d := range f.daemons {
		if d.kind == membership.Edge && d.isFull && (f.busiestPoller == nil || d.polledServers > f.busiestPoller.polledServers) {
			f.busiestPoller = d
		}
	}
	f.warmingUp = false
}

// repeatEvenly does something so many times in a span of seconds, at intervals that vary by
// half.
func (f *Fleet) repeatEvenly(times int64, seconds float64, do func()) {
	if times <= 0 {
		return
	}
	interval := clock.Micros(seconds / float64(times) * 1e6)
	var repeat func()
	repeat = func() {
		do()
		f.After(f.randomBetween(interval/2, interval+interval/2), repeat)
	}
	f.After(f.randomBetween(0, interval), repeat)
}

// finishedItems is how many items have a result in the stores.
func (f *Fleet) finishedItems() int64 {
	sum := int64(0)
	for _, d := range f.daemons {
		if d.store != nil {
			sum += d.store.ResultsRecorded
		}
	}
	return sum
}

// suspicions is how often a member was suspected, and a suspicion refuted.
func (f *Fleet) suspicions() (suspected, refuted int64) {
	for _, d := range f.daemons {
		if d.gossip != nil {
			suspected += d.gossip.Suspected
			refuted += d.gossip.Refuted
		}
	}
	return suspected, refuted
}

// restartOne crashes one daemon at random and boots it a few seconds later. The busiest poller
// goes on: its figures are those of a role of their own.
func (f *Fleet) restartOne(r *Result) {
	d := f.daemons[f.rng.Intn(len(f.daemons))]
	if !d.up || d == f.busiestPoller {
		return
	}
	r.Restarts++
	d.crash()
	f.assignPolling()
	f.After(f.randomBetween(2, 6)*clock.Second, func() { d.boot(nil); f.assignPolling() })
}
