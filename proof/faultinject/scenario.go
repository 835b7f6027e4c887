package faultinject

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/core/state"
	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

type scenario struct {
	ctx       context.Context
	fleet     *localfleet.Fleet
	set       Settings
	leaving   []verify.LeavingSpan
	workloads []*verify.Workload // others' than the run's own
}

func (s *scenario) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

func (s *scenario) ask(path string, into any) error {
	var err error
	for _, edge := range s.fleet.Names("edge") {
		if err = s.fleet.Ask(edge, http.MethodGet, path, nil, into); err == nil {
			return nil
		}
	}
	return err
}

// byPeer finds a daemon's name by its address.
func (s *scenario) byPeer(peer string) (string, error) {
	for _, name := range s.fleet.Names("") {
		if s.fleet.Get(name).Peer == peer {
			return name, nil
		}
	}
	return "", errors.Errorf("no daemon at %s", peer)
}

// busiest is the store that owns most slots.
func (s *scenario) busiest() (string, error) {
	var m state.Map
	if err := s.ask("/v1/operator/map", &m); err != nil {
		return "", err
	}
	owned := map[string]int{}
	best := ""
	for _, pairing := range m.Slots {
		owned[pairing.Primary.ID]++
		if best == "" || owned[pairing.Primary.ID] > owned[best] {
			best = pairing.Primary.ID
		}
	}
	return s.byPeer(m.Stores[best].Peer)
}

func (s *scenario) primary() (string, error) {
	var core state.CoreNews
	if err := s.ask("/v1/operator/core", &core); err != nil {
		return "", err
	}
	return s.byPeer(core.Peer)
}

func (s *scenario) edge() (string, error) { return s.fleet.Names("edge")[0], nil }

func (s *scenario) anyServer() (string, error) { return s.fleet.Names("modelserver")[0], nil }

type chooseDaemon func() (string, error)
