package reader

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// fixture is a Reader with one shard. The test takes the place of the shard's store.
type fixture struct {
	*Reader
	t     *testing.T
	calls *machine.Calls
	now   clock.Micros
	seq   uint64
	pages []Page
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, calls: machine.NewCalls(), now: clock.Second}
	f.Reader = New(f.calls)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: []replication.Assignment{{Epoch: 1}}})
	f.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, f.now)
	f.announce(5)
	return f
}

// announce delivers an announcement of the store's persisted-up-to position.
func (f *fixture) announce(upTo int64) {
	f.seq++
	value, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "store", PersistedUpTo: upTo, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	f.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: f.seq, Value: value}, f.now)
}

func (f *fixture) read(request Request) {
	f.Start(request, f.now, func(page Page, err error, _ clock.Micros) {
		if err != nil {
			f.t.Fatal(err)
		}
		f.pages = append(f.pages, page)
	})
}

// nextRequest returns the first request sent to the store since the last call; nil if there was none.
func (f *fixture) nextRequest() *machine.Request {
	for _, effect := range f.calls.Drain() {
		if request, ok := effect.(machine.Request); ok {
			return &request
		}
	}
	return nil
}
