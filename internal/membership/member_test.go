package membership

import "testing"

// Within an incarnation, a higher statement replaces every status of a lower one, and within a
// statement a higher status replaces a lower one.
func TestSeqOrdersByStatementThenStatus(t *testing.T) {
	inOrder := []Member{
		{Statement: 0, Status: Alive},
		{Statement: 0, Status: Suspect},
		{Statement: 0, Status: Dead},
		{Statement: 0, Status: Left},
		{Statement: 1, Status: Alive},
		{Statement: 1, Status: Suspect},
	}
	for i := 1; i < len(inOrder); i++ {
		if inOrder[i].Seq() <= inOrder[i-1].Seq() {
			t.Errorf("%+v does not replace %+v", inOrder[i], inOrder[i-1])
		}
	}
}

func TestMemberEncodeDecode(t *testing.T) {
	member := Member{ID: "a", Kind: Store, Zone: "north", Peer: "10.0.0.1:1", Incarnation: 3, Statement: 2, Status: Suspect, Draining: true, Version: ProtocolVersion}
	if got, ok := Decode(member.Encode()); !ok || got != member {
		t.Errorf("decoded %+v, %v", got, ok)
	}
	for _, text := range []string{"", "{}", "[]", `{"Kind":"refuge"}`} {
		if got, ok := Decode([]byte(text)); ok {
			t.Errorf("%q was decoded as member %+v", text, got)
		}
	}
}
