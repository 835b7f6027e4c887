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

// Identity identifies a daemon. A daemon with a disk stores it there, and each start begins a
// new incarnation; without a disk each start has a new identity. It is stored as JSON; the
// keys must not change.
type Identity struct {
	Kind        string `json:"kind"` // one of the kinds of package membership
	ID          string `json:"id"`
	Incarnation uint64 `json:"life"`
}

// randomIDBytes is the number of random bytes in an id.
const randomIDBytes = 6

// newID makes the id of a new member. It begins with the member's role for human readers:
// nothing parses it, and ids of earlier releases, which begin with the kind's stored name,
// stay valid. Ids are compared only as a whole, and ordered only among members of one kind,
// where any order that all daemons agree on is sufficient.
func newID(kind string) string {
	var random [randomIDBytes]byte
	rand.Read(random[:])
	return membership.Role(kind) + "-" + hex.EncodeToString(random[:])
}

// NewIdentity makes the identity of a daemon without a disk. Its incarnation is the current
// time, so that it is newer than earlier ones.
func NewIdentity(kind string, now clock.Micros) Identity {
	return Identity{Kind: kind, ID: newID(kind), Incarnation: uint64(now)}
}

// moveFolderRemedy is the remedy for a data folder that can no longer be used.
const moveFolderRemedy = "move the whole data folder away and start with an empty one; the data is copied from the other replicas"

// LoadIdentity reads the identity from the data folder, or makes a new one in an empty
// folder, and begins a new incarnation. The error is errs.WrongFolder for a folder of
// another kind of daemon, errs.Corrupt for a damaged folder, and a storage.WriteError if the
// disk accepts no writes.
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

// readIdentity reads the identity as stored by the last start, or makes a new one.
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

// createIdentity makes a new identity for an empty folder. A folder that has records but no
// identity is rejected, since its records belong to an unknown daemon.
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
