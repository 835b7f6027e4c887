package admin

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/storage"
)

const (
	testDaemonID = "core-1"
	testPeer     = "127.0.0.1:0" // nothing listens there: the tests send nothing to other daemons
)

// fakePrimary is the state machine of a primary core that answers every call with the same
// response, and persists each record that it is called with.
type fakePrimary struct {
	response     any
	err          error
	receivedKeys chan string            // keys of the updates received
	diskStates   chan machine.DiskState // disk states reported to the machine
}

func newFakePrimary() *fakePrimary {
	return &fakePrimary{receivedKeys: make(chan string, 64), diskStates: make(chan machine.DiskState, 64)}
}

func (p *fakePrimary) Call(number uint64, body any, _ clock.Micros) []machine.Effect {
	if record, ok := body.(machine.Record); ok {
		return []machine.Effect{machine.Persist{Token: 1, Records: []machine.Record{record}}}
	}
	return []machine.Effect{machine.Reply{Call: number, Body: p.response, Err: p.err}}
}

func (p *fakePrimary) UpdateReceived(update machine.Update, _ clock.Micros) []machine.Effect {
	p.receivedKeys <- update.Key
	return nil
}

func (p *fakePrimary) DiskStateChanged(diskState machine.DiskState, _ clock.Micros) []machine.Effect {
	p.diskStates <- diskState
	return nil
}

func (p *fakePrimary) Message(string, any, clock.Micros) []machine.Effect              { return nil }
func (p *fakePrimary) Persisted(uint64, clock.Micros) []machine.Effect                 { return nil }
func (p *fakePrimary) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }
func (p *fakePrimary) FreshnessAdvanced(clock.Micros, clock.Micros) []machine.Effect   { return nil }
func (p *fakePrimary) Tick(clock.Micros) []machine.Effect                              { return nil }
func (p *fakePrimary) CompactAgain(clock.Micros) []machine.Effect                      { return nil }

// publish publishes an update and waits until the machine has received it.
func (p *fakePrimary) publish(t *testing.T, loop *eventloop.Loop, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	loop.Publish(machine.Update{Key: key, Epoch: 1, Seq: 1, Value: data})
	for got := range p.receivedKeys {
		if got == key {
			return
		}
	}
}

// newAdmin returns the administration API of a running daemon without peers. folder may be nil.
func newAdmin(t *testing.T, primary *fakePrimary, folder *storage.Folder) *Admin {
	t.Helper()
	self := eventloop.Identity{ID: testDaemonID, Incarnation: 3}
	member := membership.Member{ID: self.ID, Kind: membership.Core, Zone: "zone-a", Peer: testPeer, HTTP: "127.0.0.1:1", Incarnation: 3}
	loop := eventloop.New(member, nil, self, zerolog.Nop())
	loop.SetMachine(primary, folder)
	var cleanups cleanup.Stack
	t.Cleanup(cleanups.Run)
	if err := loop.Start(nil, &cleanups); err != nil {
		t.Fatal(err)
	}
	return &Admin{Loop: loop, Metrics: metrics.NewRegistry(), Ready: func() string { return "" }}
}

// routes holds the API's handlers, by method and path.
type routes map[string]httpserver.Handler

func (r routes) Handle(method, path string, handle httpserver.Handler) { r[method+" "+path] = handle }

// call is one call of the API.
type call struct {
	route string // method and path as registered
	query string
	vars  map[string]string // path parameters
	body  string
}

func (a *Admin) do(c call) (*httptest.ResponseRecorder, error) {
	registered := routes{}
	a.Routes(registered)
	method, path, _ := strings.Cut(c.route, " ")
	request := httptest.NewRequest(method, path+"?"+c.query, strings.NewReader(c.body))
	recorder := httptest.NewRecorder()
	return recorder, registered[c.route](recorder, pathvar.WithVars(request, c.vars))
}
