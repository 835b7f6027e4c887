package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// model is a randomized model of a fleet: daemons restart and are partitioned, shards move, and
// messages are delayed, lost and reordered, while batches and live requests keep the quota nearly
// used up. The work admitted is compared with the quota at every step.
type model struct {
	*fleet
	rng          *rand.Rand
	events       []event // scheduled
	mixed        bool    // with live requests
	live         []*liveRequest
	partitioned  map[string]bool // daemons whose messages are all lost
	blockedLinks map[link]bool   // links whose messages are lost: partitions in one direction
	paused       map[string]bool // daemons that do nothing; messages to them arrive when they resume
	faultFree    bool            // messages arrive within 10 ms, and nothing fails
	// tenants are accounts with batches on the same route as batchAccount, each with its own quota.
	tenants []shard.AccountName

	longOutages bool // some shards are served by no store for minutes

	liftsLimit bool   // the limit is lifted at random times; version counts the configurations
	unlimited  bool   // the limit is lifted now
	limit      int    // applies while the limit is not lifted
	version    uint64 // of the configuration in force
	// limitedSince is the version since which there has been a limit; claimsOldestLimit makes
	// stores send version 1 instead.
	limitedSince      uint64
	claimsOldestLimit bool

	// Fault rates, drawn at random for each seed.
	lossRate, slowRate, lateMapRate float64
	actionsPerFault                 int

	admitted, rejected int // batches
	admittedBy         map[shard.AccountName]int
	maxWaiting         int // the largest weight pending or in use at any step
	excess             string
	log                []string
}

// link is the direction from one daemon to another.
type link struct{ from, to string }

type event struct {
	at  clock.Micros
	run func()
}

// liveRequest is a live request that was admitted and not yet released.
type liveRequest struct {
	daemon  *daemon
	weight  int
	release Release
}

const (
	modelShards = 6
	modelStep   = 20 * clock.Millisecond
	// actionsPerLift is the average number of actions before the limit is lifted.
	actionsPerLift = 400
)

func newModel(seed int64, mixed bool, faults InjectedFaults) *model {
	return newModelOf(newFleet(3, 4, modelShards), seed, mixed, faults)
}

// newModelOf returns a model of the given fleet.
func newModelOf(f *fleet, seed int64, mixed bool, faults InjectedFaults) *model {
	m := &model{fleet: f, rng: rand.New(rand.NewSource(seed)), mixed: mixed, version: 1, limitedSince: 1, limit: testQuota,
		admittedBy: map[shard.AccountName]int{}, partitioned: map[string]bool{}, blockedLinks: map[link]bool{}, paused: map[string]bool{}}
	m.faults = faults
	m.lossRate = m.rng.Float64() * 0.1
	m.slowRate = m.rng.Float64() * 0.4
	m.lateMapRate = m.rng.Float64() * 0.4
	m.actionsPerFault = 20 + m.rng.Intn(300)
	for _, id := range m.ids {
		m.boot(id)
	}
	m.route = m.transmit
	m.onRequest = func(sent sentRequest) {
		m.after(sent.Timeout, func() { m.receiveReply(sent, nil, errOwnerUnreachable()) })
	}
	return m
}

// after schedules a function.
func (m *model) after(delay clock.Micros, do func()) {
	m.events = append(m.events, event{m.now + delay, do})
}

// randomDelay draws a duration below a limit.
func (m *model) randomDelay(limit clock.Micros) clock.Micros {
	return clock.Micros(m.rng.Int63n(int64(limit)))
}

// transmit simulates the network: most messages take milliseconds, some take seconds or are lost.
func (m *model) transmit(from, to string, arrive func()) {
	delay := 1 + m.randomDelay(10*clock.Millisecond)
	draw := m.rng.Float64()
	switch {
	case m.faultFree:
	case draw < m.lossRate:
		return
	case draw < m.lossRate+m.slowRate/2:
		delay = m.randomDelay(300 * clock.Millisecond)
	case draw < m.lossRate+m.slowRate:
		delay = m.randomDelay(4 * clock.Second)
	}
	m.after(delay, func() { m.arrive(from, to, arrive) })
}

