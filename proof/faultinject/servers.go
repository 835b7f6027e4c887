package faultinject

import (
	"net/http"
	"time"

	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

func (s *scenario) server(mode string, span time.Duration) error {
	name, _ := s.anyServer()
	set := func(mode string) error {
		return s.fleet.Ask(name, http.MethodPost, "/control", map[string]string{"mode": mode}, nil)
	}
	if err := set(mode); err != nil {
		return err
	}
	s.wait(span)
	return set("")
}

func (s *scenario) serverLeaves() error {
	name, _ := s.anyServer()
	edges := s.fleet.Names("edge")
	if err := s.fleet.Ask(edges[len(edges)-1], http.MethodPost, "/v1/operator/servers/"+name+"/leaving", []byte(`{"leaving":true}`), nil); err != nil {
		return err
	}
	s.leaving = append(s.leaving, verify.LeavingSpan{Server: name, From: time.Now().UnixMicro()})
	return nil
}

// rollServers replaces servers one by one, as a release does: marked as leaving, left
// until nothing may start there any more, replaced, and marked as staying.
func (s *scenario) rollServers(count int) error {
	edges := s.fleet.Names("edge")
	names := s.fleet.Names("modelserver")
	for i := 0; i < min(count, len(names)-1); i++ {
		name, edge := names[i], edges[i%len(edges)]
		mark := func(leaving bool) error {
			return s.fleet.Ask(edge, http.MethodPost, "/v1/operator/servers/"+name+"/leaving", map[string]bool{"leaving": leaving}, nil)
		}
		if err := mark(true); err != nil {
			return err
		}
		leave := verify.LeavingSpan{Server: name, From: time.Now().UnixMicro()}
		s.wait(4 * time.Second)
		s.fleet.Kill(name)
		if err := s.fleet.Run(name); err != nil {
			return err
		}
		if err := localfleet.Until(30*time.Second, func() error { return s.fleet.Ask(name, http.MethodGet, "/health", nil, nil) }); err != nil {
			return err
		}
		leave.To = time.Now().UnixMicro()
		s.leaving = append(s.leaving, leave)
		if err := mark(false); err != nil {
			return err
		}
	}
	return nil
}
