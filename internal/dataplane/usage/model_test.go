package usage

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/state"
	collector "tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

const (
	modelInterval = 5 * clock.Second
	modelDelay    = 10 * clock.Second
	modelTick     = 25 * clock.Millisecond
	modelCores    = 3
	modelEdges    = 6
	modelTenants  = 5
	// reportLag is the longest time until a count reaches the primary: a report interval, a lost report,
	// and the delivery of the next one.
	reportLag = 2*primaryreport.Interval + 900*clock.Millisecond
	// gossipLag is the longest time until an edge learns of a new primary.
	gossipLag = 800 * clock.Millisecond
)

// disturbances selects the kinds of disturbance that a run of the model injects.
type disturbances struct {
	primaryChanges, kills, drains, partitions, skewedClocks bool
}

// startedRequest is a request that started to run, as recorded by the model itself.
type startedRequest struct {
	tenant        string
	at            clock.Micros
	edge          *modelEdge
	isClockBehind bool // by true time its window was over already: the edge's clock is behind
}

// modelEdge is one incarnation of an edge.
type modelEdge struct {
	*Counter
	sender           *primaryreport.Sender
	calls            *machine.Calls
	id               string
	skew             clock.Micros // offset of its clock
	killedAt         clock.Micros // 0: it runs, or has drained completely
	hasEnded         bool
	rejectsRequests  bool // it was killed or drains
	partitionedUntil clock.Micros
	partitions       [][2]clock.Micros
	hasLostMessage   bool // its previous message or reply was lost
}

func (e *modelEdge) clock(now clock.Micros) clock.Micros { return now + e.skew }

// modelCore is a core, which learns of edges by membership updates.
type modelCore struct {
	*collector.Collector
}

