package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// corePerformer is the part of a core that performs acts on external systems; it does nothing until it is
// enabled.
type corePerformer struct {
	calls     *machine.Calls
	performer *exclusive.Performer // nil if not enabled
}

func newCorePerformer() corePerformer { return corePerformer{calls: machine.NewCalls()} }

// EnablePerformer makes this core request permits under the given holder and perform acts. It is called
// before the first step.
func (c *Core) EnablePerformer(holder exclusive.Holder, settings exclusive.PerformerSettings) {
	c.SetOwnHolder(holder)
	c.acts.performer = exclusive.NewPerformer(holder, settings, c.acts.calls)
}

// Performer returns the core's performer; nil if it is not enabled.
func (c *Core) Performer() *exclusive.Performer { return c.acts.performer }

// tickPerformer runs the performer's work that is due.
func (c *Core) tickPerformer(now clock.Micros) []machine.Effect {
	if c.acts.performer == nil {
		return nil
	}
	c.acts.performer.Tick(c.primaryAddress(), c.IsServing(), now)
	return c.acts.calls.Drain()
}

// primaryAddress returns the address of the primary core, or "" if none is known: the one that a
// voter committed or the one that the primary published, whichever has the later epoch.
func (c *Core) primaryAddress() string {
	address, epoch := c.PrimaryAddress()
	if c.cores.latest.Epoch > epoch {
		return c.cores.latest.Peer
	}
	return address
}

// handlePerformed passes the result of an act to the performer.
func (c *Core) handlePerformed(call uint64, report exclusive.Performed, now clock.Micros) []machine.Effect {
	if c.acts.performer != nil {
		c.acts.performer.Performed(report, now)
	}
	return append(c.acts.calls.Drain(), machine.Reply{Call: call})
}
