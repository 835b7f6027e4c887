package simulation

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
)

// Promise is one line of what must never happen; each breach is one's.
type Promise string

// The promises, as the users wrote them, in a few words each.
const (
	kept     Promise = "an accepted bundle is never lost, its results can be read"
	soon     Promise = "results can be read within about a second"
	exact    Promise = "each result exactly once, a position never changes"
	goesOn   Promise = "a reader goes on exactly where it left off"
	refused  Promise = "a bundle refused at every try never runs"
	ended    Promise = "an ended bundle starts nothing after about 3 s"
	onceOnly Promise = "a one-shot order never runs twice, one turned away never runs"
	mixed    Promise = "no answer is mixed up, none cut short looks whole"
	streamed Promise = "a stream never drops, repeats or joins pieces"
	leaving  Promise = "a leaving server gets no new work after about 3 s"
	inForce  Promise = "a plan is in force in about 2 s, never slips back, reads back"
	within   Promise = "waiting work stays within the allowance, by a tenth"
	back     Promise = "service is back within about 12 s"
	answered Promise = "a request that is passed on is answered or refused by its deadline"
	repeats  Promise = "a confirmed order that is sent again is never refused"
	typed    Promise = "the fleet works as its parts promise each other"
)

// Promises lists them.
var Promises = []Promise{kept, soon, exact, goesOn, refused, ended, onceOnly, mixed, streamed, leaving, inForce, within, back, answered, repeats}

// about is the grace for what is to hold within about 3 s.
const about = 300 * clock.Millisecond

// Breach is one breach of one promise.
type Breach struct {
	Promise Promise
	Text    string
	At      clock.Micros
}

// String is the breach as it is printed.
func (b Breach) String() string { return string(b.Promise) + ": " + b.Text }

func (v *Watch) breach(promise Promise, format string, args ...any) {
	b := Breach{Promise: promise, Text: fmt.Sprintf(format, args...), At: v.w.Now}
	v.w.Note("BREACH: %s", b)
	if len(v.Breaches) < 50 {
		v.Breaches = append(v.Breaches, b)
	}
}

// saw counts that a promise was put to the test.
func (v *Watch) saw(promise Promise) { v.Checked[promise]++ }

// Broke tells whether a promise was broken.
func (v *Watch) Broke(promise Promise) bool {
	for _, b := range v.Breaches {
		if b.Promise == promise {
			return true
		}
	}
	return false
}

// NotSeen lists the promises that were not put to the test.
func (v *Watch) NotSeen() []Promise {
	var out []Promise
	for _, promise := range Promises {
		if v.Checked[promise] == 0 {
			out = append(out, promise)
		}
	}
	return out
}

// Told is what callers were told, for a report.
func (v *Watch) Told() string {
	var out []string
	for outcome, count := range v.Counts {
		out = append(out, fmt.Sprintf("%s %d", outcome, count))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
