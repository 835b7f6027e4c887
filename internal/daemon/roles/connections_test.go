package roles

import (
	"fmt"
	"testing"

	"tuliprudder/internal/membership"
)

// All daemons' shares together keep to what a server takes, unless there are more
// daemons than connections.
func TestConnectionsAreShared(t *testing.T) {
	for _, test := range []struct {
		total, slots int
		shares       connectionShares
	}{
		{180, 16, connectionShares{edges: 9, stores: 3}},
		{210, 32, connectionShares{edges: 6, stores: 4}},
		{410, 8, connectionShares{edges: 53, stores: 10}},
		{79, 16, connectionShares{edges: 49, stores: 9}},
		{60, 4, connectionShares{edges: 3, stores: 3}},
		{40, 64, connectionShares{edges: 2, stores: 6}},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			edge := test.shares.limit(membership.Edge, test.total, test.slots)
			store := test.shares.limit(membership.Store, test.total, test.slots)
			if sum := edge*test.shares.edges + store*test.shares.stores; sum > test.total || edge < 1 || store < 1 {
				t.Errorf("%d for each edge and %d for each store make %d", edge, store, sum)
			}
		})
	}
}
