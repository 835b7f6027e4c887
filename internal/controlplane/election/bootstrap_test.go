package election

import (
	"testing"

	"tuliprudder/internal/clock"
)

// founder is a core at one of the seeds, with the two other empty cores heard.
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
		"the first of all founders":                {founder("a", first, "b", "c"), 2},
		"another one leaves it to the first":       {founder("b", first, "a", "c"), 0},
		"not before all founders are heard":        {founder("a", first, "b"), 0},
		"not where it is not the first start":      {founder("a", later, "b", "c"), 0},
		"not a core that is at none of the seeds":  {founder("x", first, "a", "b", "c"), 0},
		"a core that is at no seed does not count": {founder("a", first, "b", "x"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.voter.maybeCampaign(clock.Second + 1)
			bodies, written := c.voter.sent()
			for _, body := range bodies {
				if request, ok := body.(VoteRequest); !ok || !request.Bootstrap || len(request.Voters) != 3 {
					t.Errorf("sent %+v", body)
				}
			}
			if len(bodies) != c.requests || len(written) != 0 {
				t.Errorf("%d are asked, %d writes", len(bodies), len(written))
			}
		})
	}
}

// A bootstrap needs every founder; a majority is not enough.
func TestBootstrapNeedsEveryFounder(t *testing.T) {
	settings := testSettings
	settings.Bootstrap, settings.Founders = true, 3
	v := founder("a", settings, "b", "c")
	v.maybeCampaign(clock.Second + 1)
	v.sent()
	v.HandleMessage("peer-b", VoteResponse{Epoch: 1, From: "b", Granted: true}, clock.Second+2)
	if _, written := v.sent(); len(written) != 0 {
		t.Fatal("two of three founders are enough")
	}
	v.HandleMessage("peer-c", VoteResponse{Epoch: 1, From: "c", Granted: true}, clock.Second+3)
	if _, written := v.sent(); len(written) != 1 || v.Vote().Term != 1 {
		t.Fatal("all have agreed, and its own vote is not written")
	}
}
