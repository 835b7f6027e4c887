package upstream

import "github.com/pkg/errors"

// Delivery is what is known about a request that brought no response.
type Delivery int

// The deliveries.
const (
	// Unknown: the request may have been delivered, and run.
	Unknown Delivery = iota
	// NotWritten: nothing was written to a connection that could deliver it.
	NotWritten
)

// String names the delivery.
func (d Delivery) String() string {
	if d == NotWritten {
		return "not written"
	}
	return "unknown"
}

// Error is why there is no response. Its cause may be an *errs.Error: of kind errs.BadInput if the
// request can't be sent to any server, errs.Busy if no connection to the server is free.
type Error struct {
	Delivery Delivery
	Err      error
}

// Error names the delivery and the cause.
func (e *Error) Error() string { return e.Delivery.String() + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Err }

// DeliveryOf is the delivery that an error of Client.Do states; Unknown for any other error.
func DeliveryOf(err error) Delivery {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Delivery
	}
	return Unknown
}
