package upstream

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestKeepAliveTimeout(t *testing.T) {
	timeout := func(p *peer) {
		for req := p.readRequest(); req != nil; req = p.readRequest() {
			p.send(responseText(req.Header.Get("X-Request-Id"), "Keep-Alive: timeout=5\r\n", ""))
		}
	}
	address := startServer(t, timeout, timeout, echo)
	clock := clockwork.NewFakeClock()
	c := New(testHeaderNames, Settings{Clock: clock})
	readBody(t, do(t, c, newPost(address, "a")))
	clock.Advance(4499 * time.Millisecond)
	readBody(t, do(t, c, newPost(address, "b")))
	checkCounters(t, c, 1, 1, 0, 0)
	clock.Advance(4500 * time.Millisecond)
	readBody(t, do(t, c, newPost(address, "c")))
	checkCounters(t, c, 2, 1, 0, 0)
	clock.Advance(4499 * time.Millisecond)
	c.CloseExpired()
	if len(c.pools[address].idle) != 1 {
		t.Fatal("closed before the time that the server specified")
	}
	clock.Advance(time.Millisecond)
	c.CloseExpired()
	if len(c.pools) != 0 {
		t.Fatal("not closed after the time that the server specified")
	}
	readBody(t, do(t, c, newPost(address, "d"))) // no time in the response, so the default applies
	clock.Advance(10*time.Second - 1)
	c.CloseExpired()
	if len(c.pools) != 1 {
		t.Fatal("closed before the default time")
	}
	clock.Advance(1)
	c.CloseExpired()
	if len(c.pools) != 0 {
		t.Fatal("not closed after the default time")
	}
}
