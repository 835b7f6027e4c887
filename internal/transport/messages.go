package transport

import (
	"encoding/gob"
	"fmt"
	"slices"
	"sync"

	"tuliprudder/internal/errs"
)

// serviceName is the service's name on the wire. It ends with the version of the protocol: gob
// ignores unknown fields without an error, so a message from a build whose fields have other names
// would be misread. Daemons of different versions therefore do not find each other's service, and
// their messages count as lost (docs/DESIGN.md, section 3). Increment the version with every change
// of a message's type or field; "Post" was the name of versions 1 and 2.
const serviceName = "tuliprudder.6"

// The methods of the service, as net/rpc calls them.
const (
	DeliverMethod = serviceName + ".Deliver"
	CallMethod    = serviceName + ".Ask"
)

// Envelope is one message with the address of its sender.
type Envelope struct {
	From string
	Body any // of a registered type
}

// MessageBatch is the argument of DeliverMethod.
type MessageBatch struct{ Messages []Envelope }

// DeliverReply is the result of DeliverMethod: the number of messages accepted.
type DeliverReply struct{ Count int }

// CallReply is the result of CallMethod: the response, or a typed error.
type CallReply struct {
	Body any // of a registered type
	Err  *errs.Error
}

var (
	kindsMu sync.Mutex // guards kinds
	kinds   []string
)

// Register registers message types with the encoder. Each package registers its own in init. On the
// wire a type is identified by the last element of its package's path and its own name, so that a
// package may be moved but not renamed.
func Register(bodies ...any) {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	for _, body := range bodies {
		kind := fmt.Sprintf("%T", body)
		gob.RegisterName(kind, body)
		kinds = append(kinds, kind)
	}
}

// Kinds returns the names of all registered types.
func Kinds() []string {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	return slices.Clone(kinds)
}
