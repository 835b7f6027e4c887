package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"tuliprudder/kernel/errs"
	"tuliprudder/ledger/replication"
)

// put plays one configuration as a replica does.
func put(t *testing.T, c *State, number uint64, body string) {
	t.Helper()
	if err := c.Play(Encode(PutPlan{Version{Number: number, Body: json.RawMessage(body), By: "o"}})); err != nil {
		t.Fatal(err)
	}
}

func configured(t *testing.T, versions int) *State {
	t.Helper()
	c := New()
	Found{Fleet: "f", Slots: 2}.Apply(c)
	for n := 1; n <= versions; n++ {
		put(t, c, uint64(2*n), fmt.Sprintf(`{"n":%d,"text":"a<b"}`, n))
	}
	return c
}

// A snapshot reads back as it was written, whatever its size.
func TestASnapshotReadsBack(t *testing.T) {
	for _, versions := range []int{0, 1, 3, 100, MostOrders + 7} {
		c := configured(t, versions)
		EnrolStore{Store{ID: "a", Peer: "1", Zone: "z"}}.Apply(c)
		parts := c.Snapshot()
		back, err := Restore(parts)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back, c) && versions > 0 {
			t.Errorf("%d versions: read back another state", versions)
		}
		if again := back.Snapshot(); !bytes.Equal(bytes.Join(again, nil), bytes.Join(parts, nil)) {
			t.Errorf("%d versions: written again it differs", versions)
		}
		for _, part := range parts {
			if len(part) > snapshotPartMax {
				t.Errorf("a part of %d bytes", len(part))
			}
		}
	}
	if c, err := Restore(nil); err != nil || c.Fleet != "" || c.NextWriter != 1 {
		t.Errorf("nothing at all: %+v %v", c, err)
	}
}

// Damage anywhere in a snapshot is found, and told with a remedy; another release's
// form is told apart from damage.
func TestADamagedSnapshotIsToldApart(t *testing.T) {
	whole := bytes.Join(configured(t, 3).Snapshot(), nil)
	for at := range whole {
		spoilt := bytes.Clone(whole)
		spoilt[at] ^= 0x10
		if _, err := Restore([][]byte{spoilt}); err == nil || errs.Of(err).Remedy == "" || !errs.Is(err, errs.Corrupt) && !errs.Is(err, errs.WrongFolder) {
			t.Fatalf("byte %d: told %v", at, err)
		}
		if _, err := Restore([][]byte{whole[:at]}); at > 0 && !errs.Is(err, errs.Corrupt) {
			t.Fatalf("cut after %d: told %v", at, err)
		}
	}
	newer := append([]byte("TRS2"), whole[4:]...)
	if _, err := Restore([][]byte{newer}); !errs.Is(err, errs.WrongFolder) {
		t.Errorf("a newer form: told %v", err)
	}
	if _, err := Restore([][]byte{[]byte(`{"fleet":`)}); !errs.Is(err, errs.Corrupt) {
		t.Errorf("the release before's, cut short: told %v", err)
	}
}

