package machine

import "tuliprudder/internal/clock"

// Update is one versioned value that gossip distributes. Of the updates of one key, the one with the
// highest (Epoch, Seq) wins. Its JSON is stored on the disks of the cores, so the keys must not
// change.
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

// Publish passes an update to the daemon's gossip node, which distributes it. It has no answer.
type Publish struct{ Update Update }

// Broadcast passes an update to the daemon's gossip node, which pushes it to the voters. The node
// answers the call with the number Call: with Body once a majority of the voters have the update, or
// with errs.OutcomeUnknown after Timeout.
type Broadcast struct {
	Update  Update
	Call    uint64
	Body    any
	Timeout clock.Micros // microseconds
}

// UpdateReceived is emitted by the gossip node, and tells the daemon's other machine about an update
// that this daemon did not have yet.
type UpdateReceived struct{ Update Update }

// Freshness is emitted by the gossip node, and tells the daemon's other machine the time up to which
// its updates are complete: they include all that a majority of the voters had at that time.
type Freshness struct{ At clock.Micros }

func (Publish) effect()        {}
func (Broadcast) effect()      {}
func (UpdateReceived) effect() {}
func (Freshness) effect()      {}
