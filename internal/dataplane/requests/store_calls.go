package requests

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// statusTimeout is the time allowed for a store to answer a request that changes nothing. Its caller
// can retry, and does not wait much longer.
const statusTimeout = clock.Second

// commitCallTimeout returns the time allowed for a call that a store has to commit: the store's own
// timeout, plus a margin for the messages.
func (m *Machine) commitCallTimeout() clock.Micros { return m.settings.CommitTimeout + clock.Second }

// callStore sends a request to the owner of the shard of a batch or a claim. The callback is called
// once, with the owner's response or an error.
func (m *Machine) callStore(id string, newRequest func(shardIndex int) any, timeout, now clock.Micros, callback machine.Callback) {
	shardIndex, owner, err := m.reader.Locate(id)
	if err != nil {
		callback(nil, err, now)
		return
	}
	m.calls.Request(owner.Peer, newRequest(shardIndex), timeout, callback)
}

// relayReply returns a callback that passes a store's response to the caller.
func (m *Machine) relayReply(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) { m.relay(call, body, err) }
}

// relayStatus returns a callback that passes the response to a request that changes nothing to the
// caller. A missing response is reported as errs.NotReady, because a retry is always safe.
func (m *Machine) relayStatus(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) {
		if errs.Is(err, errs.OutcomeUnknown) {
			err = errs.NewWithRetry(errs.NotReady, clock.Second, "retry; nothing was changed", "the store did not respond: %v", err)
		}
		m.relay(call, body, err)
	}
}

func unexpectedReplyError(body any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the store's response has the unexpected type %T", body)
}
