package machine

import "tuliprudder/internal/clock"

// Update is one versioned value that gossip spreads: of a key the highest (Epoch, Seq) wins. Its
// JSON is on the disks of the cores; the keys never change.
type Update struct {
	Key   string `json:"Key"`
	Epoch uint64 `json:"Epoch"`
	Seq   uint64 `json:"Seq"`
	Value []byte `json:"Value"`
}

// Newer reports whether u replaces other.
func (u Update) Newer(other Update) bool {
	if u.Epoch != other.Epoch {
		return u.Epoch > other.Epoch
	}
	return u.Seq > other.Seq
}

// Publish hands an update to the daemon's gossip node, which spreads it. It has no answer.
type Publish struct{ Update Update }

// Broadcast hands an update to the daemon's gossip node, which pushes it to the voters. The node
// answers the call, with Body once a majority of the voters know the update, or with
// errs.OutcomeUnknown after Timeout.
type Broadcast struct {
	Update  Update
	Call    uint64
	Body    any
	Timeout clock.Micros // microseconds
}

// UpdateReceived is emitted by the gossip node, and tells the daemon's other machine of an update
// that is new here.
type UpdateReceived struct{ Update Update }

// Freshness is emitted by the gossip node, and tells the daemon's other machine up to when its
// updates are complete: they include what a majority of the voters knew then.
type Freshness struct{ At clock.Micros }

func (Publish) effect()        {}
func (Broadcast) effect()      {}
func (UpdateReceived) effect() {}
func (Freshness) effect()      {}
