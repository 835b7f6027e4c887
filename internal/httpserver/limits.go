package httpserver

import (
	"cmp"
	"net/http"
	"time"

	"tuliprudder/internal/cleanup"
)

const (
	// maxHeaderBytes is what net/http reads of a header, whatever the limits in force are.
	maxHeaderBytes = 1 << 20
	// limitsInterval is how often the limits in force are read, and idle connections that have
	// timed out are closed.
	limitsInterval = time.Second
)

// enforceCurrentLimits makes the server enforce the limits in force itself: those of net/http
// can't be changed once it serves. net/http gets no timeouts, and a header size that is always
// enough.
func (r *RawServer) enforceCurrentLimits() {
	r.refreshLimits()
	r.server.MaxHeaderBytes = maxHeaderBytes
	cleanup.Every(&r.cleanups, limitsInterval, func() { r.closeExpiredIdle(time.Now()) })
}

// refreshLimits reads the limits in force.
func (r *RawServer) refreshLimits() Limits {
	current := r.CurrentLimits()
	limits := Limits{
		HeaderBytes:   cmp.Or(max(current.HeaderBytes, 0), r.Limits.HeaderBytes),
		HeaderTimeout: cmp.Or(max(current.HeaderTimeout, 0), r.Limits.HeaderTimeout),
		IdleTimeout:   cmp.Or(max(current.IdleTimeout, 0), r.Limits.IdleTimeout),
	}
	r.limitsInForce.Store(&limits)
	return limits
}

// rejectLargeHeader rejects a request whose header exceeds the limit in force, and tells whether
// it did. The limit is read again first: it may have been raised since the last time.
func (r *RawServer) rejectLargeHeader(w http.ResponseWriter, request *http.Request) bool {
	size := headerSize(request)
	if size <= r.limitsInForce.Load().HeaderBytes || size <= r.refreshLimits().HeaderBytes {
		return false
	}
	w.Header().Set("Connection", "close")
	http.Error(w, "the header is larger than it may be", http.StatusRequestHeaderFieldsTooLarge)
	return true
}

// headerSize is the least number of bytes that a request's line and header took.
func headerSize(request *http.Request) int {
	const (
		requestLineOverhead = len("  HTTP/1.1\r\n")
		headerFieldOverhead = len(":\r\n")
	)
	size := requestLineOverhead + len(request.Method) + len(request.RequestURI)
	size += headerFieldOverhead + len("Host") + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += headerFieldOverhead + len(name) + len(value)
		}
	}
	return size
}

// closeExpiredIdle has the connections closed that have been idle for too long.
func (r *RawServer) closeExpiredIdle(now time.Time) {
	limits := r.refreshLimits()
	for _, conn := range r.idle.expired(now, limits) {
		conn.retire(limits.HeaderTimeout)
	}
}
