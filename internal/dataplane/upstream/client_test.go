package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

func TestCloseAfterRequestOnReusedConnectionIsUnknownDelivery(t *testing.T) {
	address := startServer(t, func(p *peer) {
		p.readRequest()
		p.send(responseText("a", "", "x"))
		p.readRequest()
		p.conn.Close()
	}, echo)
	c := New(testHeaderNames, Settings{})
	readBody(t, do(t, c, newPost(address, "a")))
	_, err := c.Do(t.Context(), newPost(address, "b"))
	requireError(t, err, Unknown)
	checkCounters(t, c, 1, 1, 0, 0)
}

func TestSurplusResponseAfterRequestIsNotAccepted(t *testing.T) {
	address := startServer(t, func(p *peer) {
		p.readRequest()
		p.send(responseText("a", "", "x"))
		p.readRequest()
		p.send(responseText("a", "", "again") + responseText("b", "", "y"))
		p.readRequest()
	}, echo)
	c := New(testHeaderNames, Settings{})
	readBody(t, do(t, c, newPost(address, "a")))
	_, err := c.Do(t.Context(), newPost(address, "b"))
	requireError(t, err, Unknown)
	checkCounters(t, c, 1, 1, 1, 0)
	readBody(t, do(t, c, newPost(address, "c")))
	checkCounters(t, c, 2, 1, 1, 0)
}

func TestResponseWithWrongRequestIDIsRejected(t *testing.T) {
	for name, head := range map[string]string{
		"other": "X-Request-Id: z\r\n", "none": "", "two": "X-Request-Id: a\r\nX-Request-Id: a\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, respondOnce("HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n"))
			c := New(testHeaderNames, Settings{MaxConnections: 1})
			_, err := c.Do(t.Context(), newPost(address, "a"))
			requireError(t, err, Unknown)
			checkCounters(t, c, 1, 0, 1, 0)
			if len(c.pools) != 0 {
				t.Fatal("the closed connection still counts in the pool")
			}
		})
	}
}

func TestHealthCheckUsesItsOwnConnection(t *testing.T) {
	const page = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	address := startServer(t, echo, respondOnce(page), respondOnce(responseText("z", "", "")))
	c := New(testHeaderNames, Settings{MaxConnections: 1})
	readBody(t, do(t, c, newPost(address, "a")))
	healthCheck := Request{Address: address, Method: "GET", Target: "/health", Host: "model", IsHealthCheck: true, ID: "p"}
	readBody(t, do(t, c, healthCheck))
	if len(c.pools) != 0 {
		t.Fatal("the connection of a health check was kept")
	}
	_, err := c.Do(t.Context(), healthCheck)
	requireError(t, err, Unknown)
	checkCounters(t, c, 3, 0, 1, 0)
}

func TestDeadlineEndsWaitForResponse(t *testing.T) {
	address := startServer(t, func(p *peer) { p.readRequest(); p.readRequest() })
	req := newPost(address, "a")
	req.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := New(testHeaderNames, Settings{}).Do(t.Context(), req)
	var e *Error
	if !errors.As(err, &e) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// A client with a keep-alive interval has the kernel probe its servers; one without doesn't.
func TestKeepAliveIntervalEnablesTCPKeepAlives(t *testing.T) {
	for interval, want := range map[time.Duration]bool{0: false, 2 * time.Second: true} {
		client := New(HeaderNames{}, Settings{KeepAliveInterval: interval})
		if got := client.dialer.KeepAliveConfig; got.Enable != want || got.Idle != interval || got.Count != maxUnansweredKeepAlives {
			t.Errorf("with an interval of %v the keep-alive configuration is %+v", interval, got)
		}
	}
}

// A server may respond before it has read a long request body, keep the connection open and read the
// rest later. The client has to send exactly the rest of the body before the next request.
func TestEarlyResponseDoesNotTruncateRequestBody(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<16) // more than the sockets' buffers hold
	rest := make(chan []byte, 1)
	second := make(chan string, 1)
	address := startServer(t, func(p *peer) {
		request, err := http.ReadRequest(p.in)
		if err != nil {
			t.Error(err)
			return
		}
		p.send(responseText(request.Header.Get("X-Request-Id"), "", "early"))
		data, err := io.ReadAll(request.Body)
		if err != nil {
			t.Error(err)
		}
		rest <- data
		if next := p.readRequest(); next != nil {
			data, _ := io.ReadAll(next.Body)
			second <- string(data)
			p.send(responseText(next.Header.Get("X-Request-Id"), "", "late"))
		}
	})
	c := New(testHeaderNames, Settings{})
	req := newPost(address, "a")
	req.Body = body
	r := do(t, c, req)
	if got := readBody(t, r); got != "early" {
		t.Errorf("response body is %q, want the early one", got)
	}
	r.Close()
	if got := <-rest; !bytes.Equal(got, body) {
		t.Errorf("the rest of the request body has %d bytes, and length or content is wrong", len(got))
	}
	if got := readBody(t, do(t, c, newPost(address, "b"))); got != "late" || c.Reused.Load() != 1 {
		t.Errorf("next response body is %q, after %d reuses of the connection", got, c.Reused.Load())
	}
	if got := <-second; got != "hello b" {
		t.Errorf("body of the next request is %q", got)
	}
}
