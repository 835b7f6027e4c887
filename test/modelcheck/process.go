package modelcheck

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/machine"
)

// coreUnit is the replication group of the control state.
const coreUnit = "core"

// diskWrite is one request to the disk that isn't synced yet.
type diskWrite struct {
	records      []machine.Record
	token        uint64
	isCompaction bool
}

// input is one command that a process took, with those before it. A process is a
// function of its start and its inputs: it is brought back by replaying them.
type input struct {
	previous *input
	command  controlplane.Command
	now      clock.Micros
}

// bootState is what a process started from.
type bootState struct {
	self        election.CoreRef
	incarnation uint64
	bootstrap   bool // the disk is the one that the fleet began with
	records     []machine.Record
}

// sharedMachine holds the machine of processes that took the same inputs. It is handed on to
// the first one that takes another input, and then gone from here.
type sharedMachine struct{ core *controlplane.Core }

// process is one core daemon at one point of a run. It is never changed: each step
// makes another one. Only the machine itself is handed on from one to the next.
type process struct {
	name            string
	generation      int // counts the disks it had
	boot            bootState
	inputs          *input
	up, paused      bool
	draining        bool         // it was told that it is about to go
	diskBlocked     bool         // its disk takes no writes
	diskUnblockedAt clock.Micros // when its disk took them again; 0: it always did
	tickedAt        clock.Micros // its latest tick
	disk            []machine.Record
	unsynced        []diskWrite

	shared            *sharedMachine
	isServing         bool
	isPrimary         bool
	epoch             uint64
	cachedFingerprint uint64 // fingerprint, and the time it was taken at
	fingerprintedAt   clock.Micros
}

func (p *process) id() string      { return p.boot.self.ID }
func (p *process) address() string { return p.boot.self.Peer }

// startMachine makes the machine from the boot records.
func (c *Config) startMachine(b bootState) *controlplane.Core {
	core := controlplane.New(b.self, b.incarnation, c.seeds(), c.controlSettings(b), b.records)
	c.fault().plant(core)
	core.Groups().Group(coreUnit) // looking it up makes it
	return core
}

// machine is the process's machine; it may be looked at and is not to be changed.
func (p *process) machine(c *Config) *controlplane.Core {
	if p.shared.core == nil {
		p.shared.core = c.startMachine(p.boot)
		var run []*input
		for in := p.inputs; in != nil; in = in.previous {
			run = append(run, in)
		}
		for _, in := range slices.Backward(run) {
			p.shared.core.Do(in.command, in.now)
		}
	}
	return p.shared.core
}

// execute applies a command: the process after it, and what it decided. The error tells
// that the machine panicked.
func (p *process) execute(c *Config, command controlplane.Command, now clock.Micros) (after *process, effects []machine.Effect, failed error) {
	core := p.machine(c)
	p.shared.core = nil
	defer func() {
		if reason := recover(); reason != nil {
			after, failed = p.stopped(0), fmt.Errorf("%T: panic: %v", command, reason)
		}
	}()
	effects = core.Do(command, now)
	next := *p
	next.shared, next.inputs, next.cachedFingerprint = &sharedMachine{core}, &input{p.inputs, command, now}, 0
	if _, ok := command.(controlplane.Tick); ok {
		next.tickedAt = now
	}
	next.updateSummary()
	return &next, effects, nil
}

// diskProbation is how long a disk takes writes again until its process, at the next
// command, takes up its duties.
const diskProbation = clock.Second

// endsProbation tells whether the next command, even a question, makes the process take up
// its duties again.
func (p *process) endsProbation(now clock.Micros) bool {
	proven := p.diskUnblockedAt + diskProbation
	return p.diskUnblockedAt > 0 && now >= proven && p.tickedAt < proven
}

// updateSummary notes what the choices and checks ask for often.
func (p *process) updateSummary() {
	group := p.shared.core.Groups().Group(coreUnit)
	p.isServing, p.isPrimary, p.epoch = p.shared.core.IsServing(), group.IsPrimary(), group.Epoch
}

// restarted is the process after a start from its disk, as another life.
func (p *process) restarted(c *Config) *process {
	next := *p
	next.boot.incarnation++
	next.boot.records = p.disk
	next.inputs, next.unsynced, next.cachedFingerprint = nil, nil, 0
	next.diskUnblockedAt, next.tickedAt = 0, 0
	next.up, next.paused, next.draining, next.diskBlocked = true, false, false, false
	next.shared = &sharedMachine{c.startMachine(next.boot)}
	next.updateSummary()
	return &next
}

// stopped is the process after its end, with some unsynced writes on its disk.
func (p *process) stopped(keep int) *process {
	next := *p
	next.shared, next.inputs, next.cachedFingerprint = nil, nil, 0
	next.up, next.paused, next.isServing, next.isPrimary = false, false, false, false
	if p.diskBlocked {
		keep = 0
	}
	for _, w := range p.unsynced[:min(keep, len(p.unsynced))] {
		next.disk = withWrite(next.disk, w)
	}
	next.unsynced = nil
	return &next
}

// withWrite is a disk with one more write.
func withWrite(disk []machine.Record, w diskWrite) []machine.Record {
	if w.isCompaction {
		return w.records
	}
	return append(slices.Clip(disk), w.records...)
}