// event is a scheduled function call. Events at the same time run in the order in which they were added.
type event struct {
	at    clock.Micros
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// model simulates edges, cores and the network between them in virtual time.
type model struct {
	rng             *rand.Rand
	disturbances    disturbances
	collectorFaults collector.InjectedFaults
	senderFaults    primaryreport.InjectedFaults
	now             clock.Micros
	events          eventHeap
	order           int

	edges        []*modelEdge
	incarnations int
	cores        [modelCores]*modelCore

	primary      int // -1: no primary
	epoch        uint64
	servingSince clock.Micros
	changes      []clock.Micros // of the primary
	kills        []clock.Micros // of cores that were primary

	table           exclusive.Table
	startedByWindow map[uint64][]startedRequest // by window, according to the edge's clock
	decided         []uint64
	missingRequests int
	requests        int
	violation       string
}

func newModel(seed int64, troubles disturbances, faults collector.InjectedFaults, sender primaryreport.InjectedFaults) *model {
	m := &model{
		rng: rand.New(rand.NewSource(seed)), disturbances: troubles, collectorFaults: faults, senderFaults: sender,
		now: 1000*modelInterval + 300*clock.Millisecond, primary: -1, startedByWindow: map[uint64][]startedRequest{},
	}
	for i := range m.cores {
		m.startCore(i)
	}
	for i := range modelEdges {
		m.startEdge(fmt.Sprint("edge-", i))
	}
	m.elect(0)
	m.tickEdges()
	m.pollForPermits()
	m.injectDisturbances()
	return m
}

func (m *model) schedule(delay clock.Micros, run func()) {
	m.order++
	heap.Push(&m.events, event{m.now + delay, m.order, run})
}

func (m *model) randomUpTo(span clock.Micros) clock.Micros { return 1 + m.rng.Int63n(span) }

func (m *model) run(until clock.Micros) {
	for m.violation == "" && len(m.events) > 0 && m.events[0].at <= until {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.3f s: ", float64(m.now-1000*modelInterval)/1e6) + fmt.Sprintf(format, args...)
	}
}

// startEdge starts an incarnation of an edge. A restarted edge keeps its ID, as a daemon with a disk does.
func (m *model) startEdge(id string) {
	m.incarnations++
	e := &modelEdge{calls: machine.NewCalls(), id: id}
	if m.disturbances.skewedClocks && m.rng.Intn(3) == 0 {
		e.skew = m.rng.Int63n(4*clock.Second) - 2*clock.Second
	}
	e.Counter = NewCounter(Settings{Interval: modelInterval}, e.calls)
	e.sender = primaryreport.NewSender(id, e.calls)
	e.sender.AddPart(e.Counter)
	e.sender.SetIncarnation(uint64(m.incarnations))
	e.sender.InjectedFaults = m.senderFaults
	m.edges = append(m.edges, e)
	m.announceMembership(e, uint64(m.incarnations), true, 100*clock.Millisecond, 800*clock.Millisecond)
	m.announcePrimary(e)
}

// announceMembership notifies each core, after a random delay, that an edge is live or not.
func (m *model) announceMembership(e *modelEdge, incarnation uint64, isLive bool, least, most clock.Micros) {
	for _, core := range m.cores {
		m.schedule(least+m.randomUpTo(most-least), func() {
			if isLive && e.hasEnded {
				return
			}
			core.SetEdge(e.id, incarnation, isLive)
		})
	}
}

// announcePrimary notifies an edge of the current primary, after a random delay.
func (m *model) announcePrimary(e *modelEdge) {
	if m.primary < 0 {
		return
	}
	update := state.CoreUpdate{Epoch: m.epoch, Peer: coreNames[m.primary], VoterPeers: coreNames}
	m.schedule(50*clock.Millisecond+m.randomUpTo(700*clock.Millisecond), func() { e.sender.SetPrimary(update) })
}

// startCore starts a core without any state; it learns of the edges after random delays.
func (m *model) startCore(i int) {
	settings := collector.Settings{Interval: modelInterval, Delay: modelDelay}
	core := &modelCore{Collector: collector.NewCollector(settings, func(machine.Effect) {})}
	core.InjectFaults(m.collectorFaults)
	core.SetConfiguredAt(m.now)
	m.cores[i] = core
	for at, e := range m.edges {
		m.schedule(m.randomUpTo(800*clock.Millisecond), func() {
			if !e.hasEnded {
				core.SetEdge(e.id, uint64(at+1), true)
			}
		})
	}
}

func (m *model) elect(core int) {
	m.primary, m.servingSince = core, m.now
	m.epoch++
	m.changes = append(m.changes, m.now)
	m.cores[core].Start(m.epoch, m.now)
	m.cores[core].SetDecided(m.table.Record(collector.Subject).LastNumber)
	for _, e := range m.edges {
		m.announcePrimary(e)
	}
}

func (m *model) tickEdges() {
	for _, e := range m.edges {
		if e.hasEnded {
			continue
		}
		if !e.rejectsRequests && m.rng.Intn(4) == 0 {
			m.startRequest(e)
		}
		e.sender.Tick(e.clock(m.now))
		m.sendReports(e)
	}
	m.schedule(modelTick, m.tickEdges)
}

func (m *model) startRequest(e *modelEdge) {
	tenant := fmt.Sprint("tenant-", min(m.rng.Intn(modelTenants), m.rng.Intn(modelTenants)))
	window := uint64(e.clock(m.now) / modelInterval)
	m.startedByWindow[window] = append(m.startedByWindow[window], startedRequest{tenant, m.now, e, uint64(m.now/modelInterval) > window})
	m.requests++
	e.RecordStart(tenant, e.clock(m.now))
}

// sendReports sends the messages that an edge's state machine emitted.
func (m *model) sendReports(e *modelEdge) {
	for _, effect := range e.calls.Drain() {
		switch effect := effect.(type) {
		case machine.Request:
			m.sendRequest(e, effect)
		case machine.Send:
			m.schedule(m.delay(), func() { m.deliverMessage(e, effect) })
		default:
			m.fail("%s emitted %+v", e.id, effect)
		}
	}
}

// deliverMessage delivers a message to a core. TCP loses none unless the edge is partitioned.
func (m *model) deliverMessage(e *modelEdge, message machine.Send) {
	if m.now >= e.partitionedUntil {
		m.cores[slices.Index(coreNames, message.To)].Receive(message.Body.(primaryreport.Report), m.now)
	}
}

// sendRequest transmits a report, which may be lost, delayed or duplicated, and its reply, which may be
// lost or delayed.
func (m *model) sendRequest(e *modelEdge, request machine.Request) {
	isAnswered := false
	answer := func(body any, err error) {
		if isAnswered || e.hasEnded {
			return
		}
		isAnswered = true
		e.calls.ReplyReceived(request.Token, body, err, e.clock(m.now))
		m.sendReports(e)
	}
	m.schedule(request.Timeout, func() { answer(nil, errors.New("timed out")) })
	deliver := func() {
		if m.now < e.partitionedUntil {
			return
		}
		reply, err := m.receive(request)
		if !m.isLost(e) {
			m.schedule(m.delay(), func() {
				if m.now >= e.partitionedUntil {
					answer(reply, err)
				}
			})
		}
	}
	if !m.isLost(e) {
		m.schedule(m.delay(), deliver)
	}
	if m.rng.Intn(20) == 0 {
		m.schedule(m.randomUpTo(9*clock.Second), deliver)
	}
}

// isLost decides whether a message from or to an edge is lost; two consecutive ones are never both lost.
func (m *model) isLost(e *modelEdge) bool {
	e.hasLostMessage = !e.hasLostMessage && m.rng.Intn(25) == 0
	return e.hasLostMessage
}

func (m *model) delay() clock.Micros {
	if m.rng.Intn(20) == 0 {
		return m.randomUpTo(600 * clock.Millisecond)
	}
	return m.randomUpTo(30 * clock.Millisecond)
}

// coreNames are the addresses of the cores.
var coreNames = []string{"0", "1", "2"}

// receive passes a report to the core at the request's address. A core that isn't primary stores the report
// too, but replies with an error.
func (m *model) receive(request machine.Request) (any, error) {
	at := slices.Index(coreNames, request.To)
	reply := m.cores[at].Receive(request.Body.(primaryreport.Report), m.now)
	if at != m.primary {
		return nil, errors.New("not primary")
	}
	return reply, nil
}

// pollForPermits simulates a node that requests permits: acts that are due are decided then.
func (m *model) pollForPermits() {
	if m.primary >= 0 {
		core := m.cores[m.primary]
		core.Advance(m.now)
		if due := core.Due(&m.table); len(due) > 0 {
			m.decide(core, due)
		}
	}
	m.schedule(100*clock.Millisecond+m.randomUpTo(400*clock.Millisecond), m.pollForPermits)
}

// decide decides acts; the primary learns a little later that they are durable. If the primary is killed
// before that, the acts may be decided or lost.
func (m *model) decide(core *modelCore, due []exclusive.Act) {
	if m.disturbances.primaryChanges && m.rng.Intn(12) == 0 {
		m.killPrimary()
		if m.rng.Intn(2) == 0 {
			return
		}
	} else {
		last := due[len(due)-1].Number
		m.schedule(m.randomUpTo(20*clock.Millisecond), func() { core.SetDecided(last) })
	}
	m.table.Apply(exclusive.Update{Grants: []exclusive.Grant{{Subject: collector.Subject, Holder: exclusive.Holder{Name: "h"}, Fence: 1, Acts: due}}})
	for _, act := range due {
		m.checkDecision(act)
		m.table.Apply(exclusive.Update{Settlements: []exclusive.Settlement{{Subject: collector.Subject, Numbers: []uint64{act.Number}}}})
	}
}

func (m *model) killPrimary() {
	dead := m.primary
	if dead < 0 {
		return
	}
	m.primary = -1
	m.kills = append(m.kills, m.now)
	m.startCore(dead)
	m.schedule(500*clock.Millisecond+m.randomUpTo(3*clock.Second), func() {
		m.elect((dead + 1 + m.rng.Intn(modelCores-1)) % modelCores)
	})
}

// injectDisturbances injects one of the selected disturbances at random intervals.
func (m *model) injectDisturbances() {
	m.schedule(200*clock.Millisecond+m.randomUpTo(3*clock.Second), m.injectDisturbances)
	e := m.edges[m.rng.Intn(len(m.edges))]
	switch m.rng.Intn(10) {
	case 0:
		if m.disturbances.primaryChanges && m.primary >= 0 {
			m.killPrimary()
		}
	case 1:
		if m.disturbances.primaryChanges && m.primary >= 0 {
			m.elect(m.primary) // in a new term, with other voters
		}
	case 2, 3:
		if m.disturbances.kills && !e.rejectsRequests {
			m.kill(e)
		}
	case 4:
		if m.disturbances.drains && !e.rejectsRequests {
			m.drain(e)
		}
	case 5, 6:
		if m.disturbances.partitions && m.now >= e.partitionedUntil && !e.rejectsRequests {
			e.partitionedUntil = m.now + m.randomUpTo(9*clock.Second)
			e.partitions = append(e.partitions, [2]clock.Micros{m.now, e.partitionedUntil})
		}
	}
}

func (m *model) incarnationOf(e *modelEdge) uint64 { return uint64(slices.Index(m.edges, e) + 1) }

// kill ends an edge without notice. It restarts within 3 s, possibly before the cores learn that it ended.
func (m *model) kill(e *modelEdge) {
	e.rejectsRequests, e.hasEnded, e.killedAt = true, true, m.now
	m.announceMembership(e, m.incarnationOf(e), false, 2*clock.Second, 5*clock.Second)
	m.schedule(m.randomUpTo(3*clock.Second), func() { m.startEdge(e.id) })
}

// drain shuts an edge down gracefully: it takes no more requests and reports its remaining counts.
func (m *model) drain(e *modelEdge) {
	e.rejectsRequests = true
	leave := func() {
		if e.hasEnded {
			return
		}
		e.hasEnded = true
		if e.hasUnreportedCounts(m) {
			e.killedAt = m.now
		}
		m.announceMembership(e, m.incarnationOf(e), false, 50*clock.Millisecond, 800*clock.Millisecond)
		m.schedule(m.randomUpTo(clock.Second), func() { m.startEdge(e.id) })
	}
	m.schedule(clock.Millisecond, func() {
		if e.hasEnded {
			return
		}
		e.sender.Flush(e.clock(m.now), func() { m.schedule(1, leave) })
		m.sendReports(e)
	})
}

// hasUnreportedCounts reports whether an edge has counts that the current primary has not acknowledged.
func (e *modelEdge) hasUnreportedCounts(m *model) bool {
	var report primaryreport.Report
	e.Add(&report, e.clock(m.now))
	return len(report.Usage) > 0
}

// checkDecision compares the decided counts of a window with the requests that started in it.
func (m *model) checkDecision(act exclusive.Act) {
	content, err := collector.DecodeContent(act.Content)
	if err != nil || content.Window != act.Number {
		m.fail("window %d has invalid content %s: %v", act.Number, act.Content, err)
		return
	}
	if n := len(m.decided); n > 0 && act.Number != m.decided[n-1]+1 {
		m.fail("window %d follows window %d", act.Number, m.decided[n-1])
	}
	m.decided = append(m.decided, act.Number)
	m.checkTime(act.Number)
	counted, allowedMissing := map[string]int64{}, map[string]int64{}
	for _, request := range m.startedByWindow[act.Number] {
		counted[request.tenant]++
		if m.mayBeMissing(request) {
			allowedMissing[request.tenant]++
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(counted)) {
		missing := counted[tenant] - content.Counts[tenant]
		m.missingRequests += int(max(0, missing))
		if missing < 0 || missing > allowedMissing[tenant] {
			m.fail("window %d has %d requests of %s; %d started, %d may be missing", act.Number, content.Counts[tenant], tenant, counted[tenant], allowedMissing[tenant])
		}
	}
	for tenant := range content.Counts {
		if counted[tenant] == 0 {
			m.fail("window %d has %s, of which no request started", act.Number, tenant)
		}
	}
}

// checkTime checks that a window is decided only after its end, and soon enough while a primary serves.
func (m *model) checkTime(window uint64) {
	const pollTime = 700 * clock.Millisecond
	end := clock.Micros(window+1) * modelInterval
	if m.now < end {
		m.fail("window %d is decided %d us before its end", window, end-m.now)
	}
	if latest := max(end+modelDelay*6/10, m.servingSince+3*clock.Second) + pollTime; m.now > latest {
		m.fail("window %d is decided %d us late", window, m.now-latest)
	}
}

// mayBeMissing reports whether a request may be missing from counts that are decided now.
func (m *model) mayBeMissing(request startedRequest) bool {
	if m.wasPartitioned(request) {
		return true
	}
	primaryKillsSince := 0
	for _, at := range m.kills {
		if at > request.at {
			primaryKillsSince++
		}
	}
	switch {
	case request.edge.killedAt > 0: // only the primary that it reported to has its counts
		primaryWasUnknown := slices.ContainsFunc(m.changes, func(at clock.Micros) bool {
			return at > request.at && at > request.edge.killedAt-reportLag-gossipLag
		})
		return primaryKillsSince > 0 || primaryWasUnknown || request.at > request.edge.killedAt-reportLag
	case request.edge.hasEnded: // a drained edge reported to all cores, of which two may have restarted since
		return primaryKillsSince > 1
	case request.isClockBehind: // the edge may be so new that the primary doesn't know it yet
		return request.at > m.now-reportLag-gossipLag
	}
	return false
}

// wasPartitioned reports whether a partition may have kept an edge from reporting a request to the current
// primary. An edge that has ended may have reported it to the former primary only.
func (m *model) wasPartitioned(request startedRequest) bool {
	return slices.ContainsFunc(request.edge.partitions, func(partition [2]clock.Micros) bool {
		isRecent := partition[1]+reportLag > m.now-clock.Second
		return partition[1]+reportLag > request.at && (isRecent || request.edge.hasEnded)
	})
}

// scenarios are the combinations of disturbances under which the decided counts must be right.
var scenarios = map[string]disturbances{
	"message loss":                      {},
	"primary changes":                   {primaryChanges: true},
	"primary changes and skewed clocks": {primaryChanges: true, skewedClocks: true},
	"drained edges":                     {drains: true},
	"drained edges and primary changes": {drains: true, primaryChanges: true},
	"killed edges":                      {kills: true},
	"cuts":                              {partitions: true},
	"all disturbances":                  {true, true, true, true, true},
}

func (m *model) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests, %d windows, %d missing, %d primary changes, %d incarnations", m.requests, len(m.decided), m.missingRequests, len(m.changes)-1, m.incarnations)
	return out.String()
}

func TestDecidedCountsMatchStartedRequests(t *testing.T) {
	const (
		seeds    = 60
		duration = 90 * clock.Second
	)
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		t.Run(name, func(t *testing.T) {
			requests, missing, windows := 0, 0, 0
			for seed := int64(1); seed <= seeds; seed++ {
				m := newModel(seed, scenarios[name], collector.InjectedFaults{}, primaryreport.InjectedFaults{})
				m.run(m.now + duration)
				if m.violation != "" {
					t.Fatalf("seed %d: %s (%s)", seed, m.violation, m)
				}
				if len(m.decided) < 10 {
					t.Fatalf("seed %d: %s", seed, m)
				}
				requests, missing, windows = requests+m.requests, missing+m.missingRequests, windows+len(m.decided)
			}
			t.Logf("%d requests in %d windows, %d missing", requests, windows, missing)
		})
	}
}

