package gateway

import (
	"testing"

	"tuliprudder/internal/clock"
)

// The longest gap is taken over all attempts and between events only: the time until the first event does
// not count.
func TestLongestEventGap(t *testing.T) {
	var p proxiedRequest
	for _, at := range []clock.Micros{1000, 1300, 1350, 2350, 2360} {
		p.observeEventGap(at)
	}
	if got := p.result(0, ""); got.LongestEventGap != 1000 {
		t.Errorf("the longest gap between events is %d µs, want 1000", got.LongestEventGap)
	}
}
