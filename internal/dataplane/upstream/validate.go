package upstream

import (
	"net/http"
	"net/netip"
	"strings"

	"tuliprudder/internal/errs"
)

// validate checks that the request can be written as exactly one HTTP/1.1 request, so that no part
// of it can be parsed as another one (request smuggling). The error is of kind errs.BadInput.
func (req Request) validate() error {
	if _, err := netip.ParseAddrPort(req.Address); err != nil {
		return malformedError("server address %q is not an IP address with a port", req.Address)
	}
	if !isToken(req.Method) || !isVisibleText(req.Target) || !isVisibleText(req.Host) {
		return malformedError("method %q, target %q or host %q is malformed", req.Method, req.Target, req.Host)
	}
	if req.ID == "" && !req.IsHealthCheck {
		return malformedError("request has no ID")
	}
	for _, value := range []string{req.ID, req.Instance, req.LastEventID, req.Tenant} {
		if !isFieldValue(value) {
			return malformedError("header value %q contains control characters", value)
		}
	}
	return validateHeader(req.Header)
}

func validateHeader(header http.Header) error {
	for name, values := range header {
		if !isToken(name) {
			return malformedError("header name %q is malformed", name)
		}
		for _, value := range values {
			if !isFieldValue(value) {
				return malformedError("value of header %s contains control characters", name)
			}
		}
	}
	return nil
}

func malformedError(format string, args ...any) error {
	return errs.New(errs.BadInput, "send a valid HTTP/1.1 request", format, args...)
}

// isToken reports whether s is a token, as a method or header name has to be (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenCharacter(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenCharacter(c byte) bool {
	isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	isDigit := '0' <= c && c <= '9'
	return isLetter || isDigit || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isVisibleText reports whether s is not empty and contains neither spaces nor control characters.
func isVisibleText(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s contains no control characters except tabs (RFC 9110, 5.5).
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
