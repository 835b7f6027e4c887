package exclusive

import "tuliprudder/internal/clock"

// Settings are the times of permits; Defaults has the usual values.
type Settings struct {
	// Validity is for how long a holder may perform an act, from the moment at which it sent its
	// request. Default 2 s.
	Validity clock.Micros
	// HolderLease is for how long after its last permit a subject stays with its holder. It is longer
	// than Validity, so that the former holder's calls have ended before the next one's begin.
	// Default 3.5 s.
	HolderLease clock.Micros
	// PresenceTimeout is after how long without a request a holder counts as absent: a subject stays
	// with a holder that is present. Default 1.5 s.
	PresenceTimeout clock.Micros
	// MinRetryDelay and MaxRetryDelay are between two permits for an act that was not done; the delay
	// doubles with each. Defaults 300 ms and 2 s.
	MinRetryDelay, MaxRetryDelay clock.Micros
	// MaxFailures is how many times in a row the outside system may give no answer until a holder has
	// to leave the subject to another. Default 3.
	MaxFailures int
	// ExclusionTime is for how long such a holder gets no permit for the subject. Default 10 s.
	ExclusionTime clock.Micros
	// CallsPerSecond is how many calls the outside system takes a second, of all nodes together;
	// 0: any number. Default 10.
	CallsPerSecond int
}

// Defaults are the usual settings.
func Defaults() Settings {
	return Settings{
		Validity:        2 * clock.Second,
		HolderLease:     3500 * clock.Millisecond,
		PresenceTimeout: 1500 * clock.Millisecond,
		MinRetryDelay:   300 * clock.Millisecond,
		MaxRetryDelay:   2 * clock.Second,
		MaxFailures:     3,
		ExclusionTime:   10 * clock.Second,
		CallsPerSecond:  10,
	}
}

// InjectedFaults are faults that tests plant to show that their checks catch them. Set by tests only.
type InjectedFaults struct {
	NoHolderLease         bool // a subject passes on while the former holder's permits are valid
	IgnorePresence        bool // a subject passes on though its holder is present
	LatestProposedContent bool // a permit has the content that is proposed now, not the decided one
	StaleFence            bool // a new holder's permits have the former holder's fence
	// ValidFromArrival: permits count from the arrival of the response at the performer.
	ValidFromArrival bool
}
