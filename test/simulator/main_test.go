package simulator

import (
	"os"
	"runtime/debug"
	"testing"
)

// Runs are short and allocate much: a larger heap is cheaper than more collections.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
