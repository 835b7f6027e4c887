package keeper

import (
	"encoding/json"
	"testing"

	"tuliprudder/core/chart"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/tether"
)

// A backup that takes over from a store that has started again need not wait for
// the lease of the life that is over; from one that may only be cut off it does.
func TestALeaseEndsWithTheLifeItWasGrantedTo(t *testing.T) {
	for name, c := range map[string]struct {
		life uint64
		free bool
	}{"started again": {2, true}, "perhaps cut off": {1, false}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			m := chart.Map{Fleet: "f", Seq: 3, Stores: map[string]chart.Store{"a": {Peer: "a", Life: c.life}, "b": {Peer: "b", Life: 1}},
				Slots: []tether.Pairing{{Epoch: 2, Owner: tether.Member{ID: "b", Life: 1}, Backup: tether.Member{ID: "a", Life: c.life}, Trusted: [2]string{"a", "b"}}}}
			value, _ := json.Marshal(m)
			k := b.keepers["b"]
			effects := k.Do(News{Rumour: machine.Rumour{Key: chart.MapKey, Seq: m.Seq, Value: value}}, b.now)
			effects = append(effects, k.Do(ClockEvent{}, b.now+10*clock.Millisecond)...)
			copying := false
			for _, effect := range effects {
				if send, ok := effect.(machine.Send); ok {
					_, isCopy := send.Body.(tether.Copy)
					copying = copying || isCopy
				}
			}
			if copying != c.free {
				t.Fatalf("the copy began: %v", copying)
			}
		})
	}
}
