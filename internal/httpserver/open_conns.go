package httpserver

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// openConns are a server's open connections.
type openConns struct {
	mu    sync.Mutex // guards conns
	conns map[*callerConn]bool
}

func (o *openConns) add(conn *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = map[*callerConn]bool{}
	}
	o.conns[conn] = true
}

func (o *openConns) remove(conn *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, conn)
}

func (o *openConns) list() []*callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.conns))
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	server *RawServer
}

// Accept accepts the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &callerConn{Conn: conn, server: l.server, acceptedAt: time.Now()}
	l.server.open.add(out)
	return out, nil
}
