package host

import (
	"os"
	"slices"
	"testing"

	"tuliprudder/internal/settings"
)

// The daemon must be able to read the peer addresses that an earlier release saved.
func TestPeersSavedByEarlierReleaseAreRead(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS("../../../test/storedformat/testdata/folders/after-snapshot/core")); err != nil {
		t.Fatal(err)
	}
	d := &Daemon{Common: settings.Common{DataDir: folder}}
	if got, want := d.loadPeers(), []string{"10.0.0.2:7000", "10.0.1.1:7100"}; !slices.Equal(got, want) {
		t.Errorf("loaded peers %q, want %q", got, want)
	}
}
