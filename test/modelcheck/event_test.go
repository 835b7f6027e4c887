package modelcheck

import (
	"testing"
)

// Every event that may come is read back from its line.
func TestEventsRoundTrip(t *testing.T) {
	kinds := map[EventKind]bool{}
	for seed := int64(1); seed <= 4; seed++ {
		c := &Config{Voters: 3, MaxLosses: -1, Limits: DefaultLimits(), FineGrained: true}
		randomRun(c, seed, 40, func(at *node) {
			for _, event := range at.world.EnabledEvents() {
				kinds[event.Kind] = true
				read, err := ParseEvent(event.String())
				if err != nil || read.String() != event.String() {
					t.Fatalf("%q is read back as %q, %v", event, read, err)
				}
			}
		})
	}
	if len(kinds) < 18 {
		t.Errorf("only %d kinds of event came up: %v", len(kinds), kinds)
	}
	for _, invalid := range []string{"", "explode c1", "pass", "pass fast", "crash c1", "crash c1 some", "put c1", "deliver c1 c2 Ack", "settle now", "tick", "starve c1 c2"} {
		if _, err := ParseEvent(invalid); err == nil {
			t.Errorf("%q is taken for an event", invalid)
		}
	}
}
