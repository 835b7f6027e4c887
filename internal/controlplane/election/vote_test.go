package election

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// noopState is an empty replicated state, for tests of the election alone.
type noopState struct{ election *Election }

func (noopState) Snapshot(string) replication.Snapshot   { return replication.Parts(nil) }
func (noopState) Install(string, [][]byte) [][]byte      { return nil }
func (noopState) LocalSnapshot(string) [][]byte          { return nil }
func (noopState) Restore(string, [][]byte)               {}
func (noopState) ApplyEntry(string, []byte)              {}
func (noopState) Confirmed(string, uint64, clock.Micros) {}
func (r noopState) GroupReady(_ string, epoch uint64, _ clock.Micros) {
	r.election.GroupReady(epoch)
}
func (r noopState) Deposed(string, uint64, clock.Micros) { r.election.Deposed() }

// voter is the election of one core. The test takes its effects: nothing is sent or written otherwise.
type voter struct {
	*Election
	effects     *machine.Effects
	groups      *replication.Groups
	termsServed int // number of terms that it began to serve
}

func newVoter(id string, settings Settings, vote Vote) *voter {
	v := &voter{effects: &machine.Effects{}}
	state := &noopState{}
	v.groups = replication.NewGroups(v.effects, state)
	identity := Identity{Core: cores(id)[0], Incarnation: 1, Seeds: []string{"peer-a", "peer-b", "peer-c"}}
	v.Election = New(identity, settings, v.groups, v.effects, func(clock.Micros) { v.termsServed++ })
	state.election = v.Election
	v.vote = vote
	return v
}

// sent returns the messages among the effects since the last call, and the tokens of the writes.
func (v *voter) sent() (bodies []any, written []uint64) {
	for _, effect := range v.effects.Drain() {
		switch e := effect.(type) {
		case machine.Send:
			bodies = append(bodies, e.Body)
		case machine.Persist:
			written = append(written, e.Token)
		}
	}
	return bodies, written
}

var testSettings = Settings{Tolerance: 1, HeartbeatInterval: 250 * clock.Millisecond, CoreTimeout: 1500 * clock.Millisecond, ReplaceAfter: 4 * clock.Second, ReplaceSoonAfter: 2 * clock.Second}

// committedTerm returns the vote of a core of fleet f that has committed term 5, with a as primary,
// b as replica, and the voters a, b and c.
func committedTerm() Vote {
	committed := replication.Assignment{Epoch: 5, Primary: replication.Member{ID: "a", Incarnation: 1}, Replicas: []replication.Member{{ID: "b", Incarnation: 1}}}.Completed()
	voters := cores("a", "b", "c")
	return Vote{Fleet: "f", Term: 5, Pending: committed, PendingVoters: voters, Committed: committed, Voters: voters, CommittedByAll: true}
}

// request returns a request of candidate b for a term that builds on committed term 5.
func request(epoch uint64, change func(r *VoteRequest)) VoteRequest {
	r := VoteRequest{Fleet: "f", Assignment: replication.Assignment{Epoch: epoch, Primary: replication.Member{ID: "b", Incarnation: 1}}, Voters: cores("a", "b", "c"), Base: 5, Candidate: cores("b")[0]}
	if change != nil {
		change(&r)
	}
	return r
}

func TestVoteRequestGrantedOrRefused(t *testing.T) {
	primaryHeartbeat := Heartbeat{Core: cores("a")[0], Incarnation: 1, Fleet: "f", Vote: committedTerm(), HoldsLease: true}
	for name, c := range map[string]struct {
		request VoteRequest
		heard   *Heartbeat // received 100 ms before
		granted bool
	}{
		"the next term":              {request(6, nil), nil, true},
		"a stale term":               {request(5, nil), nil, false},
		"a lower term":               {request(4, nil), nil, false},
		"a base below the committed": {request(6, func(r *VoteRequest) { r.Base = 4 }), nil, false},
		"another fleet":              {request(6, func(r *VoteRequest) { r.Fleet = "g" }), nil, false},
		"a voter of the committed term, not of the next": {request(6, func(r *VoteRequest) { r.Voters = cores("x", "y") }), nil, true},
		"the primary holds its lease":                    {request(6, nil), &primaryHeartbeat, false},
		"the candidate is the primary":                   {request(6, func(r *VoteRequest) { r.Candidate = cores("a")[0] }), &primaryHeartbeat, true},
		"a second bootstrap":                             {request(6, func(r *VoteRequest) { r.Bootstrap = true }), nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVoter("c", testSettings, committedTerm())
			now := 10 * clock.Second
			if c.heard != nil {
				v.contacts.record(*c.heard, now-100*clock.Millisecond)
			}
			v.HandleMessage("peer-b", c.request, now)
			if granted := v.Vote().Term == c.request.Assignment.Epoch && c.request.Assignment.Epoch > 5; granted != c.granted {
				t.Errorf("granted: %v", granted)
			}
		})
	}
}