// arrive delivers a message, drops it, or delays it while its receiver is paused.
func (m *model) arrive(from, to string, arrive func()) {
	switch {
	case m.partitioned[from] || m.partitioned[to] || m.blockedLinks[link{from, to}]:
	case m.paused[to]:
		m.after(modelStep, func() { m.arrive(from, to, arrive) })
	default:
		arrive()
	}
}

// step advances the time by modelStep, ticks the daemons and runs the events that are due.
func (m *model) step() {
	m.now += modelStep
	for _, id := range m.ids {
		if !m.paused[id] {
			m.daemons[id].Tick(m.now)
		}
	}
	m.sendAndCheck()
	for due := m.nextDueEvent(); due != nil; due = m.nextDueEvent() {
		due()
		m.sendAndCheck()
	}
}

// nextDueEvent removes and returns the first event that is due, or nil.
func (m *model) nextDueEvent() func() {
	for i, e := range m.events {
		if e.at <= m.now {
			m.events = slices.Delete(m.events, i, i+1)
			return e.run
		}
	}
	return nil
}

// sendAndCheck transmits the messages that daemons have emitted, and checks the quota.
func (m *model) sendAndCheck() {
	m.send()
	m.check()
}

// check compares the work pending or in use with the quota. A live request no longer counts once
// its edge has failed to renew its lease: it ends soon after.
func (m *model) check() {
	waiting := m.pending()
	for _, r := range m.live {
		if m.now < r.daemon.liveClient(mixedAccount).share.ExpiresAt {
			waiting += r.weight
		}
	}
	m.maxWaiting = max(m.maxWaiting, waiting)
	m.checkWaiting("in all", waiting)
	for _, tenant := range m.tenants {
		m.checkWaiting(tenant.String(), m.pendingOf(tenant))
	}
}

// checkWaiting compares the work of one account with its quota.
func (m *model) checkWaiting(whose string, waiting int) {
	if waiting > testQuota && m.excess == "" && !m.liftsLimit {
		m.excess = fmt.Sprintf("%s weight %d is queued at %d ms; the quota is %d", whose, waiting, m.now/clock.Millisecond, testQuota)
		m.logf("EXCESS: %s", m.excess)
	}
}

// checkAdmission checks that nothing is admitted above the limit when it applies again after having
// been lifted: then more work than the limit may be pending, but no more is admitted.
func (m *model) checkAdmission() {
	waiting := m.pending()
	if m.liftsLimit && !m.unlimited && waiting > m.limit && m.excess == "" {
		m.excess = fmt.Sprintf("a batch was admitted at %d ms; now weight %d is pending, the quota is %d", m.now/clock.Millisecond, waiting, m.limit)
		m.logf("EXCESS: %s", m.excess)
	}
}

// quota returns the tenant's quota in the current configuration.
func (m *model) quota() AccountQuota {
	quota := accountQuota(m.mixed)
	quota.ConfigurationVersion = m.version
	quota.Limit = int64(m.limit)
	quota.LimitedSince = m.limitedSince
	if m.claimsOldestLimit {
		quota.LimitedSince = 1
	}
	return quota
}

// changeConfiguration puts another configuration with the same limit into effect; version numbers
// may have gaps.
func (m *model) changeConfiguration() {
	m.version += 1 + uint64(m.rng.Intn(4))
	m.logf("configuration %d sets the limit %d", m.version, m.limit)
}

// liftLimit puts a configuration without a limit into effect for longer than any lease request
// lasts, and then one with a limit, which may differ from the first.
func (m *model) liftLimit() {
	m.unlimited = true
	m.version++
	m.logf("configuration %d sets no limit", m.version)
	m.after(6*clock.Second+m.randomDelay(4*clock.Second), func() {
		m.unlimited = false
		m.version++
		m.limitedSince = m.version
		m.limit = testQuota/2 + m.rng.Intn(testQuota)
		m.logf("limit %d set by configuration %d; weight %d is pending", m.limit, m.version, m.pending())
		for _, id := range m.storeIDs() {
			m.after(m.randomDelay(3*clock.Second), func() { m.reportPending(id) })
		}
	})
}

// reportPending makes a store report work accepted without a grant, as it does when it receives a
// configuration with a limit.
func (m *model) reportPending(id string) {
	if !m.unlimited {
		m.daemons[id].ReportPending([]AccountQuota{m.quota()}, m.now)
	}
}

