package controlplane

import (
	"errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/durableupdates"
	"tuliprudder/internal/machine"
)

// Apply persists the update if it is newer than the stored one.
func (u DurableUpdate) Apply(c *Core, _ clock.Micros) {
	records, err := c.durableUpdates.Accept(u.Update)
	var limit *durableupdates.LimitError
	if errors.As(err, &limit) {
		c.Emit(machine.LogEvent{Event: EndpointLimitReached{Endpoint: limit.Key, Remedy: "put a shorter list of endpoints"}})
		return
	}
	if len(records) > 0 {
		c.groups.Persist(records, nil)
	}
}

// republishUpdates publishes the updates restored from disk, once.
func (c *Core) republishUpdates() {
	for _, update := range c.durableUpdates.Republish() {
		c.Emit(machine.Publish{Update: update})
	}
}
