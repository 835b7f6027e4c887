package upstream

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestRequestHeadIsWrittenExactly(t *testing.T) {
	seen := make(chan string, 1)
	address := startServer(t, func(p *peer) {
		var text strings.Builder
		for {
			line, err := p.in.ReadString('\n')
			text.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		seen <- text.String()
		p.send(responseText("a", "", ""))
	})
	c := New(testHeaderNames, Settings{})
	req := Request{Address: address, Instance: "i7", Method: "PUT", Target: "/a//b/../%7e?q=%zz", Host: "model", ID: "a", LastEventID: "e4",
		Header: http.Header{"x-request-id": {"forged"}, "X-Instance": {"forged"}, "Transfer-Encoding": {"chunked"}, "X-Other": {"1"}}}
	readBody(t, do(t, c, req))
	want := "PUT /a//b/../%7e?q=%zz HTTP/1.1\r\nHost: model\r\nX-Other: 1\r\nX-Request-Id: a\r\nX-Instance: i7\r\nLast-Event-ID: e4\r\nContent-Length: 0\r\n\r\n"
	if got := <-seen; got != want {
		t.Fatalf("request head is %q", got)
	}
}

// If callers are identified by API keys, the server gets only the tenant, whatever the case in which
// the caller spells its own identity headers and however often it repeats them. Otherwise the server
// gets these headers unchanged.
func TestCallerIdentityHeadersAreReplaced(t *testing.T) {
	header := http.Header{"Authorization": {"Token k"}, "authorization": {"Token l", "Token m"}, "AUTHORIZATION": {"Token n"},
		"X-Tenant": {"forged"}, "x-tenant": {"forged", "again"}, "X-TENANT": {""}, "X-Other": {"1"}}
	for name, c := range map[string]struct {
		authenticated bool
		tenant        string
		want          http.Header
	}{
		"a tenant":                  {true, "t", http.Header{"X-Tenant": {"t"}, "X-Other": {"1"}}},
		"no tenant":                 {true, "", http.Header{"X-Other": {"1"}}},
		"without keys":              {false, "", header},
		"a tenant without API keys": {false, "t", header},
	} {
		client := New(testHeaderNames, Settings{})
		head := client.appendHead(nil, Request{Method: "GET", Target: "/", Host: "h", ID: "a", Header: header, IsAuthenticated: c.authenticated, Tenant: c.tenant}, 0)
		got := http.Header{}
		for _, line := range strings.Split(strings.TrimSpace(string(head)), "\r\n")[1:] {
			field, value, _ := strings.Cut(line, ": ")
			got[field] = append(got[field], value)
		}
		delete(got, "Host")
		delete(got, "X-Request-Id")
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: the server got the header %v", name, got)
		}
	}
}

func TestDeadlineHeader(t *testing.T) {
	seen := make(chan string, 2)
	address := startServer(t, func(p *peer) {
		for req := p.readRequest(); req != nil; req = p.readRequest() {
			seen <- strings.Join(req.Header.Values("X-Time-Left-Ms"), ",")
			p.send(responseText("a", "", ""))
		}
	})
	clock := clockwork.NewFakeClock()
	c := New(testHeaderNames, Settings{Clock: clock})
	req := newPost(address, "a")
	req.Deadline = clock.Now().Add(90*time.Second + 900*time.Microsecond)
	readBody(t, do(t, c, req))
	if got := <-seen; got != "90000" {
		t.Fatalf("deadline header is %q", got)
	}
	readBody(t, do(t, c, newPost(address, "a")))
	if got := <-seen; got != "" {
		t.Fatalf("deadline header is %q for a request without a deadline", got)
	}
	clock.Advance(90 * time.Second)
	_, err := c.Do(t.Context(), req)
	if !errors.Is(requireError(t, err, NotWritten), context.DeadlineExceeded) {
		t.Fatal(err)
	}
}
