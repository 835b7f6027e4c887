package httpserver

import (
	"cmp"
	"net/http"
	"time"

	"tuliprudder/internal/cleanup"
)

const (
	// maxHeaderBytes is the header size that net/http accepts, regardless of the limits in force.
	maxHeaderBytes = 1 << 20
	// limitsInterval is how often the limits in force are read and timed-out idle connections are
	// closed.
	limitsInterval = time.Second
)

// enforceCurrentLimits makes the RawServer enforce the limits in force itself, because those of
// net/http can't be changed while it is serving. net/http gets no timeouts, and a maximum header
// size at least as large as any configured one.
func (r *RawServer) enforceCurrentLimits() {
	r.refreshLimits()
	r.server.MaxHeaderBytes = maxHeaderBytes
	cleanup.Every(&r.cleanups, limitsInterval, func() { r.closeExpiredIdle(time.Now()) })
}

// refreshLimits reads the limits in force, stores them for later requests and returns them.
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

// rejectLargeHeader rejects a request whose header exceeds the limit in force, and reports whether
// it did. It reads the limit again before rejecting, as it may have been raised since the last read.
func (r *RawServer) rejectLargeHeader(w http.ResponseWriter, request *http.Request) bool {
	size := headerSize(request)
	if size <= r.limitsInForce.Load().HeaderBytes || size <= r.refreshLimits().HeaderBytes {
		return false
	}
	w.Header().Set("Connection", "close")
	http.Error(w, "the request header exceeds the size limit", http.StatusRequestHeaderFieldsTooLarge)
	return true
}

// headerSize returns the minimum number of bytes that the request line and header took.
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

// closeExpiredIdle retires the connections that have exceeded their idle timeout.
func (r *RawServer) closeExpiredIdle(now time.Time) {
	limits := r.refreshLimits()
	for _, conn := range r.idle.expired(now, limits) {
		conn.retire(limits.HeaderTimeout)
	}
}
