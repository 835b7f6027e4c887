package exclusive

import "tuliprudder/internal/clock"

// Settings holds the timing and limits of permits; Defaults returns the default values.
type Settings struct {
	// Validity is how long a permit is valid, from the time at which the holder sent its request.
	// Default 2 s.
	Validity clock.Micros
	// HolderLease is how long after its last permit a subject stays with its holder. It is longer than
	// Validity, so that the previous holder's calls have ended before those of the next one begin.
	// Default 3.5 s.
	HolderLease clock.Micros
	// PresenceTimeout is how long after its last request a node counts as absent. A subject stays with
	// its holder while the holder is present. Default 1.5 s.
	PresenceTimeout clock.Micros
	// MinRetryDelay and MaxRetryDelay bound the delay before a subject's next permit when an act was not
	// done; the delay doubles each time. Defaults 300 ms and 2 s.
	MinRetryDelay, MaxRetryDelay clock.Micros
	// MaxFailures is the number of consecutive failures without an answer of the external system after
	// which the holder is excluded from the subject. Default 3.
	MaxFailures int
	// ExclusionTime is how long an excluded holder gets no permits for the subject, as long as another
	// node can take it over. Default 10 s.
	ExclusionTime clock.Micros
	// CallsPerSecond limits the calls to the external system, of all nodes together; 0 means no limit.
	// Default 10.
	CallsPerSecond int
}

// Defaults returns the default settings.
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

// InjectedFaults are set only by tests, to show that their checks detect such faults.
type InjectedFaults struct {
	NoHolderLease         bool // a subject is reassigned while the previous holder's permits are valid
	IgnorePresence        bool // a subject is reassigned although its holder is present
	LatestProposedContent bool // a permit has the content proposed now instead of the decided one
	StaleFence            bool // a new holder's permits have the previous holder's fence
	// ValidFromArrival: the validity of permits starts when the response arrives at the performer.
	ValidFromArrival bool
}
