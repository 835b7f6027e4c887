package admin

import (
	"slices"
	"testing"

	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// The error of an invalid endpoint list names all faults, not only the first.
func TestEndpointListValidationReportsEveryFault(t *testing.T) {
	_, err := validateServers([]endpoints.Server{
		{Name: "a", Address: "127.0.0.1:9", Slots: 1},
		{Name: "a", Address: "somewhere", Slots: maxSlots + 1},
		{Name: "b c", Address: "127.0.0.1:9", Removed: true},
	})
	want := []string{
		"servers[1].name: duplicate name; give each server its own",
		"servers[1].address: must be an IP address with a port",
		"servers[1].slots: must be from 1 to 100000",
		"servers[2].name: must be a non-empty string without spaces or slashes",
		"servers[2].slots: must be from 1 to 100000",
		"servers[2].gone: must not be set; omit the server from the list instead",
	}
	if got := errs.Of(err).Faults; !errs.Is(err, errs.BadInput) || !slices.Equal(got, want) {
		t.Errorf("%v: %q", err, got)
	}
}