// A core that is neither a voter of the committed term nor of the requested one refuses the vote.
func TestNonVoterGrantsNothing(t *testing.T) {
	v := newVoter("x", testSettings, committedTerm())
	v.HandleMessage("peer-b", request(6, nil), 10*clock.Second)
	if bodies, written := v.sent(); v.Vote().Term != 5 || len(written) != 0 || bodies[0].(VoteResponse).Granted {
		t.Errorf("sent %+v", bodies)
	}
}

// A vote is on disk before the response is sent, and a term is granted to one candidate only, also
// after a restart.
func TestVotePersistedBeforeResponse(t *testing.T) {
	v := newVoter("c", testSettings, committedTerm())
	now := 10 * clock.Second
	v.HandleMessage("peer-b", request(6, nil), now)
	bodies, written := v.sent()
	if len(bodies) != 0 || len(written) != 1 {
		t.Fatalf("before the write is synced: sent %v, %d writes; want nothing sent and 1 write", bodies, len(written))
	}
	record := v.VoteRecord()
	v.groups.Persisted(written[0], now)
	bodies, _ = v.sent()
	if response, ok := bodies[0].(VoteResponse); !ok || !response.Granted || response.Epoch != 6 {
		t.Fatalf("sent %+v; want a grant of term 6", bodies)
	}
	restarted := newVoter("c", testSettings, Vote{})
	if isVote, err := restarted.RestoreVote(record); !isVote || err != nil {
		t.Fatalf("RestoreVote returned %v, %v", isVote, err)
	}
	restarted.HandleMessage("peer-a", request(6, func(r *VoteRequest) { r.Assignment.Primary.ID = "a" }), now)
	bodies, written = restarted.sent()
	if response, ok := bodies[0].(VoteResponse); !ok || response.Granted || response.Reason == "" || len(written) != 0 {
		t.Fatalf("sent to another candidate of the same term: %+v; want a refusal with a reason", bodies)
	}
}

func TestRestoreOfDamagedVoteFails(t *testing.T) {
	v := newVoter("c", testSettings, Vote{})
	record := v.VoteRecord()
	record.Body = record.Body[:len(record.Body)-1]
	if isVote, err := v.RestoreVote(record); !isVote || !errs.Is(err, errs.Corrupt) || errs.Of(err).Remedy == "" {
		t.Errorf("damaged vote: RestoreVote returned %v, %v", isVote, err)
	}
	if isVote, err := v.RestoreVote(machine.Record{Unit: GroupUnit}); isVote || err != nil {
		t.Errorf("record of another unit: RestoreVote returned %v, %v", isVote, err)
	}
}

// A commit below the highest granted term is refused: a candidate may have won the higher term with
// this voter's grant.
func TestStaleCommitRefused(t *testing.T) {
	v := newVoter("c", testSettings, committedTerm())
	now := 10 * clock.Second
	v.HandleMessage("peer-b", request(7, nil), now)
	v.sent()
	commit := Commit{Fleet: "f", Assignment: request(6, nil).Assignment.Completed(), Voters: cores("a", "b", "c")}
	v.HandleMessage("peer-a", commit, now)
	if _, written := v.sent(); len(written) != 0 || v.Vote().Committed.Epoch != 5 {
		t.Errorf("term 6 was committed after term 7 was granted: %+v", v.Vote())
	}
	commit.Assignment.Epoch = 7
	v.HandleMessage("peer-b", commit, now)
	if _, written := v.sent(); len(written) != 1 || v.Vote().Committed.Epoch != 7 {
		t.Errorf("term 7 was not committed: %+v", v.Vote())
	}
}
