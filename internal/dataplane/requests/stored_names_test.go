package requests

import "testing"

// The status of a response is stored with its claim, and callers read it.
func TestAnswerStatus(t *testing.T) {
	if answerOK != "ok" {
		t.Errorf("a response's status is %q", answerOK)
	}
}
