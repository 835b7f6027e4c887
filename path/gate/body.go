package gate

import (
	"net/http"

	"tuliprudder/kernel/httpserver"
)

// Body reads a request's body whole, up to a bound.
func Body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	r.Body = http.MaxBytesReader(w, r.Body, most)
	return httpserver.ReadBody(r)
}
