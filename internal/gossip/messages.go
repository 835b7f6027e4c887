package gossip

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// message is a message between gossip nodes. Its handler is in the file of the concept that it
// belongs to.
type message interface {
	handle(n *Node, from string, now clock.Micros)
}

// Messages between gossip nodes. The names of the types and fields are on the wire and must not
// change.
type (
	// Gossip has updates that are new to the sender, or that the receiver requested.
	Gossip struct{ Updates []machine.Update }
	// Digest has checksums of the versions of all updates that the sender knows, one per bucket of
	// keys (digest.go). Stamp is the time of sending on the sender's clock.
	Digest struct {
		Sums  []byte
		Stamp clock.Micros
	}
	// DigestReply answers a Digest with the buckets whose checksums differ, the versions that the
	// responder knows in these buckets, the stamp of the digest, and the responder's ages.
	DigestReply struct {
		Buckets   int // number of buckets of the digest
		Differing []int
		Known     map[string]Version
		Stamp     clock.Micros
		Ages      Ages
	}
	// DigestFetch requests the updates that the sender lacks according to a DigestReply.
	DigestFetch struct {
		Keys  []string
		Stamp clock.Micros
	}
	// DigestUpdates has updates that the receiver lacks according to a comparison of digests. Stamp
	// is that of the DigestFetch that requested them; 0 if they were sent without a request.
	DigestUpdates struct {
		Updates []machine.Update
		Stamp   clock.Micros
	}
	// FetchUpdates requests the updates of the keys; Gossip answers it.
	FetchUpdates struct{ Keys []string }
	// Announcement has the versions of large updates by key; a receiver that lacks one fetches it.
	Announcement struct{ Versions map[string]Version }
	// Probe requests a ProbeReply. In an indirect probe, For is the address of the daemon that
	// requested it; in a direct probe it is "".
	Probe struct {
		Nonce uint64
		For   string
	}
	// ProbeReply answers a Probe and repeats its fields.
	ProbeReply struct {
		Nonce uint64
		For   string
	}
	// IndirectProbe asks another daemon to probe the target, which is an address.
	IndirectProbe struct {
		Nonce  uint64
		Target string
	}
	// IndirectResult reports the result of an indirect probe.
	IndirectResult struct {
		Nonce   uint64
		Reached bool
	}
	// Shuffle has a sample of the sender's partial view; the receiver answers with one of its own,
	// which has Answer set.
	Shuffle struct {
		Peers  []string
		Answer bool
	}
	// PushUpdate sends an update directly to a voter and requests a PushAck.
	PushUpdate struct {
		Update machine.Update
		Nonce  uint64
	}
	// PushAck says that the voter with this ID knows the update, or a newer one of the same key.
	PushAck struct {
		Nonce uint64
		ID    string
	}
	// Version is the version of a key's update.
	Version struct{ Epoch, Seq uint64 }
	// Ages says for each voter, ordered by ID, how many microseconds ago the sender's updates last
	// included everything that the voter knew; -1 if that is unknown. Raw also counts voters that
	// have just restarted and may lack what they knew before. Voters is a checksum of the voters'
	// IDs: a daemon that knows a different set of voters can't use the ages.
	Ages struct {
		Voters       uint64
		Counted, Raw []clock.Micros
	}
)

func init() {
	transport.Register(
		Gossip{},
		Digest{},
		DigestReply{},
		DigestFetch{},
		DigestUpdates{},
		FetchUpdates{},
		Announcement{},
		Probe{},
		ProbeReply{},
		IndirectProbe{},
		IndirectResult{},
		Shuffle{},
		PushUpdate{},
		PushAck{},
	)
}

func versionOf(update machine.Update) Version { return Version{update.Epoch, update.Seq} }

// isNewerThan reports whether the version replaces the known update of the same key.
func (v Version) isNewerThan(known machine.Update) bool {
	return machine.Update{Epoch: v.Epoch, Seq: v.Seq}.Newer(known)
}

// IsMessage reports whether a message body is a message between gossip nodes.
func IsMessage(body any) bool {
	_, ok := body.(message)
	return ok
}