// The model must detect each injected fault, which disables one safeguard, so that a run without violations
// is meaningful.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, test := range map[string]struct {
		collector collector.InjectedFaults
		sender    primaryreport.InjectedFaults
	}{
		"repeated reports are added up":                               {collector: collector.InjectedFaults{AddRepeatedReports: true}},
		"counts of a restarted edge replace its former counts":        {collector: collector.InjectedFaults{ForgetIncarnations: true}},
		"counts are assigned to the window of their arrival":          {collector: collector.InjectedFaults{CountByArrival: true}},
		"a window is proposed at its end without waiting for reports": {collector: collector.InjectedFaults{ProposeWithoutWait: true}},
		"a new primary proposes without waiting for reports":          {collector: collector.InjectedFaults{ProposeAfterElection: true}},
		"acknowledgements are kept after a primary change":            {sender: primaryreport.InjectedFaults{KeepAcknowledgements: true}},
		"a drained edge reports to the primary only":                  {sender: primaryreport.InjectedFaults{FlushToPrimaryOnly: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= 100; seed++ {
				m := newModel(seed, disturbances{primaryChanges: true, drains: true}, test.collector, test.sender)
				m.run(m.now + 90*clock.Second)
				if m.violation != "" {
					t.Logf("seed %d: %s", seed, m.violation)
					return
				}
			}
			t.Error("no violation found with 100 seeds")
		})
	}
}
