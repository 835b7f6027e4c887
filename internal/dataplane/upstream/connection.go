package upstream

import (
	"bufio"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	maxHeadBytes        = 1 << 20 // limit for a response's head, including the interim responses before it
	maxInterimResponses = 16      // before the final response (RFC 9110, 15.2)
)

var errHeadTooLarge = errors.New("response head is too large")

// connection is one connection to a server. It is either idle in the pool or in use by one request.
type connection struct {
	poolSlot
	tcpConn      *net.TCPConn
	reader       *bufio.Reader
	headBuffer   []byte // reused for the head of each request
	readBudget   int64  // bytes that may still be read from the socket
	readErr      error  // error of the last read from the socket
	idleDeadline time.Time
}

func newConnection(conn *net.TCPConn, slot poolSlot) *connection {
	pc := &connection{tcpConn: conn, poolSlot: slot}
	pc.reader = bufio.NewReader(pc)
	return pc
}

// Read reads from the socket. It returns errHeadTooLarge once the read budget is used up.
func (pc *connection) Read(p []byte) (int, error) {
	if pc.readBudget <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > pc.readBudget {
		p = p[:pc.readBudget]
	}
	n, err := pc.tcpConn.Read(p)
	pc.readBudget -= int64(n)
	pc.readErr = err
	return n, err
}

// isReusable reports whether an idle connection is open and has no unread input.
func (pc *connection) isReusable() bool {
	return pc.reader.Buffered() == 0 && isOpenWithoutInput(pc.tcpConn)
}

// write writes head and body, in one system call if possible, and returns the number of bytes
// written.
func (pc *connection) write(head, body []byte) (int64, error) {
	pc.headBuffer = head
	if len(body) == 0 {
		n, err := pc.tcpConn.Write(head)
		return int64(n), err
	}
	parts := net.Buffers{head, body}
	return parts.WriteTo(pc.tcpConn)
}

// readHead reads the head of the final response to a request with the given method.
func (pc *connection) readHead(method string) (*http.Response, error) {
	pc.readBudget = maxHeadBytes
	defer func() { pc.readBudget = math.MaxInt64 }()
	for range maxInterimResponses {
		response, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("server switched protocols without a request for it")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("server sent too many interim responses")
}
