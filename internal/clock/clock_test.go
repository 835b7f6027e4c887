package clock

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// The clock starts at the wall time and advances with its source.
func TestTheClockAdvancesWithItsSource(t *testing.T) {
	start := time.UnixMicro(1_700_000_000_000_000)
	source := clockwork.NewFakeClockAt(start)
	c := New(source)
	if got := c.Now(); got != start.UnixMicro() {
		t.Fatalf("starts at %d", got)
	}
	source.Advance(Duration(3*Second + 5*Millisecond))
	if got := c.Now() - start.UnixMicro(); got != 3_005_000 {
		t.Fatalf("advanced by %d us", got)
	}
}
