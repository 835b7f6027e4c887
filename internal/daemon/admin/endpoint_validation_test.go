package admin

import (
	"slices"
	"testing"

	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// An endpoint list is rejected with all its faults at once.
func TestEndpointListValidationReportsEveryFault(t *testing.T) {
	_, err := validateServers([]endpoints.Server{
		{Name: "a", Address: "127.0.0.1:9", Slots: 1},
		{Name: "a", Address: "somewhere", Slots: maxSlots + 1},
		{Name: "b c", Address: "127.0.0.1:9", Removed: true},
	})
	want := []string{
		"servers[1].name: is there twice; give each server its own",
		"servers[1].address: not an IP number with a port",
		"servers[1].slots: must be from 1 to 100000",
		"servers[2].name: must be a text without spaces and slashes",
		"servers[2].slots: must be from 1 to 100000",
		"servers[2].gone: leave the server out of the list instead",
	}
	if got := errs.Of(err).Faults; !errs.Is(err, errs.BadInput) || !slices.Equal(got, want) {
		t.Errorf("%v: %q", err, got)
	}
}
