package primaryreport

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"tuliprudder/internal/transport"
)

// Bounds the size of a report on a connection that has already carried one, because traffic between
// zones is charged for.
func TestReportSizeIsBounded(t *testing.T) {
	const (
		changedTenants = 13 // for an edge with 13 requests per second
		maxBytes       = 330
		maxIdleBytes   = 120
	)
	changed := map[string]int64{}
	for i := range changedTenants {
		changed[fmt.Sprint("tenant", 10+i)] = int64(i + 1)
	}
	report := Report{Daemon: "edge-0123456789ab", Incarnation: 1_764_771_000_000_000, Epoch: 12, SentAt: 1_764_771_100_000_000}
	idle := report
	report.Usage = []WindowCounts{{Window: 353_000_000, Counts: changed}}
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	sizeOf := func(report Report) int {
		before := stream.Len()
		if err := encoder.Encode(transport.Envelope{From: "10.128.0.9:7720", Body: report}); err != nil {
			t.Fatal(err)
		}
		return stream.Len() - before
	}
	sizeOf(report)
	full, empty := sizeOf(report), sizeOf(idle)
	t.Logf("%d bytes with %d tenants, %d without", full, changedTenants, empty)
	if full > maxBytes || empty > maxIdleBytes {
		t.Errorf("%d bytes with %d tenants, %d without", full, changedTenants, empty)
	}
}
