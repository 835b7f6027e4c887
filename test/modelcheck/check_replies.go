package modelcheck

import (
	"encoding/json"
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// checkReply checks the reply to an operator's call.
func (w *World) checkReply(processIndex int, call uint64, body any, err error) {
	if call == 0 || call > uint64(len(w.history.calledRequests)) {
		return // a read by the checks, not an operator's call
	}
	index := w.history.calledRequests[call-1]
	request := operatorRequests[index]
	if err != nil {
		if w.history.isConfirmed(index) && isRejection(err) {
			w.addViolation(NoRejectionAfterConfirm, "request %s was confirmed and is rejected by %s when sent again: %v", request.Name, w.processes[processIndex].name, err)
		}
		return
	}
	if response, ok := body.(controlplane.PutConfigurationResponse); ok && response.Version != request.Number {
		w.addViolation(OneDocumentPerNumber, "request %s with number %d was confirmed as %d", request.Name, request.Number, response.Version)
	}
	w.recordConfirmed(processIndex, request.Number, request.Body)
}

// isRejection reports whether an error means that a request was not applied and never will be, so
// that retrying it is useless.
func isRejection(err error) bool {
	for _, unclear := range []errs.Kind{errs.OutcomeUnknown, errs.NotReady, errs.Busy, errs.DeadlineExceeded} {
		if errs.Is(err, unclear) {
			return false
		}
	}
	return true
}

// checkPublished checks a configuration that is published to the daemons.
func (w *World) checkPublished(processIndex int, update machine.Update) {
	if update.Key != state.ConfigurationKey {
		return
	}
	var version state.Version
	if json.Unmarshal(update.Value, &version) == nil {
		w.recordConfirmed(processIndex, version.Number, string(version.Body))
	}
}

// recordConfirmed records that a document is in force and checks it against all documents
// confirmed before.
func (w *World) recordConfirmed(processIndex int, number uint64, body string) {
	recorded := confirmation{
		number:  number,
		body:    body,
		request: slices.IndexFunc(operatorRequests, func(r Request) bool { return r.Number == number && r.Body == body }),
		epoch:   w.processes[processIndex].epoch,
	}
	for _, other := range w.history.confirmed {
		switch {
		case other.number == number && other.body == body:
			return
		case other.number == number:
			w.addViolation(OneDocumentPerNumber, "number %d was confirmed with %s and with %s", number, other.body, body)
		case recorded.conflictsOnBase(other):
			one, two := operatorRequests[other.request], operatorRequests[recorded.request]
			w.addViolation(OneSuccessorPerBase, "requests %s and %s were both confirmed on base %d", one.Name, two.Name, two.Base)
		}
	}
	w.history.confirmed = append(w.history.confirmed, recorded)
}
