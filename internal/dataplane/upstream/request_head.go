package upstream

import (
	"net/http"
	"strconv"
	"strings"
)

// appendHead appends the head of a request to b. The message framing headers, the request ID, the
// instance and the deadline are set only here: the caller's own are omitted (isReservedHeader). A
// remainingMS of 0 means no deadline.
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

// expectsBody reports whether a request with this method states the length even of an empty body
// (RFC 9110, 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// isReservedHeader reports whether the caller's header of this name is not forwarded.
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

// appendOptionalField appends a field unless its name or value is empty.
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
