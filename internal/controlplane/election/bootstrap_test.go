package election

import (
	"testing"

	"tuliprudder/internal/clock"
)

// founder returns a core at one of the seeds that has received heartbeats of other empty cores.
func founder(id string, settings Settings, others ...string) *voter {
	v := newVoter(id, settings, Vote{})
	for _, other := range others {
		v.contacts.record(Heartbeat{Core: cores(other)[0], Incarnation: 1, Bootstrap: settings.Bootstrap}, clock.Second)
	}
	return v
}

func TestFirstFounderBootstraps(t *testing.T) {
	first := testSettings
	first.Bootstrap, first.Founders = true, 3
	later := testSettings
	later.Founders = 3
	for name, c := range map[string]struct {
		voter    *voter
		requests int
	}{
		"the founder with the lowest ID":             {founder("a", first, "b", "c"), 2},
		"a founder with a higher ID":                 {founder("b", first, "a", "c"), 0},
		"a founder was not heard yet":                {founder("a", first, "b"), 0},
		"the settings do not mark the first start":   {founder("a", later, "b", "c"), 0},
		"a core that is not at a seed":               {founder("x", first, "a", "b", "c"), 0},
		"a core not at a seed in place of a founder": {founder("a", first, "b", "x"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.voter.maybeCampaign(clock.Second + 1)
			bodies, written := c.voter.sent()
			for _, body := range bodies {
				if request, ok := body.(VoteRequest); !ok || !request.Bootstrap || len(request.Voters) != 3 {
					t.Errorf("sent %+v; want a bootstrap request with three voters", body)
				}
			}
			if len(bodies) != c.requests || len(written) != 0 {
				t.Errorf("%d votes requested, %d records written", len(bodies), len(written))
			}
		})
	}
}

// A bootstrap needs the votes of all founders; a majority is not enough.
func TestBootstrapNeedsEveryFounder(t *testing.T) {
	settings := testSettings
	settings.Bootstrap, settings.Founders = true, 3
	v := founder("a", settings, "b", "c")
	v.maybeCampaign(clock.Second + 1)
	v.sent()
	v.HandleMessage("peer-b", VoteResponse{Epoch: 1, From: "b", Granted: true}, clock.Second+2)
	if _, written := v.sent(); len(written) != 0 {
		t.Fatal("bootstrap won with the votes of two of three founders")
	}
	v.HandleMessage("peer-c", VoteResponse{Epoch: 1, From: "c", Granted: true}, clock.Second+3)
	if _, written := v.sent(); len(written) != 1 || v.Vote().Term != 1 {
		t.Fatal("the candidate did not persist its own vote after all founders had granted theirs")
	}
}
