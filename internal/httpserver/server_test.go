package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprudder/internal/cleanup"
)

// startServer starts a Server with one route, and returns it with a function that stops it.
func startServer(t *testing.T, handler Handler) (server *Server, stop func()) {
	t.Helper()
	server = New("127.0.0.1:0", 10, 1000)
	server.Handle(http.MethodGet, "/at/:name", handler)
	var cleanups cleanup.Stack
	if err := server.Start(&cleanups); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanups.Run)
	return server, cleanups.Run
}

func (s *Server) url(path string) string { return "http://" + s.raw.listener.Addr().String() + path }

// A stopping server answers the requests that it has read, and accepts no new connections.
func TestStoppingWaitsForOpenRequests(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	server, stop := startServer(t, func(w http.ResponseWriter, _ *http.Request) error {
		close(reached)
		<-release
		_, err := io.WriteString(w, "complete")
		return err
	})
	body := make(chan string, 1)
	go func() {
		response, err := http.Get(server.url("/at/x"))
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		body <- string(data)
	}()
	<-reached
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	waitUntilRefused(t, server.raw.listener.Addr())
	close(release)
	if got := <-body; got != "complete" {
		t.Errorf("the open request got body %q", got)
	}
	<-stopped
}

// A stopping server rejects a request that arrives only then, instead of running it for longer than it waits.
func TestStoppingServerRejectsLateRequests(t *testing.T) {
	server, stop := startServer(t, func(http.ResponseWriter, *http.Request) error {
		t.Error("the handler got a request that arrived after the stop")
		return nil
	})
	conn, err := net.Dial("tcp", server.raw.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const half = "GET /at/x HTTP/1.1\r\nHost:"
	io.WriteString(conn, half)
	(&testServer{t: t, RawServer: server.raw}).waitForRequestBytes(len(half))
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	waitUntilRefused(t, server.raw.listener.Addr())
	io.WriteString(conn, " h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("answered %+v, %v", response, err)
	}
	<-stopped
}

// waitUntilRefused waits until an address refuses new connections.
func waitUntilRefused(t *testing.T, address net.Addr) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("new connections are still accepted")
}

// Start returns an error if the address is in use or invalid.
func TestStartFailsOnUnusableAddress(t *testing.T) {
	server, _ := startServer(t, func(http.ResponseWriter, *http.Request) error { return nil })
	for _, address := range []string{server.raw.listener.Addr().String(), "nowhere"} {
		var cleanups cleanup.Stack
		if err := New(address, 1, 1).Start(&cleanups); err == nil {
			t.Errorf("%s: Start returned no error", address)
			cleanups.Run()
		}
	}
}

// Unknown paths get a 404, and a panic in a handler gets a 500 without ending the server.
func TestUnknownPathsAndPanics(t *testing.T) {
	server, _ := startServer(t, func(http.ResponseWriter, *http.Request) error { panic("a fault of the handler") })
	for path, want := range map[string]int{"/other": http.StatusNotFound, "/at/x": http.StatusInternalServerError} {
		response, err := http.Get(server.url(path))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%s: got status %d, want %d", path, response.StatusCode, want)
		}
	}
}
