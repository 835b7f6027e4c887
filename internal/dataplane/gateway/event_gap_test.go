package gateway

import (
	"testing"

	"tuliprudder/internal/clock"
)

// The longest pause counts over all attempts, and not the time until the first event.
func TestLongestEventGap(t *testing.T) {
	var p proxiedRequest
	for _, at := range []clock.Micros{1000, 1300, 1350, 2350, 2360} {
		p.observeEventGap(at)
	}
	if got := p.result(0, ""); got.LongestEventGap != 1000 {
		t.Errorf("the longest pause is %d", got.LongestEventGap)
	}
}
