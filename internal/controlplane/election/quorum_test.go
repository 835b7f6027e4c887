package election

import (
	"fmt"
	"testing"
)

// cores returns CoreRefs with the given IDs.
func cores(ids ...string) []CoreRef {
	var refs []CoreRef
	for _, id := range ids {
		refs = append(refs, CoreRef{ID: id, Peer: "peer-" + id, Zone: "zone-" + id})
	}
	return refs
}

func TestHaveMajorities(t *testing.T) {
	three, four := cores("a", "b", "c"), cores("b", "c", "d", "e")
	for name, c := range map[string]struct {
		quorums quorums
		agreed  string
		want    bool
	}{
		"two of three":                     {quorums{three}, "ab", true},
		"one of three":                     {quorums{three}, "a", false},
		"half of four":                     {quorums{four}, "bc", false},
		"three of four":                    {quorums{four}, "bcd", true},
		"a majority of the first set only": {quorums{three, four}, "ab", false},
		"a majority of both sets":          {quorums{three, four}, "bcd", true},
		"cores that are not voters":        {quorums{three}, "xyz", false},
		"the only voter":                   {quorums{cores("a")}, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			agreed := map[string]bool{}
			for _, id := range c.agreed {
				agreed[string(id)] = true
			}
			if got := c.quorums.haveMajorities(agreed); got != c.want {
				t.Errorf("haveMajorities returned %v", got)
			}
		})
	}
}

// Any two majorities of the same voters overlap, and coveringReplicas is the smallest number of
// replicas that overlaps with every majority.
func TestMajoritiesOverlap(t *testing.T) {
	for voters := 1; voters <= maxVoters; voters++ {
		if 2*majority(voters) <= voters {
			t.Errorf("two majorities of %d voters need not overlap", voters)
		}
		if copies := coveringReplicas(voters); copies+majority(voters) <= voters || copies-1+majority(voters) > voters {
			t.Errorf("%d replicas are not the smallest number that overlaps with every majority of %d voters", copies, voters)
		}
	}
}

func TestQuorumsForNextTerm(t *testing.T) {
	first, second, third := cores("a", "b", "c"), cores("b", "c", "d"), cores("c", "d", "e")
	for name, c := range map[string]struct {
		vote   Vote
		next   []CoreRef
		want   quorums
		before []CoreRef
	}{
		"the voters stay":                           {Vote{Voters: first, CommittedByAll: true}, first, quorums{first}, nil},
		"the voters change":                         {Vote{Voters: first, CommittedByAll: true}, second, quorums{first, second}, first},
		"the last change is not committed by all":   {Vote{Voters: second, OldVoters: first}, second, quorums{second, first}, first},
		"a change follows one not committed by all": {Vote{Voters: second, OldVoters: first}, third, quorums{second, first, third}, first},
		"the last change is committed by all":       {Vote{Voters: second, OldVoters: first, CommittedByAll: true}, second, quorums{second}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.vote.quorumsFor(c.next); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("quorums %v, want %v", got, c.want)
			}
			if got := c.vote.previousVoters(c.next); fmt.Sprint(got) != fmt.Sprint(c.before) {
				t.Errorf("previous voters %v, want %v", got, c.before)
			}
		})
	}
}
