package store

import (
	"testing"

	"tuliprudder/kernel/machine"
)

// A store tells the cores the operator's name of its machine.
func TestABeatCarriesTheName(t *testing.T) {
	k := New(Self{ID: "s", Zone: "z", Peer: "p", Life: 1, Name: "machine"}, Defaults(), nil, shelf{})
	k.Do(Cores{Peers: []string{"c"}}, 1000)
	told := false
	for _, effect := range k.Do(ClockEvent{}, 1_000_000) {
		if send, ok := effect.(machine.Send); ok {
			beat, ok := send.Body.(Beat)
			told = told || ok && beat.Name == "machine" && beat.ID == "s"
		}
	}
	if !told {
		t.Fatal("no beat carries the name")
	}
}
