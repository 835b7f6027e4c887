// Package scoring rates model servers for a request: each scorer looks at one property of
// a server (Candidate) and returns a score or excludes the server; Sum adds the scores up,
// weighted by the configuration (docs/DESIGN.md sections 7.3 and 12.6).
//
// Everything here is a function of its arguments, and safe for concurrent use.
package scoring

import "tuliprudder/internal/config"

// Score is one scorer's result, for the operators.
type Score struct {
	Scorer          string  `json:"judge"`
	Value           float64 `json:"mark"`          // weighted
	ExclusionReason string  `json:"out,omitempty"` // "" where the server isn't excluded
}

// Scorer returns a score from 0 to 1, or a reason to exclude the server.
type Scorer func(required Requirements, c Candidate) (score float64, exclusionReason string)

// Names of the scorers that only exclude, and so have no weight; the others' are in
// package config. Operators see them, and their spelling never changes.
const (
	nameDraining   = "leaving"
	nameHealth     = "soundness"
	nameAdapter    = "adapter"
	nameWeights    = "weights"
	nameBatchShare = "share"
)

// Scorers are the scorers by name. They are asked in this order up to the first that
// excludes the server.
var Scorers = []struct {
	Name  string
	Score Scorer
}{
	{nameDraining, Draining},
	{nameHealth, Health},
	{nameAdapter, Adapter},
	{nameWeights, Weights},
	{nameBatchShare, BatchShare},
	{config.ScorerUtilization, Utilization},
	{config.ScorerPrefixAffinity, PrefixAffinity},
	{config.ScorerSpeed, Speed},
	{config.ScorerSpread, Spread},
	{config.ScorerPrefill, Prefill},
	{config.ScorerResponsiveness, Responsiveness},
	{config.ScorerRotation, Rotation},
	{config.ScorerReliability, Reliability},
	{config.ScorerQueue, Queue},
	{config.ScorerLocality, Locality},
}

// Sum adds the scorers' weighted scores up. It returns false where a scorer excludes the
// server; the last score then says why.
func Sum(weights map[string]float64, required Requirements, c Candidate) (float64, []Score, bool) {
	sum := 0.0
	scores := make([]Score, 0, len(Scorers))
	for _, scorer := range Scorers {
		value, reason := scorer.Score(required, c)
		value *= weights[scorer.Name]
		scores = append(scores, Score{Scorer: scorer.Name, Value: value, ExclusionReason: reason})
		if reason != "" {
			return 0, scores, false
		}
		sum += value
	}
	return sum, scores, true
}
