package endpoints

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The sequence number of an update is above that of the update it replaces, even if this daemon's clock is
// behind.
func TestServerUpdateSupersedesKnownUpdate(t *testing.T) {
	server := Server{Name: "s", Address: "s:1", Labels: map[string]string{"fleet": "main"}, Slots: 4, Draining: true}
	for known, want := range map[uint64]uint64{0: 100, 99: 100, 100: 101, 500: 501} {
		got := ServerUpdate(server, machine.Update{Key: "server/s", Seq: known}, clock.Micros(100))
		if got.Seq != want || got.Epoch != 0 || got.Key != "server/s" {
			t.Errorf("after %d: %+v", known, got)
		}
		var read Server
		if err := json.Unmarshal(got.Value, &read); err != nil || read.Name != "s" || !read.Draining || read.Slots != 4 {
			t.Errorf("%s decodes to %+v, %v", got.Value, read, err)
		}
	}
}
