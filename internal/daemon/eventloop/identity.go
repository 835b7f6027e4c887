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
	"tuliprudder/internal/storage"
)

// Identity is who a daemon is. With a disk it is kept there, and each start is
// a new life; without one each start is a new identity.
type Identity struct {
	Kind        string `json:"kind"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"life"`
}

func newID(kind string) string {
	var random [6]byte
	rand.Read(random[:])
	return kind + "-" + hex.EncodeToString(random[:])
}

// NewIdentity is the identity of a daemon without a disk.
func NewIdentity(kind string, now clock.Micros) Identity {
	return Identity{Kind: kind, ID: newID(kind), Incarnation: uint64(now)}
}

// LoadIdentity reads the identity from the data folder and begins a new life.
func LoadIdentity(folder, kind string) (Identity, error) {
	if err := storage.MakeFolder(folder); err != nil {
		return Identity{}, err
	}
	name := filepath.Join(folder, identityFile)
	self := Identity{Kind: kind, ID: newID(kind)}
	data, err := os.ReadFile(name)
	switch {
	case err == nil:
		if json.Unmarshal(data, &self) != nil || self.ID == "" {
			return Identity{}, errs.New(errs.Corrupt, "move the whole data folder away and start empty; the fleet copies back what the pair holds", "identity.json in the data folder can't be read")
		}
		if self.Kind != kind {
			return Identity{}, errs.New(errs.WrongFolder, "point -data at this daemon's own folder, or at an empty one", "the data folder belongs to a %s, this is a %s", self.Kind, kind)
		}
	case os.IsNotExist(err):
		// Records without an identity are somebody's, but nobody knows whose.
		if onCancel, _ := filepath.Glob(filepath.Join(folder, recordsFolder, "*.*")); len(onCancel) > 0 {
			return Identity{}, errs.New(errs.Corrupt, "move the whole data folder away and start empty; the fleet copies back what the pair holds", "the data folder has records but no identity.json")
		}
	default:
		return Identity{}, errors.Wrap(err, "reading the identity")
	}
	self.Incarnation++
	data, _ = json.Marshal(self)
	return self, storage.WriteFileAtomically(name, data)
}
