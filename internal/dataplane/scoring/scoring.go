// Package scoring rates model servers for a request: each scorer evaluates one property of a
// server (Candidate) and returns a score or excludes the server; Sum adds up the scores,
// weighted by the configuration (docs/DESIGN.md sections 7.3 and 12.6).
//
// All functions depend only on their arguments and are safe for concurrent use.
package scoring

import "tuliprudder/internal/config"

// Score is the result of one scorer, as operators see it.
type Score struct {
	Scorer          string  `json:"judge"`
	Value           float64 `json:"mark"`          // weighted
	ExclusionReason string  `json:"out,omitempty"` // "" if the server is not excluded
}

// Scorer returns a score from 0 to 1, or a reason to exclude the server.
type Scorer func(required Requirements, c Candidate) (score float64, exclusionReason string)

// Names of the scorers that only exclude servers and therefore have no weight; the names of the
// others are in package config. Operators see these names, so their spelling must not change.
const (
	nameDraining   = "leaving"
	nameHealth     = "soundness"
	nameAdapter    = "adapter"
	nameWeights    = "weights"
	nameBatchShare = "share"
)

// Scorers are all scorers with their names. They are evaluated in this order, up to the first one that
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

// Sum adds up the weighted scores of all scorers. It returns false if a scorer excludes the server;
// the last score then has the reason.
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
