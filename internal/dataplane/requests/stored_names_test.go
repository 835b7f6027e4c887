package requests

import "testing"

// The status of a response is stored with its claim and sent to callers, so its spelling must not change.
func TestStoredResponseStatus(t *testing.T) {
	if responseStatusOK != "ok" {
		t.Errorf("the status of a complete response is %q, want ok", responseStatusOK)
	}
}
