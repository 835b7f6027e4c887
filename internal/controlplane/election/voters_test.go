package election

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// testContact is a core from which the primary has received heartbeats.
type testContact struct {
	id           string
	heardFor     clock.Micros // time since the first heartbeat
	lastHeardAgo clock.Micros // time since the last heartbeat
	draining     bool
	hadVote      bool // it knows a committed term and is not empty
}

// Core a is the primary and b the replica; now is long after the start.
func TestVoterChanges(t *testing.T) {
	const now = 1000 * clock.Second
	const long = 60 * clock.Second
	b, c := testContact{id: "b", heardFor: long}, testContact{id: "c", heardFor: long}
	for name, test := range map[string]struct {
		voters string
		heard  []testContact
		want   string // the next voters; "" if they stay
	}{
		"all voters are heard":                       {"abc", []testContact{b, c}, ""},
		"a core joins":                               {"abc", []testContact{b, c, {id: "d", heardFor: long}}, "[a b c d]"},
		"a core that joined just now waits":          {"abc", []testContact{b, c, {id: "d", heardFor: joinDelay - 1}}, ""},
		"a draining core does not become a voter":    {"abc", []testContact{b, c, {id: "d", heardFor: long, draining: true}}, ""},
		"no core joins while a voter is unreachable": {"abc", []testContact{b, {id: "d", heardFor: long}, {id: "c", heardFor: long, lastHeardAgo: 800 * clock.Millisecond}}, ""},
		"an empty core replaces a lost voter early": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceSoonAfter + 1}, {id: "d", heardFor: long}}, "[a b d]"},
		"a former voter does not replace it early": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceSoonAfter + 1}, {id: "d", heardFor: long, hadVote: true}}, ""},
		"a former voter replaces it later": {
			"abc", []testContact{b, {id: "c", lastHeardAgo: testSettings.ReplaceAfter + 1}, {id: "d", heardFor: long, hadVote: true}}, "[a b d]"},
		"a draining voter is replaced at once": {
			"abc", []testContact{b, {id: "c", draining: true}, {id: "d", heardFor: long}}, "[a b d]"},
		"a draining voter stays while no core can replace it": {"abc", []testContact{b, {id: "c", draining: true}}, ""},
		"a lost member of the group is first replaced there":  {"abc", []testContact{{id: "b", lastHeardAgo: long}, c}, ""},
		"a draining voter of four is removed":                 {"abcd", []testContact{b, c, {id: "d", draining: true}}, "[a b c]"},
		"a lost voter of four is removed":                     {"abcd", []testContact{b, c, {id: "d", lastHeardAgo: testSettings.ReplaceAfter + 1}}, "[a b c]"},
		"no voter is added beyond maxVoters":                  {"abcefghij", []testContact{b, c, {id: "e"}, {id: "f"}, {id: "g"}, {id: "h"}, {id: "i"}, {id: "j"}, {id: "k", heardFor: long}}, ""},
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
				t.Fatalf("next voters %q, want %q", got, test.want)
			}
			if ok && (next.assignment.Epoch != vote.Committed.Epoch+1 || next.assignment.Complete || next.reason == "") {
				t.Errorf("proposed %+v", next)
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

// After a pause of its own process a primary considers a voter lost only once it has waited for
// heartbeats for the full timeout again.
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
		t.Errorf("lost voter is %q after a full timeout, want c", lost)
	}
}
