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

// input is one command that a process executed, linked to those before it. A process is a function
// of its boot state and its inputs: replaying them restores it.
type input struct {
	previous *input
	command  controlplane.Command
	now      clock.Micros
}

// bootState is the state a process started from.
type bootState struct {
	self        election.CoreRef
	incarnation uint64
	bootstrap   bool // the disk has not been wiped since the fleet started
	records     []machine.Record
}

// sharedMachine holds the machine shared by processes with the same inputs. The first one that
// executes another command takes the machine over, and core is nil from then on.
type sharedMachine struct{ core *controlplane.Core }

// process is one core daemon at one point of a run. It is immutable: each step creates a new one.
// Only the machine is passed on from one to the next.
type process struct {
	name            string
	generation      int // how many of its disks were wiped
	boot            bootState
	inputs          *input
	up, paused      bool
	draining        bool         // notified that it is about to be removed
	diskBlocked     bool         // its disk accepts no writes
	diskUnblockedAt clock.Micros // when its disk last changed between blocked and unblocked; 0: never
	tickedAt        clock.Micros // time of its latest tick
	disk            []machine.Record
	unsynced        []diskWrite

	// Values that choices and checks read often, copied from the machine by updateSummary.
	shared    *sharedMachine
	isServing bool
	isPrimary bool
	epoch     uint64

	cachedFingerprint uint64 // 0: none
	fingerprintedAt   clock.Micros
}

func (p *process) id() string      { return p.boot.self.ID }
func (p *process) address() string { return p.boot.self.Peer }

// startMachine creates a machine from the boot records.
func (c *Config) startMachine(b bootState) *controlplane.Core {
	core := controlplane.New(b.self, b.incarnation, c.seeds(), c.controlSettings(b), b.records)
	c.fault().plant(core)
	core.Groups().Group(coreUnit) // the look-up creates the group
	return core
}

// machine returns the process's machine, restored by replaying its inputs if another process has
// taken it over. Callers must not modify it.
func (p *process) machine(c *Config) *controlplane.Core {
	if p.shared.core != nil {
		return p.shared.core
	}
	p.shared.core = c.startMachine(p.boot)
	var inputs []*input
	for in := p.inputs; in != nil; in = in.previous {
		inputs = append(inputs, in)
	}
	for _, in := range slices.Backward(inputs) {
		p.shared.core.Do(in.command, in.now)
	}
	return p.shared.core
}

// execute applies a command and returns the process after it and its effects. The error is set if
// the machine panicked.
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
	next.shared = &sharedMachine{core}
	next.inputs = &input{p.inputs, command, now}
	next.cachedFingerprint = 0
	if _, ok := command.(controlplane.Tick); ok {
		next.tickedAt = now
	}
	next.updateSummary()
	return &next, effects, nil
}

// diskProbation is how long a disk must accept writes again until its process resumes its roles, at
// the next command.
const diskProbation = clock.Second

// endsProbation reports whether the next command, even a read, makes the process resume its roles.
func (p *process) endsProbation(now clock.Micros) bool {
	proven := p.diskUnblockedAt + diskProbation
	return p.diskUnblockedAt > 0 && now >= proven && p.tickedAt < proven
}

// updateSummary copies the values that choices and checks read often from the machine.
func (p *process) updateSummary() {
	group := p.shared.core.Groups().Group(coreUnit)
	p.isServing = p.shared.core.IsServing()
	p.isPrimary = group.IsPrimary()
	p.epoch = group.Epoch
}

// restarted returns the process after a start from its disk, in its next incarnation.
func (p *process) restarted(c *Config) *process {
	next := &process{name: p.name, generation: p.generation, boot: p.boot, up: true, disk: p.disk}
	next.boot.incarnation++
	next.boot.records = p.disk
	next.shared = &sharedMachine{c.startMachine(next.boot)}
	next.updateSummary()
	return next
}

// stopped returns the process after a stop; up to keep of its unsynced writes, the oldest first, are
// on its disk.
func (p *process) stopped(keep int) *process {
	next := *p
	next.up, next.paused = false, false
	next.shared, next.inputs = nil, nil
	next.isServing, next.isPrimary = false, false
	next.cachedFingerprint = 0
	if p.diskBlocked {
		keep = 0
	}
	for _, w := range p.unsynced[:min(keep, len(p.unsynced))] {
		next.disk = withWrite(next.disk, w)
	}
	next.unsynced = nil
	return &next
}

func processName(i int) string { return fmt.Sprint("c", i+1) }

// initialID returns the identity of a process whose disk was never wiped.
func initialID(processName string) string { return "core-" + processName }

// newProcess returns a process with an empty disk that is not started yet. The generation counts
// the disks that were wiped before it.
func (c *Config) newProcess(i, generation int, address string) *process {
	name := processName(i)
	id := initialID(name)
	if generation > 0 {
		id = fmt.Sprintf("%s-%d", id, generation)
	}
	zone := i
	if c.Zones > 0 {
		zone = i % c.Zones
	}
	self := election.CoreRef{ID: id, Peer: address, Zone: fmt.Sprint("zone-", zone)}
	return &process{name: name, generation: generation, boot: bootState{self: self, bootstrap: generation == 0}}
}
