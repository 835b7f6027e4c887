package upstream

import "github.com/pkg/errors"

// Delivery says whether a request that got no response may have reached the server.
type Delivery int

// The values of Delivery.
const (
	// Unknown means that the request may have been delivered and executed.
	Unknown Delivery = iota
	// NotWritten means that no byte of the request was written to a connection that could deliver it.
	NotWritten
)

// String returns the delivery in words.
func (d Delivery) String() string {
	if d == NotWritten {
		return "not written"
	}
	return "unknown"
}

// Error describes why there is no response. Its cause may be an *errs.Error: of kind errs.BadInput
// if the request can't be sent to any server, errs.Busy if no connection to the server is free.
type Error struct {
	Delivery Delivery
	Err      error
}

// Error returns the delivery and the cause.
func (e *Error) Error() string { return e.Delivery.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// DeliveryOf returns the delivery of an error from Client.Do, and Unknown for any other error.
func DeliveryOf(err error) Delivery {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Delivery
	}
	return Unknown
}
