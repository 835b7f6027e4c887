package upstream

import (
	"net/http"
	"strconv"
	"strings"
)

// appendHead appends the head of a request as it is written. The headers that frame the message
// are written here alone, and so are those of HeaderNames: a caller's own are left out. A
// remainingMS of 0 stands for no deadline.
func (c *Client) appendHead(b []byte, req Request, remainingMS int64) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", req.Host)
	for name, values := range req.Header {
		if c.isReservedHeader(name, req) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	b = appendOptionalField(b, c.headerNames.RequestID, req.ID)
	b = appendOptionalField(b, c.headerNames.Instance, req.Instance)
	b = appendOptionalField(b, c.headerNames.LastEventID, req.LastEventID)
	if req.IsAuthenticated {
		b = appendOptionalField(b, c.headerNames.Tenant, req.Tenant)
	}
	if remainingMS > 0 {
		b = appendOptionalField(b, c.headerNames.Deadline, strconv.FormatInt(remainingMS, 10))
	}
	if len(req.Body) > 0 || expectsBody(req.Method) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	return append(b, "\r\n"...)
}

// expectsBody tells whether requests of a method state the length of an empty body (RFC 9110, 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// isReservedHeader tells whether a header is not taken from the caller's.
func (c *Client) isReservedHeader(name string, req Request) bool {
	names := c.headerNames
	for _, reserved := range []string{"Host", "Content-Length", "Transfer-Encoding", "Connection", names.RequestID, names.Instance, names.Deadline} {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	isIdentity := strings.EqualFold(name, names.Authorization) || strings.EqualFold(name, names.Tenant)
	if req.IsAuthenticated && isIdentity {
		return true
	}
	return req.LastEventID != "" && strings.EqualFold(name, names.LastEventID)
}

// appendOptionalField appends a field that has both a name and a value.
func appendOptionalField(b []byte, name, value string) []byte {
	if name == "" || value == "" {
		return b
	}
	return appendField(b, name, value)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
