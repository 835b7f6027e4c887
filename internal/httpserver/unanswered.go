package httpserver

import (
	"sync/atomic"
	"time"
)

// UnansweredStats count, since the start, the connections that ended after something of a
// request was read on them and before anything of its response was written.
type UnansweredStats struct {
	// ClosedByServer counts those that this daemon closed first. Nothing but a malformed request
	// and the end of the process may do that.
	ClosedByServer atomic.Int64
	// CallersDisconnected counts those whose caller closed first, or was lost.
	CallersDisconnected atomic.Int64
	// LongestWait is the longest time, in microseconds, that such a caller had waited.
	LongestWait atomic.Int64
	// ClosedIdle counts the connections that were closed because they were idle for too long,
	// or because the server closed.
	ClosedIdle atomic.Int64
}

// Unanswered is a connection that this daemon closed after it had read something of a request
// and before it wrote anything of the response.
type Unanswered struct {
	Remote       string
	RequestBytes int64         // read of the request
	Age          time.Duration // since its first byte was read
}

// recordUnanswered counts a connection that ended without an answer, and tells of one that this
// daemon closed.
func (r *RawServer) recordUnanswered(conn *callerConn, ended exchange) {
	age := time.Since(ended.firstByteAt)
	if ended.callerDisconnected {
		r.Unanswered.CallersDisconnected.Add(1)
		storeMax(&r.Unanswered.LongestWait, age.Microseconds())
		return
	}
	r.Unanswered.ClosedByServer.Add(1)
	if r.OnUnanswered != nil {
		r.OnUnanswered(Unanswered{Remote: conn.RemoteAddr().String(), RequestBytes: ended.requestBytes, Age: age})
	}
}

// storeMax sets a value to another one that is higher.
func storeMax(value *atomic.Int64, candidate int64) {
	for {
		present := value.Load()
		if candidate <= present || value.CompareAndSwap(present, candidate) {
			return
		}
	}
}