// acceptWithoutLimit queues a batch without a grant.
func (m *model) acceptWithoutLimit(shardIndex, weight int) {
	shard := m.shards[shardIndex]
	if shard.primary == "" || m.pending() > testQuota {
		return
	}
	shard.pending += weight
	m.logf("shard %d on %s accepts weight %d without a grant, total pending %d", shardIndex, shard.primary, weight, m.pending())
}

func (m *model) logf(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%7d ms  ", m.now/clock.Millisecond)+fmt.Sprintf(format, args...))
}

// randomAction performs a random action: usually on a batch or a live request, sometimes a fault.
func (m *model) randomAction() {
	switch action := m.rng.Intn(10); {
	case action < 4:
		m.submitBatch()
	case action < 6:
		m.finishItems()
	case action < 8 && m.mixed:
		m.reserveLive()
	case m.mixed:
		m.releaseLive()
	}
	if !m.faultFree && m.rng.Intn(m.actionsPerFault) == 0 {
		m.injectFault()
	}
	if m.liftsLimit && !m.unlimited && m.rng.Intn(actionsPerLift) == 0 {
		m.liftLimit()
	}
	if m.liftsLimit && !m.unlimited && m.rng.Intn(actionsPerLift/4) == 0 {
		m.changeConfiguration()
	}
}

// injectFault injects a random fault.
func (m *model) injectFault() {
	switch kind := m.rng.Intn(20); {
	case kind < 5:
		m.moveShard(homeShard(batchAccount, m.maps[0]))
	case kind < 12:
		m.moveShard(m.rng.Intn(modelShards))
	case kind < 16:
		m.restart(m.ids[m.rng.Intn(len(m.ids))])
	case kind < 19:
		m.partitionDaemon(m.ids[m.rng.Intn(len(m.ids))])
	default:
		m.restartAll()
	}
}

func (m *model) submitBatch() {
	shardIndex := m.rng.Intn(modelShards)
	weight := 1 + m.rng.Intn(30)
	if m.unlimited {
		m.acceptWithoutLimit(shardIndex, weight)
		return
	}
	quota := m.quota()
	quota.Account = m.randomAccount(quota.Account)
	m.submit(shardIndex, weight, quota, func(err error) {
		if err != nil {
			m.rejected++
			return
		}
		m.admittedBy[quota.Account] += weight
		m.checkAdmission()
		m.admitted++
		m.logf("shard %d on %s admits weight %d, total pending %d", shardIndex, m.shards[shardIndex].primary, weight, m.pending())
	})
}

// randomAccount draws one of the accounts.
func (m *model) randomAccount(first shard.AccountName) shard.AccountName {
	if len(m.tenants) == 0 {
		return first
	}
	if i := m.rng.Intn(1 + len(m.tenants)); i > 0 {
		return m.tenants[i-1]
	}
	return first
}

// finishItems completes a part of the items pending in a shard; their results become durable a
// little later.
func (m *model) finishItems() {
	shard := m.shards[m.rng.Intn(modelShards)]
	work := shard.workOf(m.randomAccount(batchAccount))
	if shard.primary == "" || work.pending == 0 {
		return
	}
	count := 1 + m.rng.Intn(work.pending)
	epoch := shard.epoch
	work.pending -= count
	work.unconfirmed += count
	m.after(m.randomDelay(300*clock.Millisecond), func() {
		if shard.epoch == epoch {
			work.unconfirmed -= count
		}
	})
}

func (m *model) reserveLive() {
	edges := m.edgeIDs()
	d := m.daemons[edges[m.rng.Intn(len(edges))]]
	weight := 1 + m.rng.Intn(6)
	d.Reserve(accountQuota(true), weight, m.now, func(release Release, err error, _ clock.Micros) {
		if err == nil {
			m.live = append(m.live, &liveRequest{d, weight, release})
		}
	})
}

func (m *model) releaseLive() {
	if len(m.live) == 0 {
		return
	}
	i := m.rng.Intn(len(m.live))
	m.live[i].release(m.now)
	m.live = slices.Delete(m.live, i, i+1)
}

