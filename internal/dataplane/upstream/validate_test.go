package upstream

import (
	"net/http"
	"testing"

	"tuliprudder/internal/errs"
)

func TestMalformedRequestsAreRejected(t *testing.T) {
	c := New(testHeaderNames, Settings{})
	for name, change := range map[string]func(*Request){
		"value":                  func(req *Request) { req.Header = http.Header{"X-A": {"b\r\nX-C: d"}} },
		"bare LF":                func(req *Request) { req.Header = http.Header{"X-A": {"b\nX-C: d"}} },
		"name":                   func(req *Request) { req.Header = http.Header{"X-A: b\r\nX-C": {"d"}} },
		"target":                 func(req *Request) { req.Target = "/ HTTP/1.1\r\nX-C: d" },
		"method":                 func(req *Request) { req.Method = "GET /" },
		"host":                   func(req *Request) { req.Host = "a\r\nX-C: d" },
		"id":                     func(req *Request) { req.ID = "a\r\nX-C: d" },
		"no id":                  func(req *Request) { req.ID = "" },
		"instance":               func(req *Request) { req.Instance = "a\r\nX-C: d" },
		"last event":             func(req *Request) { req.LastEventID = "a\nX-C: d" },
		"a host name as address": func(req *Request) { req.Address = "localhost:80" },
	} {
		req := newPost("127.0.0.1:1", "a")
		change(&req)
		_, err := c.Do(t.Context(), req)
		if !errs.Is(requireError(t, err, NotWritten), errs.BadInput) {
			t.Fatalf("%s: %v", name, err)
		}
	}
	checkCounters(t, c, 0, 0, 0, 0)
}
