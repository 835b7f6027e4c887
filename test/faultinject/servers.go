package faultinject

import (
	"net/http"
	"time"

	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// setServerFault has the first server fail in a mode of cmd/modelserver for a span.
func (s *scenario) setServerFault(mode string, span time.Duration) error {
	name, _ := s.firstServer()
	set := func(mode string) error {
		return s.fleet.Call(name, http.MethodPost, "/control", map[string]string{"mode": mode}, nil)
	}
	if err := set(mode); err != nil {
		return err
	}
	s.wait(span)
	return set("")
}

// setDraining has an edge list a server as draining, or as active again.
func (s *scenario) setDraining(edge, server string, draining bool) error {
	return s.fleet.Call(edge, http.MethodPost, "/v1/operator/servers/"+server+"/leaving", map[string]bool{"leaving": draining}, nil)
}

// drainServer has the first server listed as draining until the end of the run.
func (s *scenario) drainServer() error {
	name, _ := s.firstServer()
	edges := s.fleet.Names("edge")
	if err := s.setDraining(edges[len(edges)-1], name, true); err != nil {
		return err
	}
	s.drainingSpans = append(s.drainingSpans, verify.DrainingSpan{Server: name, From: time.Now().UnixMicro()})
	return nil
}

// rollingServerReplacement replaces servers one by one, as a release does.
func (s *scenario) rollingServerReplacement(count int) error {
	edges := s.fleet.Names("edge")
	names := s.fleet.Names("modelserver")
	for i := range min(count, len(names)-1) {
		if err := s.replaceServer(edges[i%len(edges)], names[i]); err != nil {
			return err
		}
	}
	return nil
}

// replaceServer lists a server as draining, waits until nothing may start there any more,
// restarts it, and lists it as active.
func (s *scenario) replaceServer(edge, name string) error {
	if err := s.setDraining(edge, name, true); err != nil {
		return err
	}
	span := verify.DrainingSpan{Server: name, From: time.Now().UnixMicro()}
	s.wait(4 * time.Second)
	s.fleet.Kill(name)
	if err := s.fleet.StartDaemon(name); err != nil {
		return err
	}
	if err := localfleet.WaitUntil(30*time.Second, func() error { return s.fleet.Call(name, http.MethodGet, "/health", nil, nil) }); err != nil {
		return err
	}
	span.To = time.Now().UnixMicro()
	s.drainingSpans = append(s.drainingSpans, span)
	return s.setDraining(edge, name, false)
}