// moveShard takes a shard from its primary and later assigns it to a store, which may be the same
// one. That store may find completed items again.
func (m *model) moveShard(shardIndex int) {
	shard := m.shards[shardIndex]
	if shard.primary == "" {
		return
	}
	shard.primary = ""
	shard.epoch++
	epoch := shard.epoch
	for _, account := range append([]accountName{batchAccount}, m.tenants...) {
		work := shard.workOf(account)
		work.pending += m.rng.Intn(work.unconfirmed + 1)
		work.unconfirmed = 0
	}
	outage := m.randomDelay(clock.Second)
	if m.longOutages && m.rng.Intn(4) == 0 {
		outage = 10*clock.Second + m.randomDelay(300*clock.Second)
	}
	m.after(outage, func() {
		if shard.epoch != epoch {
			return
		}
		stores := m.storeIDs()
		m.move(shardIndex, stores[m.rng.Intn(len(stores))])
		m.logf("shard %d is served by %s under epoch %d, weight %d is pending in it", shardIndex, shard.primary, shard.epoch, shard.pending)
		for _, id := range m.ids {
			limit := clock.Second
			if m.rng.Float64() < m.lateMapRate {
				limit = 8 * clock.Second
			}
			m.after(m.randomDelay(limit), func() { m.receiveMap(id) })
		}
	})
}

// restart restarts the process of a daemon. Its shards move; its live requests end.
func (m *model) restart(id string) {
	m.logf("%s restarts", id)
	for shardIndex, shard := range m.shards {
		if shard.primary == id {
			m.moveShard(shardIndex)
		}
	}
	d := m.daemons[id]
	m.live = slices.DeleteFunc(m.live, func(r *liveRequest) bool { return r.daemon == d })
	m.boot(id)
}

// restartAll restarts all stores, and in half of the cases all edges too.
func (m *model) restartAll() {
	ids := m.storeIDs()
	if m.rng.Intn(2) == 0 {
		ids = m.ids
	}
	for _, id := range ids {
		m.restart(id)
	}
}

// partitionDaemon isolates a daemon for a while. Its shards either move or stay with it.
func (m *model) partitionDaemon(id string) {
	m.partitioned[id] = true
	m.logf("%s is partitioned", id)
	m.after(m.randomDelay(5*clock.Second), func() {
		delete(m.partitioned, id)
		m.logf("%s is connected again", id)
	})
	if m.rng.Intn(2) == 0 {
		return
	}
	for shardIndex, shard := range m.shards {
		if shard.primary == id {
			m.after(m.randomDelay(2*clock.Second), func() {
				if shard.primary == id {
					m.moveShard(shardIndex)
				}
			})
		}
	}
}

// hideEdge removes an edge from another daemon's directory for a while.
func (m *model) hideEdge() {
	id := m.ids[m.rng.Intn(len(m.ids))]
	edges := m.edgeIDs()
	edge := edges[m.rng.Intn(len(edges))]
	if edge == id {
		return
	}
	m.unknownMembers[id] = []string{edge}
	m.logf("%s does not know %s", id, edge)
	m.after(m.randomDelay(5*clock.Second), func() { delete(m.unknownMembers, id) })
}

// run runs the model for the given number of steps.
func (m *model) run(steps int) {
	for range steps {
		m.randomAction()
		m.sendAndCheck()
		m.step()
	}
}

// logTail returns the last lines of the log.
func (m *model) logTail(lines int) string {
	out := ""
	for _, line := range m.log[max(0, len(m.log)-lines):] {
		out += "\n" + line
	}
	return out
}

// TestAdmittedWorkStaysWithinQuota searches many seeds for a step at which more work than the quota
// is admitted, with batches alone and with live requests as well. All daemons know the same members
// here: where edges disagree on the owner of an account with live requests, the bound is not exact.
func TestAdmittedWorkStaysWithinQuota(t *testing.T) {
	t.Parallel()
	const (
		seeds = 150
		steps = 1500
	)
	for _, mixed := range []bool{false, true} {
		admitted, rejected := 0, 0
		for seed := int64(1); seed <= seeds; seed++ {
			m := newModel(seed, mixed, InjectedFaults{})
			m.run(steps)
			if m.excess != "" {
				t.Fatalf("mixed %v, seed %d: %s%s", mixed, seed, m.excess, m.logTail(60))
			}
			admitted += m.admitted
			rejected += m.rejected
		}
		t.Logf("mixed %v: %d seeds, %d batches admitted, %d rejected", mixed, seeds, admitted, rejected)
	}
}

