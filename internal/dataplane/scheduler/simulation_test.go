package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// fakeServer is a model server in virtual time, with a number of slots, a service time and a
// prefix cache.
type fakeServer struct {
	name           string
	slotFreeAt     []clock.Micros // when each slot becomes free
	runningUntil   []clock.Micros
	serviceTime    clock.Micros
	cachedPrefixes []string
	busyTime       clock.Micros
}

// serve runs a request and returns its end time and whether its prefix was cached.
func (m *fakeServer) serve(now clock.Micros, prefix string) (clock.Micros, bool) {
	at := 0
	for i := range m.slotFreeAt {
		if m.slotFreeAt[i] < m.slotFreeAt[at] {
			at = i
		}
	}
	hit := slices.Contains(m.cachedPrefixes, prefix)
	m.cachedPrefixes = append(slices.DeleteFunc(m.cachedPrefixes, func(one string) bool { return one == prefix }), prefix)
	if len(m.cachedPrefixes) > 4 {
		m.cachedPrefixes = m.cachedPrefixes[1:]
	}
	duration := m.serviceTime
	if !hit {
		duration += 40 * clock.Millisecond
	}
	end := max(now, m.slotFreeAt[at]) + duration
	m.slotFreeAt[at] = end
	m.runningUntil = append(m.runningUntil, end)
	m.busyTime += duration
	return end, hit
}

func (m *fakeServer) load(now clock.Micros) int {
	m.runningUntil = slices.DeleteFunc(m.runningUntil, func(end clock.Micros) bool { return end <= now })
	return len(m.runningUntil)
}

type simulationResult struct {
	requests, cacheHits int
	p99                 clock.Micros
	imbalance           float64 // the busiest server's busy time divided by the mean
}

const (
	simulatedServers    = 12
	simulatedSchedulers = 6
	simulatedSlots      = 4 // of each server
	simulatedSteps      = 3000
	simulatedStep       = 5 * clock.Millisecond
)

// simulation runs the schedulers of several daemons in virtual time. They assign requests to the
// same servers, which have different speeds.
type simulation struct {
	t          *testing.T
	now        clock.Micros
	rng        *rand.Rand
	route      *config.Route
	servers    []*fakeServer
	byName     map[string]*fakeServer
	schedulers []*Scheduler
	nextReport map[*fakeServer]clock.Micros
	running    []runningRequest
	latencies  []clock.Micros
	result     simulationResult
}

// startedRequest is a request that a scheduler has just assigned.
type startedRequest struct {
	receivedAt clock.Micros
	prefix     string
	assignment *Assignment
}

type runningRequest struct {
	startedAt, endsAt clock.Micros
	assignment        *Assignment
}

