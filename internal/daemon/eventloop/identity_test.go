package eventloop

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

func TestEachStartIsANewIncarnation(t *testing.T) {
	folder := t.TempDir()
	before, err := LoadIdentity(folder, "refuge")
	if err != nil {
		t.Fatal(err)
	}
	second, err := LoadIdentity(folder, "refuge")
	if err != nil || second.ID != before.ID || second.Incarnation != before.Incarnation+1 {
		t.Fatalf("first %+v, second %+v, %v", before, second, err)
	}
	other, err := LoadIdentity(t.TempDir(), "refuge")
	if err != nil || other.ID == before.ID {
		t.Fatalf("an empty folder is %+v, %v", other, err)
	}
}

// Ids of new members begin with their role; an id that an earlier release stored is kept.
func TestIDsOfNewAndEarlierMembers(t *testing.T) {
	for kind, role := range map[string]string{membership.Edge: "edge", membership.Store: "store", membership.Core: "core"} {
		if id := NewIdentity(kind, 1).ID; !regexp.MustCompile("^" + role + "-[0-9a-f]{12}$").MatchString(id) {
			t.Errorf("the id of a new %s is %s", role, id)
		}
	}
	folder := t.TempDir()
	earlier := `{"kind":"refuge","id":"refuge-0123456789ab","life":4}`
	if err := os.WriteFile(filepath.Join(folder, "identity.json"), []byte(earlier), 0o644); err != nil {
		t.Fatal(err)
	}
	want := Identity{Kind: membership.Store, ID: "refuge-0123456789ab", Incarnation: 5}
	if got, err := LoadIdentity(folder, membership.Store); err != nil || got != want {
		t.Errorf("read %+v, %v", got, err)
	}
}

// A folder of another kind of daemon, a damaged one, and one with records but no identity are
// rejected.
func TestLoadIdentityRejectsWrongFolders(t *testing.T) {
	folder := t.TempDir()
	if _, err := LoadIdentity(folder, "refuge"); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadIdentity(folder, "cairn"); !errs.Is(err, errs.WrongFolder) {
		t.Fatalf("a store's folder for a core: %v", err)
	}
	for _, damaged := range []string{"{", "{}", `{"kind":"refuge","life":3}`} {
		if err := os.WriteFile(filepath.Join(folder, "identity.json"), []byte(damaged), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadIdentity(folder, "refuge"); !errs.Is(err, errs.Corrupt) {
			t.Fatalf("a damaged identity %q: %v", damaged, err)
		}
	}
	os.Remove(filepath.Join(folder, "identity.json"))
	if err := os.MkdirAll(filepath.Join(folder, "records"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "records", "0000000000000001.group"), []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadIdentity(folder, "refuge"); !errs.Is(err, errs.Corrupt) {
		t.Fatalf("records without an identity: %v", err)
	}
}
