package explore

import (
	"fmt"
	"slices"

	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// coreUnit is the replication group of the control state.
const coreUnit = "core"

// write is one request to the disk that isn't synced yet.
type write struct {
	records []machine.Record
	token   uint64
	fold    bool
}

// input is one command that a process took, with those before it. A process is a
// function of its start and its inputs: it is brought back by replaying them.
type input struct {
	before  *input
	command control.Command
	now     clock.Micros
}

// boot is what a process started from.
type boot struct {
	self    control.CoreRef
	life    uint64
	first   bool // the disk is the one that the fleet began with
	records []machine.Record
}

// running holds the machine of processes that took the same inputs. It is handed on to
// the first one that takes another input, and then gone from here.
type running struct{ core *control.Core }

// process is one core daemon at one point of a run. It is never changed: each step
// makes another one. Only the machine itself is handed on from one to the next.
type process struct {
	name       string
	generation int // counts the disks it had
	boot       boot
	inputs     *input
	up, frozen bool
	leaving    bool         // it was told that it is about to go
	clogged    bool         // its disk takes no writes
	unclogged  clock.Micros // when its disk took them again; 0: it always did
	ticked     clock.Micros // its latest clock event
	disk       []machine.Record
	unsynced   []write

	live    *running
	serving bool
	owns    bool
	epoch   uint64
	print   uint64 // fingerprint, and the time it was taken at
	printed clock.Micros
}

func (p *process) id() string      { return p.boot.self.ID }
func (p *process) address() string { return p.boot.self.Peer }

// start makes the machine from the boot records.
func (c *Config) start(b boot) *control.Core {
	core := control.New(b.self, b.life, c.seeds(), c.settings(b), b.records)
	c.fault().plant(core)
	core.Groups().Group(coreUnit) // looking it up makes it
	return core
}

// machine is the process's machine; it may be looked at and is not to be changed.
func (p *process) machine(c *Config) *control.Core {
	if p.live.core == nil {
		p.live.core = c.start(p.boot)
		var run []*input
		for in := p.inputs; in != nil; in = in.before {
			run = append(run, in)
		}
		for _, in := range slices.Backward(run) {
			p.live.core.Do(in.command, in.now)
		}
	}
	return p.live.core
}

// do applies a command: the process after it, and what it decided. The error tells
// that the machine panicked.
func (p *process) do(c *Config, command control.Command, now clock.Micros) (after *process, effects []machine.Effect, failed error) {
	core := p.machine(c)
	p.live.core = nil
	defer func() {
		if reason := recover(); reason != nil {
			after, failed = p.ended(0), fmt.Errorf("%T: panic: %v", command, reason)
		}
	}()
	effects = core.Do(command, now)
	next := *p
	next.live, next.inputs, next.print = &running{core}, &input{p.inputs, command, now}, 0
	if _, ok := command.(control.ClockEvent); ok {
		next.ticked = now
	}
	next.look()
	return &next, effects, nil
}

// diskProof is how long a disk takes writes again until its process, at the next
// command, takes up its duties.
const diskProof = clock.Second

// resumes tells whether the next command, even a question, makes the process take up
// its duties again.
func (p *process) resumes(now clock.Micros) bool {
	proven := p.unclogged + diskProof
	return p.unclogged > 0 && now >= proven && p.ticked < proven
}

// look notes what the choices and checks ask for often.
func (p *process) look() {
	group := p.live.core.Groups().Group(coreUnit)
	p.serving, p.owns, p.epoch = p.live.core.Serving(), group.Leads(), group.Epoch
}

// booted is the process after a start from its disk, as another life.
func (p *process) booted(c *Config) *process {
	next := *p
	next.boot.life++
	next.boot.records = p.disk
	next.inputs, next.unsynced, next.print = nil, nil, 0
	next.unclogged, next.ticked = 0, 0
	next.up, next.frozen, next.leaving, next.clogged = true, false, false, false
	next.live = &running{c.start(next.boot)}
	next.look()
	return &next
}

// ended is the process after its end, with some unsynced writes on its disk.
func (p *process) ended(keep int) *process {
	next := *p
	next.live, next.inputs, next.print = nil, nil, 0
	next.up, next.frozen, next.serving, next.owns = false, false, false, false
	if p.clogged {
		keep = 0
	}
	for _, w := range p.unsynced[:min(keep, len(p.unsynced))] {
		next.disk = written(next.disk, w)
	}
	next.unsynced = nil
	return &next
}

// written is a disk with one more write.
func written(disk []machine.Record, w write) []machine.Record {
	if w.fold {
		return w.records
	}
	return append(slices.Clip(disk), w.records...)
}
