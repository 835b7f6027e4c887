package upstream

import (
	"bufio"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	headLimit    = 1 << 20 // bytes of an answer's head, with all that goes before it
	interimLimit = 16      // interim answers before the final one
)

var errHeadSize = errors.New("the answer's head is too large")

// connection is one to a server; the pool or one request has it.
type connection struct {
	conn   *net.TCPConn
	in     *bufio.Reader
	head   []byte // reused for each request's head
	left   int64  // bytes that may still be read
	failed error  // the last error of a read
	place
	expiry time.Time
}

func newConnection(conn *net.TCPConn, room place) *connection {
	k := &connection{conn: conn, place: room}
	k.in = bufio.NewReader(k)
	return k
}

// Read reads from the socket, within what is left.
func (k *connection) Read(p []byte) (int, error) {
	if k.left <= 0 {
		return 0, errHeadSize
	}
	if int64(len(p)) > k.left {
		p = p[:k.left]
	}
	n, err := k.conn.Read(p)
	k.left -= int64(n)
	k.failed = err
	return n, err
}

// clean tells whether an idle connection is open with nothing to read.
func (k *connection) clean() bool { return k.in.Buffered() == 0 && quiet(k.conn) }

// write sends head and body, in one system call when they fit, and tells how
// many bytes went out.
func (k *connection) write(head, body []byte) (int64, error) {
	k.head = head
	if len(body) == 0 {
		n, err := k.conn.Write(head)
		return int64(n), err
	}
	parts := net.Buffers{head, body}
	return parts.WriteTo(k.conn)
}

// readHead reads the head of the final answer.
func (k *connection) readHead(method string) (*http.Response, error) {
	k.left = headLimit
	defer func() { k.left = math.MaxInt64 }()
	for range interimLimit {
		response, err := http.ReadResponse(k.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols unasked")
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, errors.New("the server sent too many interim answers")
}

// appendHead writes the request's head. What frames the message is written here
// alone, and so are the headers of Words.
func (c *Client) appendHead(b []byte, r Request, left int64) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for name, values := range r.Header {
		if c.own(name, r) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	ours := func(name, value string) {
		if name != "" && value != "" {
			b = appendField(b, name, value)
		}
	}
	ours(c.words.RequestID, r.ID)
	ours(c.words.Instance, r.Instance)
	ours(c.words.LastEvent, r.LastEvent)
	if left > 0 {
		ours(c.words.Deadline, strconv.FormatInt(left, 10))
	}
	switch {
	case len(r.Body) > 0, r.Method == http.MethodPost, r.Method == http.MethodPut, r.Method == http.MethodPatch:
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

// own tells whether a header is never taken from the caller's.
func (c *Client) own(name string, r Request) bool {
	for _, fixed := range []string{"Host", "Content-Length", "Transfer-Encoding", "Connection", c.words.RequestID, c.words.Instance, c.words.Deadline} {
		if strings.EqualFold(name, fixed) {
			return true
		}
	}
	return r.LastEvent != "" && strings.EqualFold(name, c.words.LastEvent)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// token is a method or a header's name (RFC 9110, 5.6.2).
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// visible is text without spaces or control characters.
func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// fieldValue is text without control characters, but for the tab.
func fieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
