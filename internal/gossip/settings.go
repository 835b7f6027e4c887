package gossip

import "tuliprudder/internal/clock"

// Settings are the protocol's intervals and sizes. Durations are in microseconds. The defaults
// (Defaults) are those of a fleet as it is run; every daemon of a fleet has the same.
type Settings struct {
	// ProbeInterval is the time between probes; each probe goes to one member. Default 200 ms.
	ProbeInterval clock.Micros
	// ProbeTimeout is how long a direct reply is awaited, and then how long an indirect prober
	// awaits its own. Default 300 ms.
	ProbeTimeout clock.Micros
	// SuspicionTimeout is the time from suspect to dead; the suspect may refute it until then. It
	// is also how old this daemon's updates may be while it declares others dead, and how old its
	// comparisons with voters may be to count for catching up after a start. Default 2 s.
	SuspicionTimeout clock.Micros
	// DigestInterval is the time between comparisons of digests with a peer. Default 300 ms.
	DigestInterval clock.Micros
	// ShuffleInterval is the time between shuffles of the partial view. Default 2 s.
	ShuffleInterval clock.Micros
	// Fanout is the number of peers of the own zone to which a new update is sent on. Default 3.
	Fanout int
	// ViewSize is the number of peers in the partial view. Default 6.
	ViewSize int
	// RemoveDeadAfter is the time after which a dead member is dropped from the directory.
	// Default 120 s.
	RemoveDeadAfter clock.Micros
	// Voters says who the voters are. Default: none, and then any answer from another zone
	// counts for freshness.
	Voters VoterSource
}

// VoterSource gives the voters and their weights, which stand in updates that other packages
// encode.
type VoterSource struct {
	// Keys are the keys of the updates that Weights reads.
	Keys []string
	// Weights reads the weight of each voter, by its identity, from the values of the updates, by
	// their keys; an update that was not received is absent. It returns none while the voters are
	// not known.
	Weights func(values map[string][]byte) map[string]int
}

// Defaults are the intervals and sizes of a fleet as it is run, without voters.
func Defaults() Settings {
	return Settings{
		ProbeInterval:    200 * clock.Millisecond,
		ProbeTimeout:     300 * clock.Millisecond,
		SuspicionTimeout: 2 * clock.Second,
		DigestInterval:   300 * clock.Millisecond,
		ShuffleInterval:  2 * clock.Second,
		Fanout:           3,
		ViewSize:         6,
		RemoveDeadAfter:  120 * clock.Second,
	}
}
