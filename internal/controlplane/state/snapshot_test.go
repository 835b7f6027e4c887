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

// put applies one configuration from its encoded entry, as a replica does.
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

// Restoring a snapshot gives the same state, whatever its size, and encodes to the same bytes.
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
			t.Errorf("%d versions: the restored state differs", versions)
		}
		if again := back.Snapshot(); !bytes.Equal(bytes.Join(again, nil), bytes.Join(parts, nil)) {
			t.Errorf("%d versions: the snapshot of the restored state differs", versions)
		}
		for _, part := range parts {
			if len(part) > maxSnapshotPartSize {
				t.Errorf("a part has %d bytes, more than maxSnapshotPartSize", len(part))
			}
		}
	}
	if s, err := Restore(nil); err != nil || s.Fleet != "" || s.NextWriter != 1 {
		t.Errorf("restoring no parts: %+v %v", s, err)
	}
}

// A flipped bit or a truncation anywhere in a snapshot is detected and reported with a remedy. The
// format of another release is not reported as damage.
func TestRestoreOfDamagedSnapshotFails(t *testing.T) {
	whole := bytes.Join(configured(t, 3).Snapshot(), nil)
	for at := range whole {
		corrupted := bytes.Clone(whole)
		corrupted[at] ^= 0x10
		if _, err := Restore([][]byte{corrupted}); err == nil || errs.Of(err).Remedy == "" || !errs.Is(err, errs.Corrupt) && !errs.Is(err, errs.WrongFolder) {
			t.Fatalf("byte %d corrupted: got error %v", at, err)
		}
		if _, err := Restore([][]byte{whole[:at]}); at > 0 && !errs.Is(err, errs.Corrupt) {
			t.Fatalf("truncated after %d bytes: got error %v", at, err)
		}
	}
	newer := append([]byte("TRS2"), whole[4:]...)
	if _, err := Restore([][]byte{newer}); !errs.Is(err, errs.WrongFolder) {
		t.Errorf("newer format: got error %v", err)
	}
	if _, err := Restore([][]byte{[]byte(`{"fleet":`)}); !errs.Is(err, errs.Corrupt) {
		t.Errorf("truncated snapshot of the previous release: got error %v", err)
	}
}

// A snapshot of the previous release is restored: requests for all its configurations are
// recognised, the newest documents are kept, and stores and shards are unchanged.
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
		t.Errorf("restored %+v", s)
	}
	for n := uint64(3); n <= 36; n += 3 {
		digest, err := DigestOf([]byte(fmt.Sprintf(`{"ver":%d, "text":"a<b&c>é"}`, n)))
		if request, ok := s.Requests.Find(n); err != nil || !ok || request != (AppliedRequest{Number: n, Base: n - 3, Digest: digest}) {
			t.Errorf("version %d: %+v %v", n, request, ok)
		}
	}
	if latest, ok := s.Latest(); !ok || latest.Number != 36 || len(s.Versions) > maxDocuments {
		t.Errorf("the latest is %+v of %d", latest, len(s.Versions))
	}
	for shard, members := range [][]string{{"a", "b"}, {"b", "a", "c"}} {
		for _, id := range members {
			if !s.Shards[shard].MustKeep(id) {
				t.Errorf("shard %d: %s need not keep it any more", shard, id)
			}
		}
	}
	if !s.Shards[0].Complete || s.Shards[0].Epoch != 3 || s.Shards[1].Complete || !s.Shards[1].IsTrusted("c") {
		t.Errorf("shards %+v", s.Shards)
	}
	put(t, s, 39, `{}`)
	if request, _ := s.Requests.Find(39); request.Base != 36 {
		t.Errorf("the next version has base %d, want 36", request.Base)
	}
}

// The kept documents are bounded in number and size, except that the newest two are kept whatever
// their size. Requests are bounded in number.
func TestStateSizeIsBounded(t *testing.T) {
	s := configured(t, MaxRequests+50)
	if len(s.Versions) != maxDocuments || s.Requests.Len() != MaxRequests || s.Requests.PrunedUpTo() != 100 {
		t.Errorf("%d documents, %d requests, pruned up to %d", len(s.Versions), s.Requests.Len(), s.Requests.PrunedUpTo())
	}
	large := fmt.Sprintf(`{"text":"%s"}`, bytes.Repeat([]byte("x"), maxDocumentBytes))
	latest, _ := s.Latest()
	for i := uint64(1); i <= 3; i++ {
		put(t, s, latest.Number+i, large)
	}
	if len(s.Versions) != minDocuments {
		t.Errorf("%d large documents are kept, want minDocuments", len(s.Versions))
	}
	if _, ok := s.Version(latest.Number); ok {
		t.Error("a small document older than the large ones is kept")
	}
}

// A version whose number is not above the latest is ignored, so no number gets a second document.
func TestVersionNumberIsNotReused(t *testing.T) {
	s := configured(t, 3)
	put(t, s, 6, `{"other":1}`)
	put(t, s, 5, `{"other":1}`)
	if latest, _ := s.Latest(); latest.Number != 6 || string(latest.Body) == `{"other":1}` || s.Requests.Len() != 3 {
		t.Errorf("the latest is %d %s, %d requests", latest.Number, latest.Body, s.Requests.Len())
	}
}

// White space between tokens does not change a digest; any other difference does.
func TestDigestIgnoresOnlyWhiteSpace(t *testing.T) {
	digest := func(text string) Digest {
		d, err := DigestOf([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if digest(`{"a": [1, 2]}`) != digest("{\n\"a\":[1,2]}") || digest(`{"a":1}`) == digest(`{"a":2}`) || digest(`{"a":"x y"}`) == digest(`{"a":"xy"}`) {
		t.Error("digests are not those of the compacted documents")
	}
	for _, text := range []string{``, `{"a":`, `{} {}`} {
		if _, err := DigestOf([]byte(text)); err == nil {
			t.Errorf("no error for the invalid document %q", text)
		}
	}
}

// The state that is sent to every daemon does not grow with the number of departed stores: only the
// newest of them stay, and those that a shard refers to. Writer ids are not reused.
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
		t.Errorf("a store that comes back has writer id %d, the next one gets %d", back.Writer, s.NextWriter)
	}
}
