package simulator

import (
	"cmp"
	"fmt"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/membership"
)

// service is one kind of service at one edge or for one shard. Attempts go on until one
// succeeds.
type service struct {
	name       string
	attempt    func(succeed func())
	restoredAt clock.Micros // 0: not yet
	recent     int          // attempts of the last attemptInterval
}

const (
	attemptInterval   = 500 * clock.Millisecond
	maxRecentAttempts = 4
)

// checkServiceRestored requests every kind of service, at every edge and for every shard,
// until each is given: it has to be within serviceTimeout of the last fault.
func (v *Workload) checkServiceRestored(lastFaultAt clock.Micros) {
	w := v.world
	services := v.services(lastFaultAt)
	w.RunUntil(serviceTimeout, func() bool {
		for _, s := range services {
			if s.restoredAt == 0 && s.recent < maxRecentAttempts {
				s.attemptNow(w)
			}
		}
		return !slices.ContainsFunc(services, func(s *service) bool { return s.restoredAt == 0 })
	})
	for _, s := range services {
		v.countCheck(serviceRestored)
		duration := s.restoredAt - lastFaultAt
		if s.restoredAt == 0 {
			v.reportViolation(serviceRestored, "%s is not restored 12 s after the last fault: %s", s.name, w.Describe())
		} else if duration > v.SlowestRecovery {
			v.SlowestRecovery, v.SlowestService = duration, s.name
		}
	}
}

func (s *service) attemptNow(w *World) {
	s.recent++
	s.attempt(func() {
		if s.restoredAt == 0 {
			s.restoredAt = w.Now
		}
	})
	w.After(attemptInterval, func() { s.recent-- })
}

// services are all kinds of service, in an order that is the same for every run of a seed.
func (v *Workload) services(lastFaultAt clock.Micros) []*service {
	w := v.world
	var shards, edges []*service
	for shardNumber := range w.shardCount() {
		shards = append(shards, v.batchService(shardNumber))
	}
	for _, n := range w.nodes(membership.Edge) {
		edges = append(edges, v.liveServices(n)...)
		if w.Forwarding {
			edges = append(edges, v.forwardingServices(n)...)
		}
		edges = append(edges, v.feedService(n), v.pageService(n))
	}
	byName := func(one, other *service) int { return cmp.Compare(one.name, other.name) }
	slices.SortFunc(shards, byName)
	slices.SortFunc(edges, byName)
	return slices.Concat(shards, edges, []*service{v.configurationService(lastFaultAt)})
}

// liveServices are the live routes at an edge for every tenant.
func (v *Workload) liveServices(n *Node) []*service {
	var out []*service
	for _, route := range []string{"once", "flow", "long"} {
		for key, tenant := range tenantByKey {
			out = append(out, &service{name: n.Name + " " + route + " for " + key, attempt: func(succeed func()) {
				v.lastNumber++
				req := &Request{Tenant: tenant, Route: route, Kind: routeKinds[route], Input: fmt.Sprintf("back-%d", v.lastNumber)}
				v.addRequest(req)
				v.SendLive(n, req, succeedIfOK(req, succeed))
			}})
		}
	}
	return out
}

// forwardingServices are the forwarding routes at an edge.
func (v *Workload) forwardingServices(n *Node) []*service {
	var out []*service
	for _, route := range forwardedRoutes {
		out = append(out, &service{name: n.Name + " " + route + " forwarded", attempt: func(succeed func()) {
			v.lastNumber++
			req := v.newForwardedRequest(route, fmt.Sprintf("back-%d", v.lastNumber))
			v.SendForwarded(n, req, succeedIfOK(req, succeed))
		}})
	}
	return out
}

func succeedIfOK(req *Request, succeed func()) func() {
	return func() {
		if req.Outcome == outcomeOK {
			succeed()
		}
	}
}

func succeedWithoutError(succeed func()) func(any, error) {
	return func(_ any, err error) {
		if err == nil {
			succeed()
		}
	}
}

// feedService reads the feed at an edge.
func (v *Workload) feedService(n *Node) *service {
	return &service{name: n.Name + " feed", attempt: func(succeed func()) {
		read := requests.PageRequest{APIKey: callerKey, Read: reader.Request{ID: "back", Limit: 1}}
		v.callEdge(n, read, succeedWithoutError(succeed))
	}}
}

// pageService reads a page of an accepted batch at an edge.
func (v *Workload) pageService(n *Node) *service {
	return &service{name: n.Name + " list", attempt: func(succeed func()) {
		accepted := slices.IndexFunc(v.Batches, func(b *Batch) bool { return b.AcceptedAt > 0 })
		if accepted < 0 {
			succeed()
			return
		}
		v.callEdge(n, v.Batches[accepted].pageRequest(reader.Request{ID: "back", Limit: 1}), succeedWithoutError(succeed))
	}}
}

// batchService submits a batch of a shard.
func (v *Workload) batchService(shardNumber int) *service {
	key := v.batchKeyOfShard(shardNumber)
	return &service{name: fmt.Sprintf("batches of shard %d", shardNumber), attempt: func(succeed func()) {
		if b := v.batchByKey[key]; b == nil {
			v.SubmitBatchWithKey(key, 1, 500)
		} else if b.AcceptedAt > 0 {
			succeed()
		}
	}}
}

// batchKeyOfShard is an idempotency key whose batch belongs to a shard.
func (v *Workload) batchKeyOfShard(shardNumber int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("back-%d-%d", shardNumber, i)
		if shard.ShardOf(shard.BatchID(defaultTenant, key), v.world.shardCount()) == shardNumber {
			return key
		}
	}
}

// configurationService puts configurations until one is confirmed.
func (v *Workload) configurationService(lastFaultAt clock.Micros) *service {
	return &service{name: "configurations", attempt: func(succeed func()) {
		if v.LastServed[configurationsServed] > lastFaultAt {
			succeed()
		} else {
			v.PutConfiguration(false)
		}
	}}
}

// checkStillServed checks that live requests go on, some 6 s into the loss of all cores: the
// guarantee is for that one fault, so the stores have to have been healthy before it.
func (v *Workload) checkStillServed(reason string, since clock.Micros) {
	for _, name := range v.world.Names(membership.Store) {
		if !v.world.Nodes[name].healthySince(since - 15*clock.Second) {
			return
		}
	}
	for _, name := range v.world.Names(membership.Edge) {
		n := v.world.Nodes[name]
		if !n.healthySince(since - 5*clock.Second) {
			continue
		}
		v.countCheck(serviceRestored)
		lastServed := max(v.LastServed[name+" once"], v.LastServed[name+" flow"], v.LastServed[name+" long"])
		if lastServed < v.world.Now-3*clock.Second {
			outcomes := map[string]int{}
			for _, req := range v.Requests {
				if req.Edge == name && req.AnsweredAt > since {
					outcomes[req.Route+" "+req.Outcome+" "+string(req.Reason)]++
				}
			}
			v.reportViolation(serviceRestored, "%s, %s serves no live request; its callers had %v", reason, name, outcomes)
		}
	}
}
