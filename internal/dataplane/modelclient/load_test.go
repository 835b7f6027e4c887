package modelclient

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

const metricsPage = `# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model="a"} 2
vllm:num_requests_running{model="b"} 3
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting 7
`

// The load is the sum over all label values. If a page of the server can't be read, ReadLoad returns an error.
func TestReadLoad(t *testing.T) {
	for name, c := range map[string]struct {
		healthStatus     int
		page             string
		running, waiting int
		ok               bool
	}{
		"loaded":                {http.StatusOK, metricsPage, 5, 7, true},
		"without these metrics": {http.StatusOK, "other 1\n", 0, 0, true},
		"not healthy":           {http.StatusServiceUnavailable, metricsPage, 0, 0, false},
		"no metrics page":       {http.StatusOK, "<html>", 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/health":
					w.WriteHeader(c.healthStatus)
				case "/metrics":
					io.WriteString(w, c.page)
				default:
					t.Errorf("unexpected request for %s", r.URL.Path)
				}
			})
			running, waiting, err := ReadLoad(t.Context(), address)
			if got, want := fmt.Sprint(running, waiting, err == nil), fmt.Sprint(c.running, c.waiting, c.ok); got != want {
				t.Errorf("got %s, want %s: %v", got, want, err)
			}
		})
	}
}