// Several tenants on one route submit up to their quotas. Each is bounded by its own quota, and is
// admitted no less than half and no more than twice as much as the batches without a tenant.
func TestTenantsOnRouteAreBoundedSeparately(t *testing.T) {
	t.Parallel()
	const (
		seeds = 60
		steps = 1500
	)
	admitted := map[shard.AccountName]int{}
	for seed := int64(1); seed <= seeds; seed++ {
		m := newModel(seed, false, InjectedFaults{})
		m.tenants = []shard.AccountName{{Tenant: "a", Route: "t"}, {Tenant: "b", Route: "t"}, {Tenant: "c", Route: "t"}}
		m.run(steps)
		if m.excess != "" {
			t.Fatalf("seed %d: %s%s", seed, m.excess, m.logTail(60))
		}
		for account, weight := range m.admittedBy {
			admitted[account] += weight
		}
	}
	t.Logf("admitted: %v", admitted)
	for account, weight := range admitted {
		if 2*weight < admitted[batchAccount] || weight > 2*admitted[batchAccount] {
			t.Errorf("%s was admitted weight %d, batches without a tenant %d", account, weight, admitted[batchAccount])
		}
	}
}

// A shard that no store serves for minutes, as in a long partition, counts throughout the outage
// and when it is served again: the time that an account waits for it is unlimited.
func TestQuotaHoldsDuringLongShardOutages(t *testing.T) {
	t.Parallel()
	const (
		seeds = 60
		steps = 12_000
	)
	admitted := 0
	for seed := int64(1); seed <= seeds; seed++ {
		m := newModel(seed, false, InjectedFaults{})
		m.longOutages = true
		m.run(steps)
		if m.excess != "" {
			t.Fatalf("seed %d: %s%s", seed, m.excess, m.logTail(60))
		}
		admitted += m.admitted
	}
	if admitted == 0 {
		t.Error("nothing was admitted")
	}
}

// pauseDaemon pauses a random daemon for a while.
func (m *model) pauseDaemon() {
	id := m.ids[m.rng.Intn(len(m.ids))]
	m.paused[id] = true
	m.logf("%s is paused", id)
	m.after(m.randomDelay(20*clock.Second), func() { delete(m.paused, id) })
}

// blockLink drops the messages from one daemon to another for a while, and removes the sender from
// the receiver's directory.
func (m *model) blockLink() {
	from, to := m.ids[m.rng.Intn(len(m.ids))], m.ids[m.rng.Intn(len(m.ids))]
	if from == to {
		return
	}
	m.blockedLinks[link{from, to}] = true
	known := m.unknownMembers[to]
	m.unknownMembers[to] = append(slices.Clone(known), from)
	m.logf("%s receives nothing from %s", to, from)
	m.after(m.randomDelay(20*clock.Second), func() {
		delete(m.blockedLinks, link{from, to})
		m.unknownMembers[to] = slices.DeleteFunc(m.unknownMembers[to], func(id string) bool { return id == from })
	})
}

// TestWorstExcessOfLiveAccounts searches for the largest excess of an account with live requests.
// Its owner is determined by each daemon's own directory, and here directories differ because of
// partitions in one direction, daemons pause, and messages are delayed and reordered, with few
// edges and with many. No bound is proven other than one by the number of owners; the test enforces
// the bound that searches have confirmed.
func TestWorstExcessOfLiveAccounts(t *testing.T) {
	const maxExcess = testQuota // of one account; a second owner may grant the quota once more
	for _, shape := range []struct{ edges, seeds, steps int }{{3, 100, 1500}, {9, 30, 1500}, {73, 2, 400}} {
		most, exceeded := 0, 0
		for seed := int64(1); seed <= int64(shape.seeds); seed++ {
			m := newModelOf(newFleet(shape.edges, 4, modelShards), seed, true, InjectedFaults{})
			m.unknownMembers = map[string][]string{}
			for range shape.steps {
				m.run(1)
				switch m.rng.Intn(150) {
				case 0:
					m.hideEdge()
				case 1, 2, 3:
					m.blockLink()
				case 4:
					m.pauseDaemon()
				}
			}
			most = max(most, m.maxWaiting)
			if m.maxWaiting > testQuota {
				exceeded++
			}
			if m.maxWaiting > testQuota+maxExcess {
				t.Fatalf("%d edges, seed %d: weight %d is queued%s", shape.edges, seed, m.maxWaiting, m.logTail(60))
			}
		}
		t.Logf("%d edges: %d of %d seeds admitted more than %d; %d at most", shape.edges, exceeded, shape.seeds, testQuota, most)
	}
}

