// Package errs defines the typed error that the whole project uses. Its kind is stable for callers
// and logs, its message says what happened, and its remedy what to do (docs/DESIGN.md, section
// 10.1). The error is passed unchanged between daemons and, as JSON, to callers and operators.
package errs

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Kind is the type of an error.
type Kind string

// The kinds. Their values appear in callers' and operators' JSON and in messages between daemons, and
// must not change. OutcomeUnknown is the only one for a request that may have run; each other kind
// guarantees that nothing ran and nothing will.
const (
	// BadInput: the request is malformed.
	BadInput Kind = "bad_input"
	// TooLarge: the request exceeds a limit in bytes.
	TooLarge Kind = "too_large"
	// Unauthorised: the credentials belong to no tenant.
	Unauthorised Kind = "unknown_customer"
	// UnknownRoute: the configuration has no such route.
	UnknownRoute Kind = "unknown_route"
	// NotFound: there is no such path or object.
	NotFound Kind = "not_found"
	// BadToken: a reader's token is damaged, or of another fleet or list.
	BadToken Kind = "bad_token"
	// Conflict: the idempotency key was used for another request.
	Conflict Kind = "conflict"
	// StaleBase: a change is based on a version that is no longer the latest.
	StaleBase Kind = "stale_base"
	// InvalidConfiguration: a configuration has faults, which Error.Faults lists.
	InvalidConfiguration Kind = "bad_plan"
	// BadSettings: a daemon's settings have faults, which Error.Faults lists.
	BadSettings Kind = "bad_settings"
	// OverQuota: the tenant's quota is used up.
	OverQuota Kind = "over_allowance"
	// Busy: a queue is full or a limit is reached.
	Busy Kind = "busy"
	// NotReady: this daemon, or the one that it needs, can't serve the request now.
	NotReady Kind = "not_ready"
	// DeadlineExceeded: the request's deadline passed before it was started.
	DeadlineExceeded Kind = "expired"
	// OutcomeUnknown: whether the request ran is not known.
	OutcomeUnknown Kind = "outcome_unknown"
	// ServerFault: a model server answered in a way that its protocol does not allow.
	ServerFault Kind = "server_fault"
	// WrongFolder: a data folder was written by another release or belongs to another daemon.
	WrongFolder Kind = "wrong_folder"
	// Corrupt: data on disk is damaged.
	Corrupt Kind = "corrupt"
	// Rejected: the request is well-formed, but the state of the fleet does not allow it.
	Rejected Kind = "turned_away"
)

// statuses are the HTTP statuses of the kinds that reach callers or operators.
var statuses = map[Kind]int{
	BadInput:             http.StatusBadRequest,
	TooLarge:             http.StatusRequestEntityTooLarge,
	Unauthorised:         http.StatusUnauthorized,
	UnknownRoute:         http.StatusNotFound,
	NotFound:             http.StatusNotFound,
	BadToken:             http.StatusBadRequest,
	Conflict:             http.StatusConflict,
	StaleBase:            http.StatusConflict,
	InvalidConfiguration: http.StatusUnprocessableEntity,
	OverQuota:            http.StatusTooManyRequests,
	Busy:                 http.StatusTooManyRequests,
	NotReady:             http.StatusServiceUnavailable,
	DeadlineExceeded:     http.StatusRequestTimeout,
	OutcomeUnknown:       http.StatusGatewayTimeout,
	ServerFault:          http.StatusBadGateway,
	Rejected:             http.StatusConflict,
}

// Error is an error with its kind, a message that says what happened, and the remedy. Its JSON is
// returned to callers and operators, so the keys must not change.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Faults lists the individual faults of a document or of settings.
	Faults []string `json:"faults,omitempty"`
	// RetryAfterUS is when to retry, in microseconds from now; 0 if a retry does not help.
	RetryAfterUS int64 `json:"retry_after_us,omitempty"`
}

// Error returns the kind, the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", e.Kind, e.Message, e.Remedy)
}

// Status returns the HTTP status of the kind, or 500 for a kind that is never returned to callers.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// New returns an *Error with a stack trace. format and args give its message.
func New(kind Kind, remedy, format string, args ...any) error {
	return NewWithRetry(kind, 0, remedy, format, args...)
}

// NewWithRetry returns an *Error with a stack trace that says when to retry, in microseconds from
// now.
func NewWithRetry(kind Kind, retryAfterUS int64, remedy, format string, args ...any) error {
	return errors.WithStack(&Error{
		Kind:         kind,
		Message:      fmt.Sprintf(format, args...),
		Remedy:       remedy,
		RetryAfterUS: retryAfterUS,
	})
}

// untypedRetryAfterUS is when to retry after an error without a kind, in microseconds from now.
const untypedRetryAfterUS = 1_000_000

// Count formats a number of things for display: "1 fault", "2 faults".
func Count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// Of returns the *Error in an error's chain. An error without one becomes an OutcomeUnknown, because
// it may have occurred at any step of the request.
func Of(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{
		Kind:         OutcomeUnknown,
		Message:      err.Error(),
		Remedy:       "retry with the same idempotency key",
		RetryAfterUS: untypedRetryAfterUS,
	}
}

// Is reports whether an error is of a kind, as determined by Of.
func Is(err error, kind Kind) bool { return err != nil && Of(err).Kind == kind }
