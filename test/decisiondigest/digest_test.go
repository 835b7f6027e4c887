package decisiondigest

import (
	"errors"
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// timedEffect is one effect with its time and node.
type timedEffect struct {
	at     clock.Micros
	node   int
	effect machine.Effect
}

func digestOf(effects ...timedEffect) string {
	d := New()
	for _, e := range effects {
		d.Add(e.at, e.node, e.effect)
	}
	return d.Sum()
}

func sent(body any) timedEffect {
	return timedEffect{at: 5, node: 1, effect: machine.Send{To: "a", Body: body}}
}

// Two sets of types with the same structure and different names.
type (
	member  struct{ ID, Zone string }
	request struct {
		Term    uint64
		From    member
		Voters  []string
		Weights map[string]int64
		Next    *member
		Yes     bool
		state   int
	}

	peer    struct{ Name, Rack string }
	ballot  int64
	word    string
	details struct {
		Granted bool
		phase   int8
	}
	voteRequest struct {
		Round      uint64
		Name       string // what member held
		Rack       string
		Candidates []word
		Shares     map[word]ballot
		Following  *peer
		details
	}
)

func sampleRequest() request {
	return request{Term: 4, From: member{"a", "z"}, Voters: []string{"a", "b"}, Weights: map[string]int64{"a": 1, "b": 2, "c": 3}, Next: &member{"b", "y"}, Yes: true, state: 2}
}

func TestDigestIgnoresNames(t *testing.T) {
	renamed := voteRequest{Round: 4, Name: "a", Rack: "z", Candidates: []word{"a", "b"}, Shares: map[word]ballot{"c": 3, "b": 2, "a": 1}, Following: &peer{"b", "y"}, details: details{true, 2}}
	if digestOf(sent(sampleRequest())) != digestOf(sent(renamed)) {
		t.Error("the same values under other names have a different digest")
	}
}

func TestDigestDependsOnValues(t *testing.T) {
	want := digestOf(sent(sampleRequest()))
	for name, change := range map[string]func(r *request){
		"a number":                 func(r *request) { r.Term++ },
		"a text":                   func(r *request) { r.From.Zone = "y" },
		"a boolean":                func(r *request) { r.Yes = false },
		"an unexported field":      func(r *request) { r.state++ },
		"an order":                 func(r *request) { r.Voters = []string{"b", "a"} },
		"a shorter list":           func(r *request) { r.Voters = r.Voters[:1] },
		"a border between texts":   func(r *request) { r.From = member{"az", ""} },
		"a value of a map":         func(r *request) { r.Weights["b"] = 9 },
		"a key of a map":           func(r *request) { delete(r.Weights, "b"); r.Weights["d"] = 2 },
		"what a pointer points at": func(r *request) { r.Next.ID = "c" },
		"a pointer to nothing":     func(r *request) { r.Next = nil },
	} {
		changed := sampleRequest()
		if change(&changed); digestOf(sent(changed)) == want {
			t.Errorf("changing %s does not change the digest", name)
		}
	}
}

func TestDigestDependsOnEffects(t *testing.T) {
	record := machine.Record{Unit: "core", Kind: "entry", Epoch: 1, Seq: 2, Body: []byte("body")}
	first, second := sent(sampleRequest()), timedEffect{6, 2, machine.Persist{Token: 1, Records: []machine.Record{record}}}
	want := digestOf(first, second)
	other := record
	other.Body = []byte("Body")
	for name, effects := range map[string][]timedEffect{
		"another order":      {second, first},
		"one missing":        {first},
		"one more":           {first, second, second},
		"another time":       {first, {7, 2, second.effect}},
		"another node":       {first, {6, 1, second.effect}},
		"another receiver":   {{5, 1, machine.Send{To: "b", Body: sampleRequest()}}, second},
		"another record":     {first, {6, 2, machine.Persist{Token: 1, Records: []machine.Record{other}}}},
		"a record less":      {first, {6, 2, machine.Persist{Token: 1}}},
		"another kind of it": {first, {6, 2, machine.Archive{Token: 1, Records: []machine.Record{record}}}},
	} {
		if digestOf(effects...) == want {
			t.Errorf("%s: the digest is the same", name)
		}
	}
	logged := timedEffect{6, 1, machine.LogEvent{Event: voteLogged{Term: 4}}}
	if digestOf(first, logged, second) != want {
		t.Error("a log event changes the digest")
	}
}

// voteLogged is a log event.
type voteLogged struct {
	machine.Info
	Term uint64 `json:"term"`
}

func (voteLogged) EventName() string { return "vote" }

// Effects of different kinds have different digests even if their values are equal.
func TestEffectKindsAreDistinct(t *testing.T) {
	seen := map[effectKind]string{}
	for _, effect := range []machine.Effect{machine.LogEvent{}, machine.Send{}, machine.Persist{}, machine.Compact{}, machine.Archive{}, machine.DeleteArchive{}, machine.Reply{},
		machine.Publish{}, machine.UpdateReceived{}, machine.Execute{}, machine.Request{}, machine.Broadcast{}, machine.Freshness{}, machine.Halt{}} {
		name := fmt.Sprintf("%T", effect)
		if known := seen[kindOf(effect)]; known != "" {
			t.Errorf("%s and %s have the same kind", known, name)
		}
		seen[kindOf(effect)] = name
	}
	if digestOf(timedEffect{effect: machine.Publish{}}) == digestOf(timedEffect{effect: machine.UpdateReceived{}}) {
		t.Error("a published update has the same digest as a received one")
	}
}

// Messages with equal values are distinguished by their types, but not by the types' names.
func TestDigestDistinguishesMessageTypes(t *testing.T) {
	type (
		yield  struct{ Epoch uint64 }
		fenced struct{ Epoch uint64 }
	)
	if digestOf(sent(yield{1}), sent(fenced{1})) == digestOf(sent(yield{1}), sent(yield{1})) {
		t.Error("messages of two types have the same digest as messages of one type")
	}
	if digestOf(sent(yield{1}), sent(fenced{1})) != digestOf(sent(fenced{1}), sent(yield{1})) {
		t.Error("the types' names change the digest")
	}
}

func TestDigestIgnoresExplanatoryText(t *testing.T) {
	refused := func(reason string) timedEffect { return sent(election.VoteResponse{Epoch: 3, Reason: reason}) }
	if digestOf(refused("a higher term"), refused("another fleet")) != digestOf(refused("stale term"), refused("wrong cluster")) {
		t.Error("rewording a reason changes the digest")
	}
	if digestOf(refused("a higher term"), refused("another fleet")) == digestOf(refused("a higher term"), refused("a higher term")) {
		t.Error("two different reasons have the same digest as two equal ones")
	}
	if digestOf(sent(election.Heartbeat{Role: "backing"})) != digestOf(sent(election.Heartbeat{Role: "replica"})) {
		t.Error("rewording a role changes the digest")
	}
	if digestOf(sent(registration.Rejected{Reason: "a copy"})) != digestOf(sent(registration.Rejected{Reason: "a clone"})) {
		t.Error("rewording the reason of a rejection changes the digest")
	}
	if digestOf(sent(election.VoteResponse{From: "a"})) == digestOf(sent(election.VoteResponse{From: "b"})) {
		t.Error("a field that is not explanatory does not change the digest")
	}
}

func TestDigestIgnoresErrorMessages(t *testing.T) {
	answered := func(err error) string { return digestOf(timedEffect{effect: machine.Reply{Call: 1, Err: err}}) }
	want := answered(errs.NewWithRetry(errs.Busy, 7, "come back", "too many"))
	if answered(errs.NewWithRetry(errs.Busy, 7, "wait", "full")) != want {
		t.Error("rewording an error changes the digest")
	}
	for name, err := range map[string]error{
		"another kind":   errs.NewWithRetry(errs.NotReady, 7, "come back", "too many"),
		"another pause":  errs.NewWithRetry(errs.Busy, 8, "come back", "too many"),
		"more faults":    &errs.Error{Kind: errs.Busy, RetryAfterUS: 7, Faults: []string{"a"}},
		"an untyped one": errors.New("too many"),
		"none":           nil,
	} {
		if answered(err) == want {
			t.Errorf("%s: the digest is the same", name)
		}
	}
	inside := func(err *errs.Error) string { return digestOf(sent(struct{ Err *errs.Error }{err})) }
	if inside(&errs.Error{Kind: errs.Busy, Message: "full"}) != inside(&errs.Error{Kind: errs.Busy, Message: "too many"}) || inside(nil) == inside(&errs.Error{Kind: errs.Busy}) {
		t.Error("an error inside a message is not compared by its kind")
	}
}

// The encoding, including the ordinals of types, does not depend on the iteration order of maps.
func TestMapEncodingIsDeterministic(t *testing.T) {
	type (
		first  struct{ N int }
		second struct{ N int }
	)
	want := ""
	for range 50 {
		body := map[string]any{"a": first{1}, "b": second{1}, "c": first{2}, "d": second{2}, "e": 5}
		got := digestOf(sent(body), sent(second{3}))
		if want != "" && got != want {
			t.Fatal("the same map has different digests")
		}
		want = got
	}
}

func TestUnsupportedValuesPanic(t *testing.T) {
	type ring struct{ Next *ring }
	loop := &ring{}
	loop.Next = loop
	for name, body := range map[string]any{"a function": func() {}, "a value that points at itself": loop} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s is accepted, want a panic", name)
				}
			}()
			digestOf(sent(body))
		}()
	}
}
