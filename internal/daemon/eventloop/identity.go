package eventloop

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/storage"
)

// Identity is who a daemon is. A daemon with a disk keeps it there, and each start is a new
// incarnation; without a disk each start is a new identity. Its JSON is on disk; the keys
// never change.
type Identity struct {
	Kind        string `json:"kind"` // one of the kinds of package membership
	ID          string `json:"id"`
	Incarnation uint64 `json:"life"`
}

// randomIDBytes is how many random bytes an id has.
const randomIDBytes = 6

// newID makes the id of a new member. It begins with the member's role for those who read
// it: nothing parses it, and ids of earlier releases, which begin with the kind's stored
// name, stay valid beside it. Ids are compared only whole, and ordered only among members of
// one kind, where any order that all daemons agree on will do.
func newID(kind string) string {
	var random [randomIDBytes]byte
	rand.Read(random[:])
	return membership.Role(kind) + "-" + hex.EncodeToString(random[:])
}

// NewIdentity is the identity of a daemon without a disk. The time makes its incarnation
// newer than those before.
func NewIdentity(kind string, now clock.Micros) Identity {
	return Identity{Kind: kind, ID: newID(kind), Incarnation: uint64(now)}
}

// moveFolderRemedy is the remedy for a data folder that can't be used any more.
const moveFolderRemedy = "move the whole data folder away and start empty; the other replicas copy its contents back"

// LoadIdentity reads the identity from the data folder, or makes a new one in an empty
// folder, and begins a new incarnation. The error is errs.WrongFolder for a folder of
// another kind of daemon, errs.Corrupt for one that is damaged, and a storage.WriteError
// where the disk takes no writes.
func LoadIdentity(dataFolder, kind string) (Identity, error) {
	if err := storage.MakeFolder(dataFolder); err != nil {
		return Identity{}, err
	}
	self, err := readIdentity(dataFolder, kind)
	if err != nil {
		return Identity{}, err
	}
	self.Incarnation++
	data, err := json.Marshal(self)
	if err != nil {
		return Identity{}, errors.Wrap(err, "encoding the identity")
	}
	return self, storage.WriteFileAtomically(filepath.Join(dataFolder, identityFile), data)
}

// readIdentity reads the identity as the last start left it, or makes a new one.
func readIdentity(dataFolder, kind string) (Identity, error) {
	data, err := os.ReadFile(filepath.Join(dataFolder, identityFile))
	if os.IsNotExist(err) {
		return createIdentity(dataFolder, kind)
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "reading the identity")
	}
	self := Identity{Kind: kind}
	if json.Unmarshal(data, &self) != nil || self.ID == "" {
		return Identity{}, errs.New(errs.Corrupt, moveFolderRemedy, "%s in the data folder can't be read", identityFile)
	}
	if self.Kind != kind {
		return Identity{}, errs.New(errs.WrongFolder, "point -data at this daemon's own folder, or at an empty one", "the data folder belongs to a %s, this is a %s", membership.Role(self.Kind), membership.Role(kind))
	}
	return self, nil
}

// createIdentity makes the identity of an empty folder. Records without an identity are
// somebody's, but nobody knows whose.
func createIdentity(dataFolder, kind string) (Identity, error) {
	records, err := filepath.Glob(filepath.Join(dataFolder, recordsFolder, "*.*"))
	if err != nil {
		return Identity{}, errors.Wrap(err, "looking for records")
	}
	if len(records) > 0 {
		return Identity{}, errs.New(errs.Corrupt, moveFolderRemedy, "the data folder has records but no %s", identityFile)
	}
	return Identity{Kind: kind, ID: newID(kind)}, nil
}
