package gossip

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// message is a message between gossip nodes. Each one is handled beside the concern that it
// belongs to.
type message interface {
	handle(n *Node, from string, now clock.Micros)
}

// Messages between gossip nodes. The names of the types and fields are on the wire.
type (
	// Gossip has updates that are new to its sender, or that its receiver asked for.
	Gossip struct{ Updates []machine.Update }
	// Digest has checksums of the versions of all updates that the sender knows, by buckets of
	// keys (digest.go). Stamp is the time of sending on the sender's clock.
	Digest struct {
		Sums  []byte
		Stamp clock.Micros
	}
	// DigestReply answers a digest: the buckets whose checksums differ, the versions of the updates
	// that its sender knows in these, and the digest's stamp.
	DigestReply struct {
		Buckets   int // of the digest
		Differing []int
		Known     map[string]Version
		Stamp     clock.Micros
		Ages      Ages
	}
	// DigestFetch asks for the updates that the sender lacks by a digest's reply.
	DigestFetch struct {
		Keys  []string
		Stamp clock.Micros
	}
	// DigestUpdates has updates that the receiver lacks by a comparison of digests. Stamp is that
	// of the DigestFetch that asked for them, 0 where the sender saw that they are missing.
	DigestUpdates struct {
		Updates []machine.Update
		Stamp   clock.Micros
	}
	// FetchUpdates asks for the updates of some keys.
	FetchUpdates struct{ Keys []string }
	// Announcement has the versions of large updates by key; who lacks one fetches it.
	Announcement struct{ Versions map[string]Version }
	// Probe asks for a ProbeReply. For is the address of the daemon on whose behalf an indirect
	// prober probes, "" in a direct probe.
	Probe struct {
		Nonce uint64
		For   string
	}
	// ProbeReply answers a probe with its fields.
	ProbeReply struct {
		Nonce uint64
		For   string
	}
	// IndirectProbe asks another daemon to probe the target, an address.
	IndirectProbe struct {
		Nonce  uint64
		Target string
	}
	// IndirectResult is what the indirect prober found.
	IndirectResult struct {
		Nonce   uint64
		Reached bool
	}
	// Shuffle swaps samples of the partial views; Answer marks the second half of the swap.
	Shuffle struct {
		Peers  []string
		Answer bool
	}
	// PushUpdate delivers an update to a voter at once and asks for a PushAck.
	PushUpdate struct {
		Update machine.Update
		Nonce  uint64
	}
	// PushAck says that the voter ID knows the update, or a newer one of its key.
	PushAck struct {
		Nonce uint64
		ID    string
	}
	// Version is the version of one key's update.
	Version struct{ Epoch, Seq uint64 }
	// Ages says of each voter, in the order of their identities, up to how long ago the sender's
	// updates include all that the voter knew, in microseconds; -1 where that is not known. Raw
	// also counts voters that have only just restarted and may lack what they knew before.
	// Voters is a checksum of the voters' identities: the ages say nothing to a daemon that takes
	// others for the voters.
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

// isNewerThan reports whether the version replaces an update of the same key.
func (v Version) isNewerThan(known machine.Update) bool {
	return machine.Update{Epoch: v.Epoch, Seq: v.Seq}.Newer(known)
}

// IsMessage reports whether a message's body is one between gossip nodes.
func IsMessage(body any) bool {
	_, ok := body.(message)
	return ok
}
