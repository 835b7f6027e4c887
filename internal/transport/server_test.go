package transport

import (
	"net/rpc"
	"strings"
	"testing"
)

// A daemon of another protocol version is rejected with a clear error: its messages could
// be misread.
func TestAnotherProtocolVersionIsRejected(t *testing.T) {
	remote, _, _ := listen(t)
	for _, service := range []string{"Post", "tuliprudder.2"} {
		client, err := rpc.Dial("tcp", remote)
		if err != nil {
			t.Fatal(err)
		}
		err = client.Call(service+".Deliver", MessageBatch{}, &DeliverReply{})
		if err == nil || !strings.Contains(err.Error(), "can't find service "+service) {
			t.Errorf("service %s: %v", service, err)
		}
		client.Close()
	}
}
