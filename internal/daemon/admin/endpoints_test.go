package admin

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// Checks only the JSON form of the response: putting an endpoint list would need contact with
// other daemons.
func TestPutEndpointsResponseJSON(t *testing.T) {
	data, err := json.Marshal(putEndpointsResponse{Servers: 2})
	if err != nil || string(data) != `{"servers":2}` {
		t.Errorf("%s %v", data, err)
	}
}

// A daemon without contact with a majority of the voters rejects changes of the endpoint list.
func TestEndpointChangeWithoutQuorumContactIsRejected(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	server := endpoints.Server{Name: "server-1", Address: "127.0.0.1:9", Slots: 2}
	primary.publish(t, a.Loop, endpoints.ServerKey(server.Name), server)
	for _, c := range []call{
		{route: "PUT /v1/operator/servers", body: `{"servers":[]}`},
		{route: "POST /v1/operator/servers/:name/leaving", vars: map[string]string{"name": server.Name}},
	} {
		if _, err := a.do(c); !errs.Is(err, errs.NotReady) {
			t.Errorf("%s: %v", c.route, err)
		}
	}
}
