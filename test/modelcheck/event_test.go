package modelcheck

import (
	"testing"
)

// Every enabled event is parsed back from its line.
func TestEventsRoundTrip(t *testing.T) {
	kinds := map[EventKind]bool{}
	for seed := int64(1); seed <= 4; seed++ {
		c := &Config{Voters: 3, MaxLosses: -1, Limits: DefaultLimits(), FineGrained: true}
		randomRun(c, seed, 40, func(at *node) {
			for _, event := range at.world.EnabledEvents() {
				kinds[event.Kind] = true
				read, err := ParseEvent(event.String())
				if err != nil || read.String() != event.String() {
					t.Fatalf("%q is parsed as %q, error %v", event, read, err)
				}
			}
		})
	}
	if len(kinds) < 18 {
		t.Errorf("only %d kinds of event occurred, want at least 18: %v", len(kinds), kinds)
	}
	for _, invalid := range []string{"", "explode c1", "pass", "pass fast", "crash c1", "crash c1 some", "put c1", "deliver c1 c2 Ack", "settle now", "tick", "starve c1 c2"} {
		if _, err := ParseEvent(invalid); err == nil {
			t.Errorf("%q is parsed as an event, want an error", invalid)
		}
	}
}
