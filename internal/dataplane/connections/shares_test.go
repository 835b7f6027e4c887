package connections

import (
	"fmt"
	"testing"

	"tuliprudder/internal/membership"
)

// All daemons' shares together keep to what a server takes, unless there are more
// daemons than connections.
func TestConnectionsAreShared(t *testing.T) {
	for _, test := range []struct {
		total  int64
		slots  int
		shares Shares
	}{
		{180, 16, Shares{Edges: 9, Stores: 3}},
		{210, 32, Shares{Edges: 6, Stores: 4}},
		{410, 8, Shares{Edges: 53, Stores: 10}},
		{79, 16, Shares{Edges: 49, Stores: 9}},
		{60, 4, Shares{Edges: 3, Stores: 3}},
		{40, 64, Shares{Edges: 2, Stores: 6}},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			edge := test.shares.Of(membership.Edge, test.total, test.slots)
			store := test.shares.Of(membership.Store, test.total, test.slots)
			if sum := edge*test.shares.Edges + store*test.shares.Stores; int64(sum) > test.total || edge < 1 || store < 1 {
				t.Errorf("%d for each edge and %d for each store make %d", edge, store, sum)
			}
		})
	}
}
