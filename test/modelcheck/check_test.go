package modelcheck

import (
	"testing"
)

// Neither checkProperties nor CheckRecovery modifies the state.
func TestChecksDoNotModifyState(t *testing.T) {
	c := &Config{Voters: 3, MaxLosses: -1, Limits: DefaultLimits(), FineGrained: true}
	randomRun(c, 3, 30, func(at *node) {
		before := at.world.Fingerprint()
		at.world.checkProperties()
		at.world.CheckRecovery()
		for _, p := range at.world.processes {
			p.cachedFingerprint = 0
		}
		if at.world.Fingerprint() != before {
			t.Fatalf("checking changed the state\n%s", at.trace())
		}
	})
}
