package simulator

import (
	"testing"

	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/machine"
)

// The checks of routes find an item that goes by another route than its batch's.
func TestAnItemOnAnotherRouteIsFound(t *testing.T) {
	run := Run{Seed: 1, Shape: defaultShape, Conditions: MildConditions(), Forwarding: true}
	changed := false
	run.OnEffect = func(n *Node, effect machine.Effect) {
		work, ok := effect.(machine.Execute)
		if !ok || changed {
			return
		}
		if attempt, ok := work.Task.(execution.Attempt); ok && attempt.ForwardedItem != nil {
			changed = true
			attempt.Request.Model = forwardedModel("safe")
			n.world.Workload.checkRouteOfItem(attempt)
		}
	}
	if w := run.Execute(); !changed || !w.Workload.HasViolated(routeKept) {
		t.Error("nothing was found")
	}
}
