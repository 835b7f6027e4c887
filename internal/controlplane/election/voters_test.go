package election

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// testContact is a core that a primary hears: for how long, how long ago last, and its state.
type testContact struct {
	id           string
	heardFor     clock.Micros // before now
	lastHeardAgo clock.Micros
	draining     bool
	hadVote      bool // it knows a committed term, so it is not empty
}

// TestVoterChanges has a as primary and b as replica; now is long after the start.
func TestVoterChanges(t *testing.T) {
	const now = 1000 * clock.Second
	const long = 60 * clock.Second
	b, c := testContact{id: "b", heardFor: long}, testContact{id: "c", heardFor: long}
	for name, test := range map[string]struct {
		voters string
		heard  []testContact
		want   string // the next voters; "" when they stay
	}{
		"all voters are heard":                        {"abc", []testContact{b, c}, ""},
		"a core joins":                                {"abc", []testContact{b, c, {id: "d", heardFor: long}}, "[a b c d]"},
		"a core that has just come waits":             {"abc", []testContact{b, c, {id: "d", heardFor: joinDelay - 1}}, ""},
		"a draining core is given no vote":            {"abc", []testContact{b, c, {id: "d", heardFor: long, draining: true}}, ""},
		"none joins beside a voter that is not heard": {"abc", []testContact{b, {id: "d", heardFor: long}, {id: "c", heardFor: long, lastHeardAgo: 800 * clock.Millisecond}}, ""},
		"a lost voter's vote passes to an empty core early": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceSoonAfter + 1}, {id: "d", heardFor: long}}, "[a b d]"},
		"and to one that had a vote later": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceSoonAfter + 1}, {id: "d", heardFor: long, hadVote: true}}, ""},
		"which then has it": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceAfter + 1}, {id: "d", heardFor: long, hadVote: true}}, "[a b d]"},
		"a draining voter's vote passes on at once": {
			"abc", []testContact{b, {id: "c", draining: true}, {id: "d", heardFor: long}}, "[a b d]"},
		"a draining voter stays while no other can have its vote": {"abc", []testContact{b, {id: "c", draining: true}}, ""},
		"a lost member of the group is first replaced there":      {"abc", []testContact{{id: "b", lastHeardAgo: long}, c}, ""},
		"one of four that drains loses its vote":                  {"abcd", []testContact{b, c, {id: "d", draining: true}}, "[a b c]"},
		"one of four that is lost loses its vote":                 {"abcd", []testContact{b, c, {id: "d", lastHeardAgo: testSettings.ReplaceAfter + 1}}, "[a b c]"},
		"there are no more than the most voters":                  {"abcefghij", []testContact{b, c, {id: "e"}, {id: "f"}, {id: "g"}, {id: "h"}, {id: "i"}, {id: "j"}, {id: "k", heardFor: long}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			vote := committedTerm()
			vote.Voters = nil
			for _, id := range test.voters {
				vote.Voters = append(vote.Voters, cores(string(id))...)
			}
			v := newVoter("a", testSettings, vote)
			v.runningSince = now - long
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

func (h testContact) contact(now clock.Micros) contact {
	heartbeat := Heartbeat{Core: cores(h.id)[0], Incarnation: 1, Fleet: "f", Draining: h.draining, HeardCores: []string{"a"}}
	if h.hadVote {
		heartbeat.Vote.Committed = replication.Assignment{Epoch: 1}
	}
	return contact{heartbeat: heartbeat, heardAt: now - h.lastHeardAgo, firstHeardAt: now - h.heardFor}
}

// A primary that was stopped itself takes no voter for lost before it has listened again.
func TestPausedPrimaryConsidersNoVoterLost(t *testing.T) {
	const now = 1000 * clock.Second
	v := newVoter("a", testSettings, committedTerm())
	v.contacts.byID["c"] = testContact{id: "c", lastHeardAgo: 60 * clock.Second}.contact(now)
	v.lastTick = now - 30*clock.Second
	v.detectPause(now)
	if lost := v.lostVoter(testSettings.ReplaceAfter, now); lost != "" {
		t.Errorf("%s counts as lost right after the pause", lost)
	}
	if lost := v.lostVoter(testSettings.ReplaceAfter, now+testSettings.ReplaceAfter+1); lost != "c" {
		t.Errorf("lost is %q after the primary has listened", lost)
	}
}
