package machines

import (
	"encoding/json"
	"slices"
	"testing"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

func memberUpdate(member membership.Member) machine.Update {
	return machine.Update{Key: membership.Key(member.ID), Value: member.Encode()}
}

func TestAddressesOfTheCores(t *testing.T) {
	voters, err := json.Marshal(state.CoreUpdate{VoterPeers: []string{"p2", "p1", ""}})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		updates []machine.Update
		want    []string
	}{
		{"the seeds before any core is known", nil, []string{"seed"}},
		{
			"members by id", []machine.Update{
				memberUpdate(membership.Member{ID: "b", Kind: membership.Core, Peer: "p2"}),
				memberUpdate(membership.Member{ID: "a", Kind: membership.Core, Peer: "p1"}),
				memberUpdate(membership.Member{ID: "s", Kind: membership.Store, Peer: "p3"}),
			}, []string{"p1", "p2"},
		},
		{
			"the voters first, each core once", []machine.Update{
				memberUpdate(membership.Member{ID: "a", Kind: membership.Core, Peer: "p1"}),
				memberUpdate(membership.Member{ID: "c", Kind: membership.Core, Peer: "p3"}),
				{Key: state.CoreKey, Value: voters},
			}, []string{"p2", "p1", "p3"},
		},
		{
			"the seeds again once the last core is dead", []machine.Update{
				memberUpdate(membership.Member{ID: "a", Kind: membership.Core, Peer: "p1"}),
				memberUpdate(membership.Member{ID: "a", Kind: membership.Core, Peer: "p1", Status: membership.Dead}),
			}, []string{"seed"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory := newCoreDirectory()
			directory.seeds = []string{"seed", "seed"}
			for _, update := range test.updates {
				directory.receive(update)
			}
			if got := directory.addresses(); !slices.Equal(got, test.want) {
				t.Errorf("addresses %q, not %q", got, test.want)
			}
		})
	}
}
