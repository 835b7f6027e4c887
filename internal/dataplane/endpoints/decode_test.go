package endpoints

import (
	"reflect"
	"testing"

	"tuliprudder/internal/machine"
)

func TestDecodeServers(t *testing.T) {
	server := Server{Name: "a", Address: "127.0.0.1:9", Labels: map[string]string{"l": "v"}, Slots: 2, Draining: true}
	updates := []machine.Update{
		{Key: ServerKey("unreadable"), Value: []byte(`{"name":5}`)},
		ServerUpdate(server, machine.Update{}, 1),
	}
	if got, want := DecodeServers(updates), []Server{server}; !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}
