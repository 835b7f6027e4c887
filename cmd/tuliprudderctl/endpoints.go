package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strings"
)

// endpoint is a model server as a daemon reports it.
type endpoint struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	Labels      map[string]string `json:"labels"`
	Slots       int               `json:"slots"`
	Draining    bool              `json:"leaving"`
	Removed     bool              `json:"gone"`
	OwnInFlight int               `json:"own"` // requests that this daemon has running on the server
	LatencyUS   int64             `json:"latency_us"`
	Load        struct {
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
		Healthy bool   `json:"sound"`
		ReadBy  string `json:"by"`
	} `json:"load"`
}

// status returns the endpoint's state in the given wording.
func (e endpoint) status(words wording) string {
	switch {
	case e.Removed:
		return words.removed
	case e.Draining:
		return words.draining
	case !e.Load.Healthy:
		return words.unhealthy
	}
	return words.healthy
}

// listEndpoints lists the model servers.
type listEndpoints struct{}

// Apply prints one row per server.
func (listEndpoints) Apply(ctx context.Context, s *session) error {
	response, err := get[struct {
		Servers []endpoint `json:"servers"`
	}](ctx, s.client, pathServers)
	if err != nil {
		return err
	}
	t := table{{"SERVER", "ADDRESS", "STATUS", "RUNNING", "WAITING", "SLOTS", "OWN", "LATENCY US", "READ BY", "LABELS"}}
	for _, e := range response.Servers {
		t.add(e.Name, e.Address, e.status(s.wording), e.Load.Running, e.Load.Waiting, e.Slots, e.OwnInFlight, e.LatencyUS, e.Load.ReadBy, formatLabels(e.Labels))
	}
	s.printTable(t)
	return nil
}

func formatLabels(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for name, value := range labels {
		pairs = append(pairs, name+"="+value)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}

// putEndpoints replaces the list of model servers with the one in a file, whose format is described
// in docs/OPERATORS.md. The daemon validates it.
type putEndpoints struct{ file string }

// Apply sends the file unchanged.
func (p putEndpoints) Apply(ctx context.Context, s *session) error {
	data, err := readFile(p.file)
	if err != nil {
		return err
	}
	response, err := send[struct {
		Servers int `json:"servers"`
	}](ctx, s.client, http.MethodPut, pathServers, data)
	if err != nil {
		return err
	}
	s.printf("%d model servers are listed\n", response.Servers)
	return nil
}

// setDraining starts or ends the draining of a model server.
type setDraining struct {
	server   string
	draining bool
}

// drainingChange is the request body of setDraining.
type drainingChange struct {
	Draining bool `json:"leaving"`
}

// Apply returns once a majority of the voters have the change.
func (d setDraining) Apply(ctx context.Context, s *session) error {
	body, err := json.Marshal(drainingChange{Draining: d.draining})
	if err != nil {
		return err
	}
	path := pathServers + "/" + url.PathEscape(d.server) + suffixDraining
	if _, err := s.client.call(ctx, s.client.address, http.MethodPost, path, body); err != nil {
		return err
	}
	s.printf(s.wording.drainingSet, d.server, d.draining)
	return nil
}