func newSimulation(t *testing.T, seed int64, weights string) *simulation {
	t.Helper()
	configuration, err := config.Parse([]byte(`{"classes":[{"name":"a","rank":1,"allowance":1}],"customers":[{"name":"c","key":"k","class":"a"}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{}}],
	 "routes":[{"name":"r","kind":"one-shot","classes":{},"pools":{"u":"x"},"model":"m"}],"judges":` + weights + `}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	configuration.Version = 1
	s := &simulation{
		t:          t,
		now:        10 * clock.Second,
		rng:        rand.New(rand.NewSource(seed)),
		byName:     map[string]*fakeServer{},
		nextReport: map[*fakeServer]clock.Micros{},
	}
	s.route, _ = configuration.Route("r")
	for i := range simulatedServers {
		m := &fakeServer{
			name:        fmt.Sprintf("s%02d", i),
			slotFreeAt:  make([]clock.Micros, simulatedSlots),
			serviceTime: clock.Micros(40+10*(i%3)) * clock.Millisecond,
		}
		s.servers = append(s.servers, m)
		s.byName[m.name] = m
	}
	for i := range simulatedSchedulers {
		sc := New(Defaults(), seed*100+int64(i))
		sc.SetConfiguration(configuration, s.now)
		for _, m := range s.servers {
			sc.SetServer(endpoints.Server{Name: m.name, Slots: simulatedSlots})
		}
		s.schedulers = append(s.schedulers, sc)
	}
	return s
}

// simulate runs a simulation of 15 s of virtual time with the given scorer weights.
func simulate(t *testing.T, seed int64, weights string) simulationResult {
	t.Helper()
	s := newSimulation(t, seed, weights)
	for range simulatedSteps {
		s.now += simulatedStep
		s.endRequests()
		s.reportLoads()
		for _, sc := range s.schedulers {
			s.assign(sc)
		}
	}
	slices.Sort(s.latencies)
	s.result.p99 = s.latencies[len(s.latencies)*99/100]
	total, busiest := clock.Micros(0), clock.Micros(0)
	for _, m := range s.servers {
		total += m.busyTime
		busiest = max(busiest, m.busyTime)
	}
	s.result.imbalance = float64(busiest) * simulatedServers / float64(total)
	return s.result
}

func (s *simulation) endRequests() {
	s.running = slices.DeleteFunc(s.running, func(r runningRequest) bool {
		if r.endsAt > s.now {
			return false
		}
		r.assignment.Release(r.endsAt-r.startedAt, true, s.now)
		return true
	})
}

// reportLoads reports the servers' loads to all schedulers, more often for servers that are at
// least half full.
func (s *simulation) reportLoads() {
	for _, m := range s.servers {
		if s.now < s.nextReport[m] {
			continue
		}
		load := m.load(s.now)
		s.nextReport[m] = s.now + 400*clock.Millisecond
		if 2*load >= simulatedSlots {
			s.nextReport[m] = s.now + 100*clock.Millisecond
		}
		for _, sc := range s.schedulers {
			sc.SetLoad(m.name, 1, endpoints.Load{Running: load, Healthy: true, ReadAt: s.now})
		}
	}
}

// assign submits new requests to one scheduler and runs what it assigns.
func (s *simulation) assign(sc *Scheduler) {
	sc.AdvanceFreshness(s.now)
	for s.rng.Float64() < 0.22 {
		s.result.requests++
		prefix := fmt.Sprint(s.rng.Intn(24) * s.rng.Intn(24) / 24) // a skewed distribution
		receivedAt := s.now
		r := &Request{ID: fmt.Sprint(s.result.requests), Tenant: "c", Route: s.route, Priority: 1, Prefix: prefix}
		r.Start = func(assignment *Assignment, _ clock.Micros) {
			s.run(startedRequest{receivedAt: receivedAt, prefix: prefix, assignment: assignment})
		}
		r.Drop = func(err error, _ clock.Micros) { s.t.Errorf("request %s was dropped: %v", r.ID, err) }
		if err := sc.Submit(r, s.now); err != nil {
			s.t.Fatal(err)
		}
	}
	sc.Match(s.now)
}

func (s *simulation) run(started startedRequest) {
	endsAt, hit := s.byName[started.assignment.Server.Name].serve(s.now, started.prefix)
	if hit {
		s.result.cacheHits++
	}
	s.latencies = append(s.latencies, endsAt-started.receivedAt)
	s.running = append(s.running, runningRequest{startedAt: s.now, endsAt: endsAt, assignment: started.assignment})
}

// Compares all scorers together with fewer of them: prefix affinity raises the number of cache
// hits, and neither overloads a server nor raises the p99 latency.
func TestScorersTogether(t *testing.T) {
	sum := func(weights string) (out simulationResult) {
		for seed := int64(1); seed <= 3; seed++ {
			one := simulate(t, seed, weights)
			out.requests, out.cacheHits = out.requests+one.requests, out.cacheHits+one.cacheHits
			out.p99, out.imbalance = max(out.p99, one.p99), max(out.imbalance, one.imbalance)
		}
		t.Logf("%-55s %d requests, hits %.0f%%, p99 %d ms, imbalance %.2f", weights, out.requests, 100*float64(out.cacheHits)/float64(out.requests), out.p99/1000, out.imbalance)
		return out
	}
	all := sum(`{}`)
	withoutAffinity := sum(`{"prefix":0}`)
	strongAffinity := sum(`{"prefix":50,"fullness":1}`)
	if float64(all.cacheHits) < 1.15*float64(withoutAffinity.cacheHits) {
		t.Errorf("%d cache hits with affinity, %d without", all.cacheHits, withoutAffinity.cacheHits)
	}
	if all.p99 > withoutAffinity.p99*11/10 || all.imbalance > 1.6 {
		t.Errorf("with affinity p99 is %d us, without it %d us; imbalance %.2f", all.p99, withoutAffinity.p99, all.imbalance)
	}
	if strongAffinity.requests != all.requests {
		t.Errorf("the runs have different numbers of requests: %d and %d", strongAffinity.requests, all.requests)
	}
}
