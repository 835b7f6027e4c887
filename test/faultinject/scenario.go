package faultinject

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// scenario is a fleet with the callers and the fault of one run.
type scenario struct {
	ctx           context.Context
	fleet         *localfleet.Fleet
	settings      Settings
	drainingSpans []verify.DrainingSpan
	workloads     []*verify.Workload // of surges, beside the run's own
}

// wait waits for a span, or until the run is cancelled.
func (s *scenario) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// edgeAddresses are the HTTP addresses of the edges that there are now.
func (s *scenario) edgeAddresses() []string {
	var out []string
	for _, name := range s.fleet.Names("edge") {
		out = append(out, s.fleet.Get(name).HTTP)
	}
	return out
}

// get reads from the first edge that answers.
func (s *scenario) get(path string, into any) error {
	var err error
	for _, edge := range s.fleet.Names("edge") {
		if err = s.fleet.Call(edge, http.MethodGet, path, nil, into); err == nil {
			return nil
		}
	}
	return err
}

// nameByPeer finds a daemon's name by its address.
func (s *scenario) nameByPeer(peer string) (string, error) {
	for _, name := range s.fleet.Names("") {
		if s.fleet.Get(name).Peer == peer {
			return name, nil
		}
	}
	return "", errors.Errorf("no daemon at %s", peer)
}

// busiestStore is the store that owns most shards.
func (s *scenario) busiestStore() (string, error) {
	var m state.Map
	if err := s.get("/v1/operator/map", &m); err != nil {
		return "", err
	}
	owned := map[string]int{}
	best := ""
	for _, assignment := range m.Shards {
		owned[assignment.Primary.ID]++
		if best == "" || owned[assignment.Primary.ID] > owned[best] {
			best = assignment.Primary.ID
		}
	}
	return s.nameByPeer(m.Stores[best].Peer)
}

// primary is the core that serves.
func (s *scenario) primary() (string, error) {
	var core state.CoreUpdate
	if err := s.get("/v1/operator/core", &core); err != nil {
		return "", err
	}
	return s.nameByPeer(core.Peer)
}

func (s *scenario) firstEdge() (string, error) { return s.fleet.Names("edge")[0], nil }

func (s *scenario) firstServer() (string, error) { return s.fleet.Names("modelserver")[0], nil }

// chooseDaemon names the daemon that a fault is for.
type chooseDaemon func() (string, error)
