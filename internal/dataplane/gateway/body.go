package gateway

import (
	"net/http"

	"tuliprudder/internal/httpserver"
)

// ReadBody reads the complete body of a request. It returns errs.TooLarge if the body exceeds limit
// bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	httpserver.LimitBody(w, r, limit)
	return httpserver.ReadBody(r)
}