// Where edges disagree on the owner of an account with live requests, the quota is exceeded by a
// tenth at most. (In a run of 1,500 seeds three exceeded the quota of 100, by 6 at most. With
// partitions in one direction and paused daemons as well, the excess may be larger:
// TestWorstExcessOfLiveAccounts.)
func TestExcessIsBoundedWhileDirectoriesDiffer(t *testing.T) {
	t.Parallel()
	const (
		seeds               = 100
		steps               = 1500
		stepsBetweenChanges = 400
	)
	for seed := int64(1); seed <= seeds; seed++ {
		m := newModel(seed, true, InjectedFaults{})
		m.unknownMembers = map[string][]string{}
		for range steps {
			m.run(1)
			if m.rng.Intn(stepsBetweenChanges) == 0 {
				m.hideEdge()
			}
		}
		if m.maxWaiting > testQuota+testQuota/10 {
			t.Fatalf("seed %d: weight %d is queued%s", seed, m.maxWaiting, m.logTail(60))
		}
	}
}

// Work that was accepted while a configuration set no limit counts as soon as a configuration sets
// one again.
func TestNoAdmissionAboveReinstatedLimit(t *testing.T) {
	t.Parallel()
	const (
		seeds = 150
		steps = 1500
	)
	for seed := int64(1); seed <= seeds; seed++ {
		m := newModel(seed, false, InjectedFaults{})
		m.liftsLimit = true
		m.run(steps)
		if m.excess != "" {
			t.Fatalf("seed %d: %s%s", seed, m.excess, m.logTail(60))
		}
	}
}

// The model detects stores that send a LimitedSince from before the limit was lifted, as if it had
// been in effect all the time.
func TestModelDetectsWrongLimitedSince(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 200; seed++ {
		m := newModel(seed, false, InjectedFaults{})
		m.liftsLimit, m.claimsOldestLimit = true, true
		for m.excess == "" && m.now < 60*clock.Second {
			m.run(1)
		}
		if m.excess != "" {
			t.Logf("seed %d: %s", seed, m.excess)
			return
		}
	}
	t.Error("not detected with any of 200 seeds")
}

// Once faults have ended, the whole quota can be used again: work that is counted too high does not
// stay so.
func TestQuotaIsUsableAfterFaults(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 50; seed++ {
		m := newModel(seed, false, InjectedFaults{})
		m.run(600)
		m.faultFree = true
		for range 500 { // 10 s, after which every map has arrived
			m.step()
		}
		for _, shard := range m.shards {
			shard.pending, shard.unconfirmed = 0, 0
		}
		for range 20 {
			m.step()
		}
		admitted := 0
		for shardIndex := range m.shards {
			m.submit(shardIndex, 16, accountQuota(false), func(err error) {
				if err == nil {
					admitted++
				}
			})
		}
		for range 100 {
			m.step()
		}
		if admitted != modelShards {
			t.Errorf("seed %d: %d of %d batches were admitted, pending weight %d%s", seed, admitted, modelShards, m.pending(), m.logTail(30))
		}
	}
}

// The model detects each disabled safeguard.
func TestModelDetectsEachInjectedFault(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		mixed  bool
		faults InjectedFaults
	}{
		"new owner grants before it has all reports":     {false, InjectedFaults{SkipRebuild: true}},
		"daemon grants from an account it does not own":  {false, InjectedFaults{SkipOwnershipCheck: true, AcceptOlderAccounts: true}},
		"reports applied in order of arrival":            {false, InjectedFaults{AcceptStaleReports: true}},
		"grant used after a newer report":                {false, InjectedFaults{UseStaleGrants: true}},
		"live requests use the returned part of a lease": {true, InjectedFaults{UseReturnedLease: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 200; seed++ {
				m := newModel(seed, test.mixed, test.faults)
				for m.excess == "" && m.now < 40*clock.Second {
					m.run(1)
				}
				if m.excess != "" {
					t.Logf("seed %d: %s", seed, m.excess)
					return
				}
			}
			t.Error("not detected with any of 200 seeds")
		})
	}
}
