package scheduler

import "tuliprudder/kernel/clock"

// window bounds how many items a daemon keeps running on a server, by how long the
// server takes to begin one (delay-based congestion control; DESIGN §12.6): items
// take what live orders leave, and give way before those wait.
type window struct {
	size   float64
	base   clock.Micros // about the least delay of late
	cut    clock.Micros // when it was last made smaller
	steady bool         // it has been made smaller once: from then on it grows slowly
}

const (
	firstWindow = 4.0
	mostWindow  = 4096.0
	windowCut   = 0.8
	// A delay of twice the base and a slack means that work waits at the server.
	windowSlack = 40 * clock.Millisecond
	// One congestion is answered once.
	windowRest = 200 * clock.Millisecond
	// The base rises by one part in so many of what a delay exceeds it by.
	baseDrift = 256
)

// room is how many items may run.
func (w *window) room() int {
	if w.size == 0 {
		w.size = firstWindow
	}
	return max(1, int(w.size))
}

// began takes the delay from an item's start to its first event.
func (w *window) began(delay, now clock.Micros) {
	w.room()
	if w.base == 0 || delay < w.base {
		w.base = delay
	}
	w.base += (delay - w.base) / baseDrift
	switch {
	case delay > 2*w.base+windowSlack:
		if now-w.cut >= windowRest {
			w.size, w.cut, w.steady = max(1, w.size*windowCut), now, true
		}
	case w.steady:
		w.size = min(mostWindow, w.size+1/max(1, w.size))
	default:
		w.size = min(mostWindow, w.size+1)
	}
}
