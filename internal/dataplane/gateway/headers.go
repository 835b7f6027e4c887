package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers to forward. It leaves out hop-by-hop headers, those
// that a Connection header names, and Content-Length, which is set anew.
func endToEndHeaders(from http.Header) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		out[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}
