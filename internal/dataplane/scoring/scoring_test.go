package scoring

import (
	"testing"

	"tuliprudder/internal/clock"
)

// Each score is multiplied by its configured weight, and a single scorer can exclude a server.
func TestSum(t *testing.T) {
	healthy := Candidate{Healthy: true, Slots: 4, UtilizationLimit: 1, OwnRequests: 1, PrefillTokens: prefillScaleTokens}
	weights := map[string]float64{"fullness": 4, "spread": 2, "reading": 6, "silence": 20}
	sum, scores, ok := Sum(weights, Requirements{}, healthy)
	if want := 4*0.75 + 2*0.5 + 6*0.5 + 20*1; !ok || sum != want || len(scores) != len(Scorers) {
		t.Errorf("got sum %v, want %v; scores %v", sum, want, scores)
	}
	unresponsive := healthy
	unresponsive.UnresponsiveFor = clock.Second
	if other, _, ok := Sum(weights, Requirements{}, unresponsive); !ok || other != sum-20 {
		t.Errorf("unresponsive server: sum %v", other)
	}
	healthy.BatchUsage = &BatchUsage{Limit: 16, Prefilling: 1}
	if _, scores, ok := Sum(weights, Requirements{}, healthy); ok || scores[len(scores)-1].Scorer != "share" || scores[len(scores)-1].ExclusionReason == "" {
		t.Errorf("want exclusion by the scorer share, got %v", scores)
	}
}
