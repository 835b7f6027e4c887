package faultinject

import (
	"fmt"
	"net/http"
	"strings"

	"tuliprudder/test/localfleet"
)

// kindFigures are the counters of the daemons of one kind.
type kindFigures struct {
	daemons                 int
	maxHeap, maxResident    int64 // bytes
	messagesSent, bytesSent int64
	syncs                   int64
	entriesConfirmed, reads int64
}

func readFigures(fleet *localfleet.Fleet, kind string) kindFigures {
	var f kindFigures
	for _, name := range fleet.Names(kind) {
		var counters map[string]int64
		if fleet.Call(name, http.MethodGet, "/counters", nil, &counters) != nil {
			continue
		}
		f.daemons++
		f.maxHeap = max(f.maxHeap, counters["heap_bytes"])
		f.maxResident = max(f.maxResident, fleet.ResidentBytes(name))
		f.messagesSent += counters["messages_sent"]
		f.bytesSent += counters["bytes_out"]
		f.syncs += counters["disk_syncs"]
		f.entriesConfirmed += counters["entries_confirmed"]
		f.reads += counters["reads"]
	}
	return f
}

func mebibytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// CounterSummary adds up the counters of the daemons, for the measurements page.
func CounterSummary(fleet *localfleet.Fleet) string {
	var out strings.Builder
	var entries, reads, storeSyncs int64
	for _, kind := range []string{"edge", "store", "core"} {
		f := readFigures(fleet, kind)
		fmt.Fprintf(&out, "figures  %d %ss: largest resident %.1f MiB, heap %.1f MiB; messages %d, bytes sent %.2f MiB, syncs %d\n",
			f.daemons, kind, mebibytes(f.maxResident), mebibytes(f.maxHeap), f.messagesSent, mebibytes(f.bytesSent), f.syncs)
		entries += f.entriesConfirmed
		reads += f.reads
		if kind == "store" {
			storeSyncs = f.syncs
		}
	}
	if entries > 0 {
		fmt.Fprintf(&out, "figures  store syncs for each entry (batch, result, claim) on two disks: %.2f (%d entries); reads: %d\n",
			float64(storeSyncs)/float64(entries), entries, reads)
	}
	return out.String()
}
