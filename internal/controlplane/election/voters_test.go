package election

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// heard is a core that a primary hears: for how long, how long ago last, and its state.
type heard struct {
	id       string
	since    clock.Micros // before now
	silence  clock.Micros
	draining bool
	hadVote  bool // it knows a committed term, so it is not empty
}

// TestVoterChanges has a as primary and b as replica; now is long after the start.
func TestVoterChanges(t *testing.T) {
	const now = 1000 * clock.Second
	const long = 60 * clock.Second
	b, c := heard{id: "b", since: long}, heard{id: "c", since: long}
	for name, test := range map[string]struct {
		voters string
		heard  []heard
		want   string // the next voters; "" when they stay
	}{
		"all voters are heard":                        {"abc", []heard{b, c}, ""},
		"a core joins":                                {"abc", []heard{b, c, {id: "d", since: long}}, "[a b c d]"},
		"a core that has just come waits":             {"abc", []heard{b, c, {id: "d", since: joinDelay - 1}}, ""},
		"a draining core is given no vote":            {"abc", []heard{b, c, {id: "d", since: long, draining: true}}, ""},
		"none joins beside a voter that is not heard": {"abc", []heard{b, {id: "d", since: long}, {id: "c", since: long, silence: 800 * clock.Millisecond}}, ""},
		"a lost voter's vote passes to an empty core early": {
			"abc", []heard{b, {id: "c", silence: testSettings.ReplaceSoonAfter + 1}, {id: "d", since: long}}, "[a b d]"},
		"and to one that had a vote later": {
			"abc", []heard{b, {id: "c", silence: testSettings.ReplaceSoonAfter + 1}, {id: "d", since: long, hadVote: true}}, ""},
		"which then has it": {
			"abc", []heard{b, {id: "c", silence: testSettings.ReplaceAfter + 1}, {id: "d", since: long, hadVote: true}}, "[a b d]"},
		"a draining voter's vote passes on at once": {
			"abc", []heard{b, {id: "c", draining: true}, {id: "d", since: long}}, "[a b d]"},
		"a draining voter stays while no other can have its vote": {"abc", []heard{b, {id: "c", draining: true}}, ""},
		"a lost member of the group is first replaced there":      {"abc", []heard{{id: "b", silence: long}, c}, ""},
		"one of four that drains loses its vote":                  {"abcd", []heard{b, c, {id: "d", draining: true}}, "[a b c]"},
		"one of four that is lost loses its vote":                 {"abcd", []heard{b, c, {id: "d", silence: testSettings.ReplaceAfter + 1}}, "[a b c]"},
		"there are no more than the most voters":                  {"abcefghij", []heard{b, c, {id: "e"}, {id: "f"}, {id: "g"}, {id: "h"}, {id: "i"}, {id: "j"}, {id: "k", since: long}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			vote := committedTerm()
			vote.Voters = nil
			for _, id := range test.voters {
				vote.Voters = append(vote.Voters, cores(string(id))...)
			}
			v := newVoter("a", testSettings, vote)
			v.listeningSince = now - long
			for _, h := range test.heard {
				v.contacts.byID[h.id] = h.contact(now)
			}
			next, ok := v.proposeVoterChange(now)
			got := ""
			if ok {
				got = fmt.Sprint(voterIDs(next.voters))
			}
			if got != test.want {
				t.Fatalf("the next voters are %q, not %q", got, test.want)
			}
			if ok && (next.assignment.Epoch != vote.Committed.Epoch+1 || next.assignment.Complete || next.reason == "") {
				t.Errorf("proposed is %+v", next)
			}
		})
	}
}

func (h heard) contact(now clock.Micros) contact {
	heartbeat := Heartbeat{Core: cores(h.id)[0], Incarnation: 1, Fleet: "f", Draining: h.draining, HeardCores: []string{"a"}}
	if h.hadVote {
		heartbeat.Vote.Committed = replication.Assignment{Epoch: 1}
	}
	return contact{heartbeat: heartbeat, heardAt: now - h.silence, firstHeardAt: now - h.since}
}

// A primary that was stopped itself takes no voter for lost before it has listened again.
func TestAPrimaryThatStoodStillTakesNobodyForLost(t *testing.T) {
	const now = 1000 * clock.Second
	v := newVoter("a", testSettings, committedTerm())
	v.contacts.byID["c"] = heard{id: "c", silence: 60 * clock.Second}.contact(now)
	v.lastTick = now - 30*clock.Second
	v.detectPause(now)
	if lost := v.lostVoter(testSettings.ReplaceAfter, now); lost != "" {
		t.Errorf("%s counts as lost right after the pause", lost)
	}
	if lost := v.lostVoter(testSettings.ReplaceAfter, now+testSettings.ReplaceAfter+1); lost != "c" {
		t.Errorf("lost is %q after the primary has listened", lost)
	}
}
