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
	maxHeadBytes        = 1 << 20 // of a response's head and the interim responses before it
	maxInterimResponses = 16      // before the final response (RFC 9110, 15.2)
)

var errHeadTooLarge = errors.New("the response's head is too large")

// connection is one connection to a server. Either the pool has it, as an idle one, or one
// request.
type connection struct {
	poolSlot
	tcpConn      *net.TCPConn
	reader       *bufio.Reader
	headBuffer   []byte // reused for the head of each request
	readBudget   int64  // bytes that may still be read
	readErr      error  // of the last read
	idleDeadline time.Time
}

func newConnection(conn *net.TCPConn, slot poolSlot) *connection {
	pc := &connection{tcpConn: conn, poolSlot: slot}
	pc.reader = bufio.NewReader(pc)
	return pc
}

// Read reads from the socket, within the read budget; errHeadTooLarge beyond.
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

// isReusable tells whether an idle connection is open with nothing to read.
func (pc *connection) isReusable() bool {
	return pc.reader.Buffered() == 0 && isOpenWithoutInput(pc.tcpConn)
}

// write writes head and body, in one system call if they fit, and returns how many bytes went out.
func (pc *connection) write(head, body []byte) (int64, error) {
	pc.headBuffer = head
	if len(body) == 0 {
		n, err := pc.tcpConn.Write(head)
		return int64(n), err
	}
	parts := net.Buffers{head, body}
	return parts.WriteTo(pc.tcpConn)
}

// readHead reads the head of the final response to a request of the given method.
func (pc *connection) readHead(method string) (*http.Response, error) {
	pc.readBudget = maxHeadBytes
	defer func() { pc.readBudget = math.MaxInt64 }()
	for range maxInterimResponses {
		response, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols unasked")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("the server sent too many interim responses")
}