// What the release before wrote is read: every configuration is recognised, the
// newest read back, and stores and slots stand as they were.
func TestTheReleaseBeforesStateIsRead(t *testing.T) {
	data, err := os.ReadFile("testdata/release-before.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Restore([][]byte{data})
	if err != nil {
		t.Fatal(err)
	}
	if c.Fleet != "f-core-1" || c.Seq != 18 || c.NextWriter != 4 || len(c.Stores) != 3 || !c.Stores["c"].Retiring || c.Stores["a"].Name != "m1" {
		t.Errorf("read %+v", c)
	}
	for n := uint64(3); n <= 36; n += 3 {
		digest, err := DigestOf([]byte(fmt.Sprintf(`{"ver":%d, "text":"a<b&c>é"}`, n)))
		if order, ok := c.Orders.Find(n); err != nil || !ok || order != (Order{Number: n, Base: n - 3, Digest: digest}) {
			t.Errorf("version %d: %+v %v", n, order, ok)
		}
	}
	if latest, ok := c.Latest(); !ok || latest.Number != 36 || len(c.Versions) > mostDocuments {
		t.Errorf("the newest is %+v of %d", latest, len(c.Versions))
	}
	for slot, members := range [][]string{{"a", "b"}, {"b", "a", "c"}} {
		for _, id := range members {
			if !c.Slots[slot].Holds(id) {
				t.Errorf("slot %d: %s no longer holds it", slot, id)
			}
		}
	}
	if !c.Slots[0].Complete || c.Slots[0].Epoch != 3 || c.Slots[1].Complete || !c.Slots[1].Trusts("c") {
		t.Errorf("slots %+v", c.Slots)
	}
	put(t, c, 39, `{}`)
	if order, _ := c.Orders.Find(39); order.Base != 36 {
		t.Errorf("the next one is built on %d", order.Base)
	}
}

// Documents are kept by number and by size, and the newest two whatever their size;
// orders by number.
func TestTheStateIsBounded(t *testing.T) {
	c := configured(t, MostOrders+50)
	if len(c.Versions) != mostDocuments || c.Orders.Len() != MostOrders || c.Orders.Forgotten() != 100 {
		t.Errorf("%d documents, %d orders, %d forgotten", len(c.Versions), c.Orders.Len(), c.Orders.Forgotten())
	}
	large := fmt.Sprintf(`{"text":"%s"}`, bytes.Repeat([]byte("x"), mostDocumentBytes))
	latest, _ := c.Latest()
	for i := uint64(1); i <= 3; i++ {
		put(t, c, latest.Number+i, large)
	}
	if len(c.Versions) != leastDocuments {
		t.Errorf("%d large documents are kept", len(c.Versions))
	}
	if _, ok := c.Version(latest.Number); ok {
		t.Error("a small one behind large ones is kept")
	}
}

// A number is given to one document only, and never goes back.
func TestANumberIsGivenOnce(t *testing.T) {
	c := configured(t, 3)
	put(t, c, 6, `{"other":1}`)
	put(t, c, 5, `{"other":1}`)
	if latest, _ := c.Latest(); latest.Number != 6 || string(latest.Body) == `{"other":1}` || c.Orders.Len() != 3 {
		t.Errorf("the newest is %d %s, %d orders", latest.Number, latest.Body, c.Orders.Len())
	}
}

// White space makes no other document; anything else does.
func TestDigests(t *testing.T) {
	digest := func(text string) Digest {
		d, err := DigestOf([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if digest(`{"a": [1, 2]}`) != digest("{\n\"a\":[1,2]}") || digest(`{"a":1}`) == digest(`{"a":2}`) || digest(`{"a":"x y"}`) == digest(`{"a":"xy"}`) {
		t.Error("digests are not those of the compact documents")
	}
	for _, text := range []string{``, `{"a":`, `{} {}`} {
		if _, err := DigestOf([]byte(text)); err == nil {
			t.Errorf("%q has a digest", text)
		}
	}
}

// What every daemon is told does not grow with the stores that are gone: the newest
// of them stay, and those that a slot refers to; no writer id is given again.
func TestStoresThatAreGoneLeaveTheState(t *testing.T) {
	c := New()
	Found{Fleet: "f", Slots: 1}.Apply(c)
	EnrolStore{Store{ID: "first", Peer: "p0"}}.Apply(c)
	EnrolStore{Store{ID: "second", Peer: "p1"}}.Apply(c)
	var assignment replication.Assignment
	if err := json.Unmarshal([]byte(`{"epoch":1,"owner":{"id":"first","life":1},"backup":{"id":"second","life":1},"complete":true,"trusted":["first","second"]}`), &assignment); err != nil {
		t.Fatal(err)
	}
	Pair{map[int]replication.Assignment{0: assignment}}.Apply(c)
	for i := 0; i < 500; i++ {
		EnrolStore{Store{ID: fmt.Sprint("store-", i), Peer: fmt.Sprint("p", i%5)}}.Apply(c)
		if i%2 == 0 {
			Retire{ID: fmt.Sprint("store-", i), Done: true}.Apply(c)
		}
	}
	for _, id := range []string{"first", "second", "store-499", "store-498"} {
		if _, ok := c.Stores[id]; !ok {
			t.Errorf("%s left the state", id)
		}
	}
	living := 0
	for _, store := range c.Stores {
		if !store.Struck && !store.Retired {
			living++
		}
	}
	if gone := len(c.Stores) - living; gone > mostGoneStores+2 || gone < mostGoneStores {
		t.Errorf("%d stores that are gone are kept", gone)
	}
	EnrolStore{Store{ID: "store-0", Peer: "p9"}}.Apply(c)
	if back := c.Stores["store-0"]; back.Writer != 503 || c.NextWriter != 504 {
		t.Errorf("one that comes back writes as %d, the next as %d", back.Writer, c.NextWriter)
	}
}
