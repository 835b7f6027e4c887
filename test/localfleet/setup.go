package localfleet

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// endpoint is a model server in the endpoint list, in the JSON form of the operators' API.
type endpoint struct {
	Name    string            `json:"name"`
	Address string            `json:"address"`
	Slots   int               `json:"slots"`
	Labels  map[string]string `json:"labels"`
}

// endpointList is the list of model servers, in the JSON form of the operators' API.
type endpointList struct {
	Servers []endpoint `json:"servers"`
}

// endpoints returns the endpoint list of the fleet.
func (f *Fleet) endpoints() endpointList {
	out := endpointList{Servers: []endpoint{}}
	for i, name := range f.Names(kindModelServer) {
		out.Servers = append(out.Servers, endpoint{
			Name:    name,
			Address: f.Get(name).HTTP,
			Slots:   f.Spec.ServerSlots,
			Labels:  map[string]string{"fleet": "main", "weights": "w1", "half": fmt.Sprint(i % 2)},
		})
	}
	return out
}

// MakeReady uploads the configuration and the endpoint list, and waits until every edge is ready
// to serve.
func (f *Fleet) MakeReady(timeout time.Duration) error {
	configuration, err := os.ReadFile(f.Spec.ConfigurationFile)
	if err != nil {
		return errors.Wrap(err, "reading the configuration")
	}
	deadline := time.Now().Add(timeout)
	edges := f.Names(kindEdge)
	for _, put := range []struct {
		path string
		body any
	}{
		{"/v1/operator/plan", configuration},
		{"/v1/operator/servers", f.endpoints()},
	} {
		attempt := func() error { return f.Call(edges[0], http.MethodPut, put.path, put.body, nil) }
		if err := WaitUntil(time.Until(deadline), attempt); err != nil {
			return err
		}
	}
	for _, edge := range edges {
		if err := WaitUntil(time.Until(deadline), func() error { return f.checkServing(edge) }); err != nil {
			return errors.Wrap(err, edge)
		}
	}
	return nil
}

// checkServing checks that an edge is ready and lists all model servers.
func (f *Fleet) checkServing(edge string) error {
	if err := f.Call(edge, http.MethodGet, "/ready", nil, nil); err != nil {
		return err
	}
	var got endpointList
	if err := f.Call(edge, http.MethodGet, "/v1/operator/servers", nil, &got); err != nil {
		return err
	}
	if len(got.Servers) != f.Spec.Servers {
		return errors.Errorf("%s lists %d of %d model servers", edge, len(got.Servers), f.Spec.Servers)
	}
	return nil
}
