package quota

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

// An owner that has just started asks every store on the map before it grants, also
// those it has not heard of since its start; without a map it grants nothing. (Vietnam's
// trouble-3: after all processes were killed an owner knew too few stores.)
func TestAnOwnerWaitsForEveryStoreInTheMap(t *testing.T) {
	calls := machine.NewCalls()
	members := []membership.Member{{ID: "edge", Kind: membership.Edge, Peer: "e"}}
	q := New("edge", calls, func() []membership.Member { return members }, nil)
	var m state.Map
	q.ShardMap = func() (state.Map, bool) { return m, m.Seq > 0 }
	now := clock.Second
	request := func() (reply LeaseResponse) {
		q.handleLeaseRequest(LeaseRequest{Tenant: "c", DaemonID: "edge", Wanted: 10, Quota: 100, ConfigurationVersion: 1}, now, func(got LeaseResponse, _ clock.Micros) { reply = got })
		for _, effect := range calls.Drain() {
			if sent, ok := effect.(machine.Request); ok {
				calls.ReplyReceived(sent.Token, nil, nil, now)
			}
		}
		return reply
	}
	if got := request(); got.Ready || got.Granted != 0 {
		t.Fatalf("without a map it granted %+v", got)
	}
	m = state.Map{Seq: 1, Stores: map[string]state.Store{"store": {ID: "store"}, "old": {ID: "old", Evicted: true}},
		Shards: []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "store"}, Complete: true}}}
	if got := request(); got.Ready {
		t.Fatalf("it granted %+v before the store on the map had reported", got)
	}
	q.accounts["c"].RecordUsage("store", 95, now)
	if got := request(); !got.Ready || got.Granted != 5 {
		t.Fatalf("once the store had reported it granted %+v", got)
	}
}
