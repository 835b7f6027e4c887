package gossip

import "tuliprudder/internal/clock"

// Settings are the intervals and sizes of the protocol. Durations are in microseconds. All daemons of
// a fleet must have the same settings; Defaults returns those used in operation.
type Settings struct {
	// ProbeInterval is the time between probes; each probe goes to one member. Default 200 ms.
	ProbeInterval clock.Micros
	// ProbeTimeout is how long a prober waits for a reply, both in direct and in indirect probes.
	// Default 300 ms.
	ProbeTimeout clock.Micros
	// SuspicionTimeout is the time from suspect to dead, within which the suspect may refute the
	// suspicion. It is also the maximum age of this daemon's updates for declaring others dead, and
	// of its comparisons with voters for catching up after a start. Default 2 s.
	SuspicionTimeout clock.Micros
	// DigestInterval is the time between comparisons of digests with a peer. Default 300 ms.
	DigestInterval clock.Micros
	// ShuffleInterval is the time between shuffles of the partial view. Default 2 s.
	ShuffleInterval clock.Micros
	// Fanout is the number of peers in the own zone to which a new update is forwarded. Default 3.
	Fanout int
	// ViewSize is the number of peers in the partial view. Default 6.
	ViewSize int
	// RemoveDeadAfter is the time after which a dead member is removed from the directory.
	// Default 120 s.
	RemoveDeadAfter clock.Micros
	// Voters determines the voters. Default: none; then every reply from another zone advances
	// freshness.
	Voters VoterSource
}

// VoterSource determines the voters and their weights from updates that other packages encode.
type VoterSource struct {
	// Keys are the keys of the updates that Weights reads.
	Keys []string
	// Weights returns the weight of each voter by ID. values has the values of the updates by key,
	// without those that were not received. It returns none while the voters are unknown.
	Weights func(values map[string][]byte) map[string]int
}

// Defaults returns the settings used in operation, without voters.
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
