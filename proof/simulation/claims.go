package simulation

import (
	"fmt"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
)

// Claimed is one claim as its edge saw it.
type Claimed struct {
	Key, Order   string
	Called, Told clock.Micros
	Yours        bool
	Winner       string
	Unknown      bool
	Refused      bool
}

// Claim claims one key for two orders at two edges.
func (v *Watch) Claim() {
	v.number++
	key := fmt.Sprintf("claim-%d", v.number)
	for i := 0; i < 2; i++ {
		order := fmt.Sprintf("%s/%d", key, i)
		v.Busy++
		tries := 0
		var try func()
		try = func() {
			n := v.edgeNode()
			if tries++; n == nil || tries > 6 {
				v.Busy--
				return
			}
			slot, owner, err := n.edge.Reader.StoreOf(shard.ClaimID(customer, key))
			if err != nil {
				v.w.After(v.w.between(50, 600)*clock.Millisecond, try)
				return
			}
			c := &Claimed{Key: key, Order: order, Called: v.w.Now}
			v.Claims = append(v.Claims, c)
			v.w.Ask(n, owner.Peer, store.ClaimAsk{Slot: slot, Claim: shard.Claim{Customer: customer, Key: key, Hash: "h", Order: order}, Expiry: 3 * clock.Second}, 4*clock.Second, func(answer any, err error) {
				c.Told = v.w.Now
				got, ok := answer.(store.ClaimAnswer)
				switch {
				case err == nil && ok:
					c.Yours, c.Winner = got.Yours, got.Claim.Order
					if known := v.winners[key]; known != "" && known != got.Claim.Order {
						v.breach(onceOnly, "claim %s was won by %s and by %s", key, known, got.Claim.Order)
					}
					v.winners[key] = got.Claim.Order
					v.Busy--
					return
				case errs.Is(err, errs.OutcomeUnknown):
					c.Unknown = true
				default:
					c.Refused = true
				}
				v.w.After(v.w.between(50, 600)*clock.Millisecond, try)
			})
		}
		v.w.After(v.w.between(0, 50)*clock.Millisecond, try)
	}
}
