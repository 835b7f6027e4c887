package faultinject

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/core/state"
	"tuliprudder/proof/localfleet"
)

// surge hands many bundles in at every edge at the same moment.
func (s *scenario) surge() error {
	tour := s.set.Workload(func() []string {
		var out []string
		for _, name := range s.fleet.Names("edge") {
			out = append(out, s.fleet.Get(name).HTTP)
		}
		return out
	})
	tour.Seed, tour.LiveWorkers, tour.Pace, tour.Bundles, tour.MostTries = s.set.Seed+7_000_000, 0, 0, 200, 3
	tour.Run(s.ctx)
	s.workloads = append(s.workloads, tour)
	return nil
}

// add starts one more store and waits until slots have moved to it; its seeds
// are edges and a store, no core.
func (s *scenario) add() error {
	edges := s.fleet.Names("edge")
	if err := s.fleet.Add("store", "store-new", "zone-1", []string{edges[0], edges[len(edges)-1], s.fleet.Names("store")[0]}); err != nil {
		return err
	}
	peer := s.fleet.Get("store-new").Peer
	return localfleet.Until(60*time.Second, func() error {
		var m state.Map
		if err := s.ask("/v1/operator/map", &m); err != nil {
			return err
		}
		owned := 0
		for _, pairing := range m.Slots {
			if m.Stores[pairing.Primary.ID].Peer == peer && pairing.Complete {
				owned++
			}
		}
		if owned < 2 {
			return errors.Errorf("the new store owns %d slots", owned)
		}
		return nil
	})
}

// retire empties the busiest store, waits until nothing depends on it, and ends
// it. Then retiring another has to be refused if the rest would be in one zone.
func (s *scenario) retire() error {
	name, err := s.busiest()
	if err != nil {
		return err
	}
	var m state.Map
	if err := s.ask("/v1/operator/map", &m); err != nil {
		return err
	}
	byName := map[string]string{}
	for id, store := range m.Stores {
		if found, err := s.byPeer(store.Peer); err == nil {
			byName[found] = id
		}
	}
	edge := s.fleet.Names("edge")[0]
	empty := func(id string) error {
		var got struct {
			Retired bool `json:"retired"`
			Left    int  `json:"slots_left"`
		}
		if err := s.fleet.Ask(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, &got); err != nil {
			return err
		}
		if !got.Retired {
			return errors.Errorf("%d slots depend on it", got.Left)
		}
		return nil
	}
	if err := localfleet.Until(60*time.Second, func() error { return empty(byName[name]) }); err != nil {
		return err
	}
	s.fleet.Kill(name)
	if err := s.fleet.Ask(edge, http.MethodPost, "/v1/operator/stores/nobody/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "not_found") {
		return errors.Errorf("an unknown store was retired: %v", err)
	}
	if len(s.fleet.Names("store")) == 3 {
		for other, id := range byName {
			if other == name {
				continue
			}
			if err := s.fleet.Ask(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "turned_away") {
				return errors.Errorf("the last but one store was retired: %v", err)
			}
		}
	}
	return nil
}

// replaceAllCores replaces all three cores by empty ones at new addresses, one after
// the other, so that every seed that was ever given is dead. Then a store comes
// back with its old seeds, by the addresses it learnt, and an edge with new ones.
func (s *scenario) replaceAllCores() error {
	for _, old := range s.fleet.Names("core") {
		s.fleet.Kill(old)
		if err := s.fleet.Wipe(old); err != nil {
			return err
		}
		fresh, err := s.fleet.Replace(old, old+"x")
		if err != nil {
			return err
		}
		if err := localfleet.Until(60*time.Second, func() error {
			var core state.CoreNews
			if err := s.ask("/v1/operator/core", &core); err != nil {
				return err
			}
			for _, peer := range core.Cores {
				if peer == fresh.Peer {
					return nil
				}
			}
			return errors.Errorf("%s has no seat yet", fresh.Name)
		}); err != nil {
			return err
		}
		s.wait(time.Second)
	}
	store := s.fleet.Names("store")[0]
	s.fleet.Kill(store)
	if err := s.fleet.Run(store); err != nil {
		return err
	}
	edges := s.fleet.Names("edge")
	s.fleet.Kill(edges[0])
	s.fleet.Reseed(edges[0], s.fleet.Names("core"))
	if err := s.fleet.Run(edges[0]); err != nil {
		return err
	}
	if err := localfleet.Until(60*time.Second, func() error { return s.fleet.Ask(store, http.MethodGet, "/ready", nil, nil) }); err != nil {
		return errors.Wrap(err, "the store with its old seeds")
	}
	return localfleet.Until(60*time.Second, func() error { return s.fleet.Ask(edges[0], http.MethodGet, "/ready", nil, nil) })
}

// surgeAndLoss sends a surge of callers while edges, the holders of accounts among them,
// are killed and come back one after the other.
func (s *scenario) surgeAndLoss() error {
	surge := make(chan error, 1)
	go func() { surge <- s.surge() }()
	for _, name := range s.fleet.Names("edge") {
		s.wait(500 * time.Millisecond)
		s.fleet.Kill(name)
		if err := s.fleet.Run(name); err != nil {
			return err
		}
	}
	return <-surge
}
