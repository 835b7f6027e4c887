package httpserver

import (
	"sync/atomic"
	"time"
)

// UnansweredStats count, since the start, the connections that ended after part of a request was
// read and before any of its response was written.
type UnansweredStats struct {
	// ClosedByServer counts those that this daemon closed first. Only a malformed request or the
	// end of the process may cause this.
	ClosedByServer atomic.Int64
	// CallersDisconnected counts those whose caller closed first, or whose connection broke.
	CallersDisconnected atomic.Int64
	// LongestWait is the longest time, in microseconds, that a caller waited before it disconnected.
	LongestWait atomic.Int64
	// ClosedIdle counts the connections without an open request that were closed because their idle
	// timeout expired or because the server was closing.
	ClosedIdle atomic.Int64
}

// Unanswered is a connection that this daemon closed after it had read part of a request and before
// it wrote any of the response.
type Unanswered struct {
	Remote       string
	RequestBytes int64         // read of the request
	Age          time.Duration // since its first byte was read
}

// recordUnanswered counts a connection that ended with an unanswered request, and calls OnUnanswered
// if this daemon closed it.
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

// storeMax sets value to candidate if that is higher.
func storeMax(value *atomic.Int64, candidate int64) {
	for {
		present := value.Load()
		if candidate <= present || value.CompareAndSwap(present, candidate) {
			return
		}
	}
}
