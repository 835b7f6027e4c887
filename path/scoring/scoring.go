// Package scoring picks a server: many small scorers give scores that are added up
// (DESIGN §7.3, §12.6). A scorer may also rule a server out, and says why.
package scoring

import (
	"math"

	"tuliprudder/kernel/clock"
)

// Candidate is what is known of a server when an order looks for one.
type Candidate struct {
	Name      string
	Labels    map[string]string
	Slots     int
	Own       int          // this daemon's orders on it now
	Others    int          // the others', by its last figure
	Limit     float64      // fullness up to which this rank may fill it
	Leaving   bool         // marked as leaving
	Healthy   bool         // its health page answers, and orders come back
	Prefix    bool         // it lately ran the same prefix
	Latency   clock.Micros // what an order takes there of late
	Fastest   clock.Micros // the same of the fastest server
	RestUntil clock.Micros // it rejected an order; not before
	Now       clock.Micros
	Reading   int64        // prompt tokens of this daemon's orders that it has not begun
	Silent    clock.Micros // how long it has left this daemon's orders without a sign
	Turn      float64      // its place in this daemon's own order of servers, from 0 to 1
	Share     *Share       // set for an item that is passed on unchanged
}

// Share is what one store's items may take of a server: each keeps to its part,
// so that all together leave room for live orders.
type Share struct {
	Part    float64 // of what all stores' items may take, by what each has to run
	Window  int     // how many the server begins without delay; 0: not known
	Running int     // this daemon's items on the server
	Opening int     // those of them that it has not begun
}

// Requirements is what the order needs.
type Requirements struct{ Model, Adapter, Weights string }

// Score is one scorer's result.
type Score struct {
	Judge string  `json:"judge"`
	Value float64 `json:"mark"`
	Out   string  `json:"out,omitempty"`
}

// Scorer gives a mark from 0 to 1, or rules the server out with the reason.
type Scorer func(wish Requirements, c Candidate) (float64, string)

// Load is the estimate of what the server has: what the others had there at its
// last figure, and what this daemon has there now.
func (c Candidate) Load() int { return c.Others + c.Own }

// All are the scorers by name, in the order they are asked.
var All = []struct {
	Name  string
	Judge Scorer
}{
	{"leaving", Leaving}, {"soundness", Health}, {"adapter", Adapter}, {"weights", Weights},
	{"share", StoreShare}, {"fullness", Fullness}, {"prefix", Prefix}, {"speed", Speed}, {"spread", Spread},
	{"reading", Reading}, {"silence", Silence}, {"turn", Turn},
}

// Turn scores a server by its place in this daemon's own order. Daemons begin their
// orders at different servers, so that those which don't know of each other's latest
// orders seldom meet; the further ones are for when the first are busy.
func Turn(_ Requirements, c Candidate) (float64, string) { return 1 - c.Turn, "" }

// mostOpening is how many items of one store a server may have to begin at a time:
// it reads their prompts between the tokens of the others.
const mostOpening = 1

// StoreShare rules out a server on which this store's items have their part.
func StoreShare(_ Requirements, c Candidate) (float64, string) {
	switch {
	case c.Share == nil:
		return 0, ""
	case c.Share.Opening >= mostOpening:
		return 0, "has items to begin"
	case c.Share.Window > 0 && c.Share.Running >= c.Share.Window:
		return 0, "begins items late"
	case c.Share.Running >= max(1, int(math.Round(c.Limit*float64(c.Slots)*c.Share.Part))):
		return 0, "this store's items have their part of it"
	}
	return 0, ""
}

// readingScale is how many tokens of prompts halve the mark.
const readingScale = 2000

// Reading scores a server that has few tokens of prompts to read.
func Reading(_ Requirements, c Candidate) (float64, string) {
	return 1 / (1 + float64(c.Reading)/readingScale), ""
}

// mostSilence is how long a server may leave orders without a sign before others
// go elsewhere: one that is lost says nothing.
const mostSilence = 350 * clock.Millisecond

// Silence scores a server that lets hear of itself.
func Silence(_ Requirements, c Candidate) (float64, string) {
	if c.Silent > mostSilence {
		return 0, ""
	}
	return 1, ""
}

// Leaving rules out a server marked as leaving.
func Leaving(_ Requirements, c Candidate) (float64, string) {
	if c.Leaving {
		return 0, "marked as leaving"
	}
	return 0, ""
}

// Health rules out a server that does not answer, or rests.
func Health(_ Requirements, c Candidate) (float64, string) {
	if !c.Healthy {
		return 0, "not sound"
	}
	if c.Now < c.RestUntil {
		return 0, "rests after turning an order away"
	}
	return 0, ""
}

// Adapter rules out a server without the adapter the route names.
func Adapter(w Requirements, c Candidate) (float64, string) {
	if w.Adapter != "" && c.Labels["adapter"] != w.Adapter {
		return 0, "has not the adapter " + w.Adapter
	}
	return 0, ""
}

// Weights rules out a server with other weights than the route names.
func Weights(w Requirements, c Candidate) (float64, string) {
	if w.Weights != "" && c.Labels["weights"] != w.Weights {
		return 0, "has not the weights " + w.Weights
	}
	return 0, ""
}

// Fullness scores free room, and rules out a server full for this rank.
func Fullness(_ Requirements, c Candidate) (float64, string) {
	if c.Slots <= 0 {
		return 0, "has no slots"
	}
	full := float64(c.Load()) / float64(c.Slots)
	if full >= c.Limit {
		return 0, "full for this rank"
	}
	return max(0, 1-full), ""
}

// Prefix scores a server that lately ran the same prefix, but less the fuller it
// is: affinity must not overload it.
func Prefix(_ Requirements, c Candidate) (float64, string) {
	if !c.Prefix || c.Slots <= 0 {
		return 0, ""
	}
	return max(0, 1-float64(c.Load())/float64(c.Slots)), ""
}

// Speed scores a server by how close it comes to the fastest.
func Speed(_ Requirements, c Candidate) (float64, string) {
	if c.Latency <= 0 || c.Fastest <= 0 {
		return 0.5, ""
	}
	return min(1, float64(c.Fastest)/float64(c.Latency)), ""
}

// Spread scores a server that few of this daemon's own orders are on: figures
// that are old everywhere else are fresh here.
func Spread(_ Requirements, c Candidate) (float64, string) { return 1 / float64(1+c.Own), "" }

// Sum asks every judge and adds the weighted scores up.
func Sum(weights map[string]float64, wish Requirements, c Candidate) (float64, []Score, bool) {
	total := 0.0
	marks := make([]Score, 0, len(All))
	for _, one := range All {
		mark, out := one.Judge(wish, c)
		mark *= weights[one.Name]
		marks = append(marks, Score{Judge: one.Name, Value: mark, Out: out})
		if out != "" {
			return 0, marks, false
		}
		total += mark
	}
	return total, marks, true
}
