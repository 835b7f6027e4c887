package controlplane

import (
	"errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/endpointupdates"
	"tuliprudder/internal/machine"
)

// Apply writes the update down where it is newer.
func (u EndpointUpdate) Apply(c *Core, _ clock.Micros) {
	records, err := c.endpoints.Accept(u.Update)
	var limit *endpointupdates.LimitError
	if errors.As(err, &limit) {
		c.Emit(machine.LogEvent{Event: EndpointLimitReached{Endpoint: limit.Endpoint, Remedy: "put a shorter list"}})
		return
	}
	if len(records) > 0 {
		c.groups.Persist(records, nil)
	}
}

// republishEndpoints publishes what was read back from disk, once.
func (c *Core) republishEndpoints() {
	for _, update := range c.endpoints.Republish() {
		c.Emit(machine.Publish{Update: update})
	}
}
