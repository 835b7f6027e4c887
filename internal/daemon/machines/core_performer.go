package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// corePerformer is a core's part in acts on outside systems; it does nothing until it is enabled.
type corePerformer struct {
	calls     *machine.Calls
	performer *exclusive.Performer // nil: not enabled
}

func newCorePerformer() corePerformer { return corePerformer{calls: machine.NewCalls()} }

// EnablePerformer has this core request permits as a holder and perform acts. It is called before the
// first step.
func (c *Core) EnablePerformer(holder exclusive.Holder, settings exclusive.PerformerSettings) {
	c.SetOwnHolder(holder)
	c.acts.performer = exclusive.NewPerformer(holder, settings, c.acts.calls)
}

// Performer is the core's performer; nil where it is not enabled.
func (c *Core) Performer() *exclusive.Performer { return c.acts.performer }

// tickPerformer has the performer do what is due.
func (c *Core) tickPerformer(now clock.Micros) []machine.Effect {
	if c.acts.performer == nil {
		return nil
	}
	c.acts.performer.Tick(c.primaryAddress(), c.IsServing(), now)
	return c.acts.calls.Drain()
}

// primaryAddress is the address of the primary core, "" where none is known: what a voter committed, or
// what the primary published, whichever is of the later term.
func (c *Core) primaryAddress() string {
	address, epoch := c.PrimaryAddress()
	if c.cores.latest.Epoch > epoch {
		return c.cores.latest.Peer
	}
	return address
}

// handlePerformed takes the result of an act.
func (c *Core) handlePerformed(call uint64, report exclusive.Performed, now clock.Micros) []machine.Effect {
	if c.acts.performer != nil {
		c.acts.performer.Performed(report, now)
	}
	return append(c.acts.calls.Drain(), machine.Reply{Call: call})
}
