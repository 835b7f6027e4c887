package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// Method, path, query, host, end-to-end headers and body reach the server unchanged, and its response
// reaches the caller unchanged. Hop-by-hop headers are not forwarded in either direction.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	type serverRequest struct {
		line, host, body string
		header           http.Header
	}
	received := make(chan serverRequest, 4)
	c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- serverRequest{r.Method + " " + r.RequestURI, r.Host, string(body), r.Header.Clone()}
		setResponseHead(w, r, "stamp-1", "application/x-thing")
		w.Header()["X-Twice"] = []string{"1", "2"}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "the server's own")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusCreated)
		w.Write(bytes.ToUpper(body))
	})
	large := strings.Repeat("0123456789", 1<<17)
	for name, body := range map[string]string{"small": "a\x00b\r\n", "empty": "", "large": large} {
		response := c.do("PUT", "/once/a//b/../%2e%7E?q=%zz&&x=+", body, "X-Other", "1", "X-Other", "2", "Accept-Encoding", "", "User-Agent", "the caller",
			"Connection", "X-Mine, close", "X-Mine", "hop", "Te", "trailers", "Proxy-Authorization", "secret", "X-Instance", "forged", headerNames.Deadline, "15000")
		if response.err != nil || response.status != http.StatusCreated || response.body != strings.ToUpper(body) {
			t.Fatalf("%s: got status %d, %d bytes, error %v", name, response.status, len(response.body), response.err)
		}
		if h := response.header; h.Get("X-Stamp") != "stamp-1" || h.Get("Content-Type") != "application/x-thing" || h.Get("X-Hop") != "" || h.Get("Keep-Alive") != "" ||
			!reflect.DeepEqual(h["X-Twice"], []string{"1", "2"}) || h.Get("Content-Length") != strconv.Itoa(len(body)) || h.Get(headerNames.RequestID) != "id-1" {
			t.Errorf("%s: the caller got the headers %v", name, h)
		}
		got := <-received
		if got.line != "PUT /once/a//b/../%2e%7E?q=%zz&&x=+" || got.host != "h.example" || got.body != body {
			t.Errorf("%s: the server got %q at %q and %d bytes", name, got.line, got.host, len(got.body))
		}
		remainingMS, err := strconv.Atoi(got.header.Get(headerNames.Deadline))
		if err != nil || remainingMS > 15000 || remainingMS < 1 {
			t.Errorf("%s: the server has %q ms left", name, got.header.Get(headerNames.Deadline))
		}
		for _, name := range []string{headerNames.Deadline, "Content-Length", "Accept-Encoding"} {
			got.header.Del(name)
		}
		if want := (http.Header{"X-Request-Id": {"id-1"}, "X-Other": {"1", "2"}, "X-Instance": {"s0"}, "User-Agent": {"the caller"}}); !reflect.DeepEqual(got.header, want) {
			t.Errorf("%s: the server got the headers %v", name, got.header)
		}
	}
	c.waitIdle()
}

// A chunked request body is sent to the server with a Content-Length.
func TestChunkedBodyIsForwardedWithItsLength(t *testing.T) {
	c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		setResponseHead(w, r, "stamp", "text/plain")
		fmt.Fprintf(w, "%d %v %s", r.ContentLength, r.TransferEncoding, body)
	})
	raw := c.doRaw("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
	if !strings.HasSuffix(raw, "\r\n\r\n7 [] abcdefg") {
		t.Errorf("%q", raw)
	}
	c.waitIdle()
}
