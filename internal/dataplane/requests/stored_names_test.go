package requests

import "testing"

// The status of a response is stored with its claim, and callers read it.
func TestStoredResponseStatus(t *testing.T) {
	if responseStatusOK != "ok" {
		t.Errorf("a response's status is %q", responseStatusOK)
	}
}
