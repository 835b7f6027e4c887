package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// MostOrders is how many of the newest configuration orders are recognised when
// they are sent again. An older one is neither taken nor refused: its outcome is
// left unclear.
const MostOrders = 1024

// DigestSize is the length of a document's digest in bytes.
const DigestSize = 16

// Digest identifies a document, whatever its white space.
type Digest [DigestSize]byte

// String is the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf is the digest of a JSON document in its compact form.
func DigestOf(document json.RawMessage) (Digest, error) {
	compact, err := json.Marshal(document)
	if err != nil {
		return Digest{}, errors.Wrap(err, "reading a configuration")
	}
	sum := sha256.Sum256(compact)
	return Digest(sum[:DigestSize]), nil
}

// Order is the identity of a configuration that was taken: its number, the version
// it was built on and the digest of its document.
type Order struct {
	Number uint64 `json:"version"`
	Base   uint64 `json:"base"`
	Digest Digest `json:"-"`
}

// OrderTable recognises the configurations that were taken, after their documents
// are gone. Numbers rise from entry to entry; the oldest give way.
type OrderTable struct {
	entries   []Order
	forgotten uint64
}

// Len is the number of orders in the table.
func (t *OrderTable) Len() int { return len(t.entries) }

// All lists the orders by rising number.
func (t *OrderTable) All() []Order { return append([]Order(nil), t.entries...) }

// Forgotten is the highest number that gave way; whether an order up to it was
// taken is no longer known.
func (t *OrderTable) Forgotten() uint64 { return t.forgotten }

// Find looks an order up by its number.
func (t *OrderTable) Find(number uint64) (Order, bool) {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Number >= number })
	if at == len(t.entries) || t.entries[at].Number != number {
		return Order{}, false
	}
	return t.entries[at], true
}

// BuiltOn looks up the order that was taken on top of a version.
func (t *OrderTable) BuiltOn(base uint64) (Order, bool) {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Base >= base })
	if at == len(t.entries) || t.entries[at].Base != base {
		return Order{}, false
	}
	return t.entries[at], true
}

// add appends an order whose number is above all others.
func (t *OrderTable) add(order Order) {
	if len(t.entries) >= MostOrders {
		t.forgotten = t.entries[0].Number
		copy(t.entries, t.entries[1:])
		t.entries = t.entries[:len(t.entries)-1]
	}
	t.entries = append(t.entries, order)
}

// orderTableDocument is the table in a snapshot. Each order is its number's
// distance from the one before, its base's distance from its number, both as
// variable-length integers, and its digest.
type orderTableDocument struct {
	Forgotten uint64 `json:"forgotten"`
	Packed    []byte `json:"packed"`
}

// MarshalJSON packs the table.
func (t OrderTable) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(t.entries)*(DigestSize+4))
	last := t.forgotten
	for _, order := range t.entries {
		packed = binary.AppendUvarint(packed, order.Number-last)
		packed = binary.AppendUvarint(packed, order.Number-order.Base)
		packed = append(packed, order.Digest[:]...)
		last = order.Number
	}
	return json.Marshal(orderTableDocument{Forgotten: t.forgotten, Packed: packed})
}

// UnmarshalJSON unpacks the table.
func (t *OrderTable) UnmarshalJSON(data []byte) error {
	var document orderTableDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return errors.Wrap(err, "reading the table of orders")
	}
	fresh := OrderTable{forgotten: document.Forgotten}
	reader := bytes.NewReader(document.Packed)
	last := document.Forgotten
	for reader.Len() > 0 {
		order, err := readOrder(reader, last)
		if err != nil {
			return errors.Wrapf(err, "order %d of the table is cut short", len(fresh.entries))
		}
		fresh.entries = append(fresh.entries, order)
		last = order.Number
	}
	*t = fresh
	return nil
}

func readOrder(reader *bytes.Reader, last uint64) (Order, error) {
	rise, err := binary.ReadUvarint(reader)
	if err != nil {
		return Order{}, err
	}
	order := Order{Number: last + rise}
	depth, err := binary.ReadUvarint(reader)
	if err != nil {
		return Order{}, err
	}
	order.Base = order.Number - depth
	if n, _ := reader.Read(order.Digest[:]); n != DigestSize {
		return Order{}, errors.New("the digest is too short")
	}
	return order, nil
}
