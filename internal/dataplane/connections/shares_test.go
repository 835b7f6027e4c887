package connections

import (
	"fmt"
	"testing"

	"tuliprudder/internal/membership"
)

// The limits of all daemons together do not exceed the connections that a server accepts,
// unless there are more daemons than connections.
func TestLimitsFitWithinServerTotal(t *testing.T) {
	for _, test := range []struct {
		total  int64
		slots  int
		shares DaemonCounts
	}{
		{180, 16, DaemonCounts{Edges: 9, Stores: 3}},
		{210, 32, DaemonCounts{Edges: 6, Stores: 4}},
		{410, 8, DaemonCounts{Edges: 53, Stores: 10}},
		{79, 16, DaemonCounts{Edges: 49, Stores: 9}},
		{60, 4, DaemonCounts{Edges: 3, Stores: 3}},
		{40, 64, DaemonCounts{Edges: 2, Stores: 6}},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			edge := test.shares.LimitFor(membership.Edge, test.total, test.slots)
			store := test.shares.LimitFor(membership.Store, test.total, test.slots)
			if sum := edge*test.shares.Edges + store*test.shares.Stores; int64(sum) > test.total || edge < 1 || store < 1 {
				t.Errorf("%d for each edge and %d for each store add up to %d, or a limit is below 1", edge, store, sum)
			}
		})
	}
}
