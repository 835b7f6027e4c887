package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/replication"
)

// put plays one configuration as a replica does.
func put(t *testing.T, s *State, number uint64, body string) {
	t.Helper()
	if err := s.ApplyEntry(Encode(PutConfiguration{Version: Version{Number: number, Body: json.RawMessage(body), By: "o"}})); err != nil {
		t.Fatal(err)
	}
}

func configured(t *testing.T, versions int) *State {
	t.Helper()
	s := New()
	Bootstrap{Fleet: "f", Shards: 2}.Apply(s)
	for n := 1; n <= versions; n++ {
		put(t, s, uint64(2*n), fmt.Sprintf(`{"n":%d,"text":"a<b"}`, n))
	}
	return s
}

// A snapshot reads back as it was written, whatever its size.
func TestSnapshotRoundTrip(t *testing.T) {
	for _, versions := range []int{0, 1, 3, 100, MaxRequests + 7} {
		s := configured(t, versions)
		RegisterStore{Store{ID: "a", Peer: "1", Zone: "z"}}.Apply(s)
		parts := s.Snapshot()
		back, err := Restore(parts)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back, s) && versions > 0 {
			t.Errorf("%d versions: read back another state", versions)
		}
		if again := back.Snapshot(); !bytes.Equal(bytes.Join(again, nil), bytes.Join(parts, nil)) {
			t.Errorf("%d versions: written again it differs", versions)
		}
		for _, part := range parts {
			if len(part) > maxSnapshotPartSize {
				t.Errorf("a part of %d bytes", len(part))
			}
		}
	}
	if s, err := Restore(nil); err != nil || s.Fleet != "" || s.NextWriter != 1 {
		t.Errorf("nothing at all: %+v %v", s, err)
	}
}

// Damage anywhere in a snapshot is found, and reported with a remedy; another release's
// form is not taken for damage.
func TestRestoreOfDamagedSnapshotFails(t *testing.T) {
	whole := bytes.Join(configured(t, 3).Snapshot(), nil)
	for at := range whole {
		corrupted := bytes.Clone(whole)
		corrupted[at] ^= 0x10
		if _, err := Restore([][]byte{corrupted}); err == nil || errs.Of(err).Remedy == "" || !errs.Is(err, errs.Corrupt) && !errs.Is(err, errs.WrongFolder) {
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
// newest read back, and stores and shards are as they were.
func TestRestoreReadsPreviousRelease(t *testing.T) {
	data, err := os.ReadFile("testdata/release-before.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore([][]byte{data})
	if err != nil {
		t.Fatal(err)
	}
	if s.Fleet != "f-core-1" || s.Seq != 18 || s.NextWriter != 4 || len(s.Stores) != 3 || !s.Stores["c"].Retiring || s.Stores["a"].Name != "m1" {
		t.Errorf("read %+v", s)
	}
	for n := uint64(3); n <= 36; n += 3 {
		digest, err := DigestOf([]byte(fmt.Sprintf(`{"ver":%d, "text":"a<b&c>é"}`, n)))
		if request, ok := s.Requests.Find(n); err != nil || !ok || request != (AppliedRequest{Number: n, Base: n - 3, Digest: digest}) {
			t.Errorf("version %d: %+v %v", n, request, ok)
		}
	}
	if latest, ok := s.Latest(); !ok || latest.Number != 36 || len(s.Versions) > maxDocuments {
		t.Errorf("the newest is %+v of %d", latest, len(s.Versions))
	}
	for shard, members := range [][]string{{"a", "b"}, {"b", "a", "c"}} {
		for _, id := range members {
			if !s.Shards[shard].MustKeep(id) {
				t.Errorf("shard %d: %s no longer holds it", shard, id)
			}
		}
	}
	if !s.Shards[0].Complete || s.Shards[0].Epoch != 3 || s.Shards[1].Complete || !s.Shards[1].IsTrusted("c") {
		t.Errorf("shards %+v", s.Shards)
	}
	put(t, s, 39, `{}`)
	if request, _ := s.Requests.Find(39); request.Base != 36 {
		t.Errorf("the next one is built on %d", request.Base)
	}
}

// Documents are kept by number and by size, and the newest two whatever their size;
// requests by number.
func TestStateSizeIsBounded(t *testing.T) {
	s := configured(t, MaxRequests+50)
	if len(s.Versions) != maxDocuments || s.Requests.Len() != MaxRequests || s.Requests.PrunedUpTo() != 100 {
		t.Errorf("%d documents, %d requests, %d forgotten", len(s.Versions), s.Requests.Len(), s.Requests.PrunedUpTo())
	}
	large := fmt.Sprintf(`{"text":"%s"}`, bytes.Repeat([]byte("x"), maxDocumentBytes))
	latest, _ := s.Latest()
	for i := uint64(1); i <= 3; i++ {
		put(t, s, latest.Number+i, large)
	}
	if len(s.Versions) != minDocuments {
		t.Errorf("%d large documents are kept", len(s.Versions))
	}
	if _, ok := s.Version(latest.Number); ok {
		t.Error("a small one behind large ones is kept")
	}
}

// A number is given to one document only, and never goes back.
func TestVersionNumberIsNotReused(t *testing.T) {
	s := configured(t, 3)
	put(t, s, 6, `{"other":1}`)
	put(t, s, 5, `{"other":1}`)
	if latest, _ := s.Latest(); latest.Number != 6 || string(latest.Body) == `{"other":1}` || s.Requests.Len() != 3 {
		t.Errorf("the newest is %d %s, %d requests", latest.Number, latest.Body, s.Requests.Len())
	}
}

// White space makes no other document; anything else does.
func TestDigestIgnoresOnlyWhiteSpace(t *testing.T) {
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

// What every daemon is sent does not grow with the stores that departed: the newest
// of them stay, and those that a shard refers to; no writer id is given again.
func TestDepartedStoresArePruned(t *testing.T) {
	s := New()
	Bootstrap{Fleet: "f", Shards: 1}.Apply(s)
	RegisterStore{Store{ID: "first", Peer: "p0"}}.Apply(s)
	RegisterStore{Store{ID: "second", Peer: "p1"}}.Apply(s)
	var assignment replication.Assignment
	if err := json.Unmarshal([]byte(`{"epoch":1,"owner":{"id":"first","life":1},"backup":{"id":"second","life":1},"complete":true,"trusted":["first","second"]}`), &assignment); err != nil {
		t.Fatal(err)
	}
	AssignShards{map[int]replication.Assignment{0: assignment}}.Apply(s)
	for i := 0; i < 500; i++ {
		RegisterStore{Store{ID: fmt.Sprint("store-", i), Peer: fmt.Sprint("p", i%5)}}.Apply(s)
		if i%2 == 0 {
			Retire{ID: fmt.Sprint("store-", i), Done: true}.Apply(s)
		}
	}
	for _, id := range []string{"first", "second", "store-499", "store-498"} {
		if _, ok := s.Stores[id]; !ok {
			t.Errorf("%s is no longer in the state", id)
		}
	}
	active := 0
	for _, store := range s.Stores {
		if !store.Evicted && !store.Retired {
			active++
		}
	}
	if departed := len(s.Stores) - active; departed > maxDepartedStores+2 || departed < maxDepartedStores {
		t.Errorf("%d departed stores are kept", departed)
	}
	RegisterStore{Store{ID: "store-0", Peer: "p9"}}.Apply(s)
	if back := s.Stores["store-0"]; back.Writer != 503 || s.NextWriter != 504 {
		t.Errorf("one that comes back writes as %d, the next as %d", back.Writer, s.NextWriter)
	}
}
