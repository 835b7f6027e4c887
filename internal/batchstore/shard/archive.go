package shard

import (
	"cmp"
	"encoding/base64"
	"encoding/json"

	"github.com/pkg/errors"
)

// ArchiveLocation is where the items and results of a finished batch are stored on this
// daemon's own disk, with the facts about them that are needed without reading the file.
type ArchiveLocation struct {
	File          uint64        `json:"file"` // number of the archive file
	Items         int           `json:"items"`
	Results       int           `json:"rows"`
	LastPositions map[int]int64 `json:"last"` // highest position of each writer
	// size is the size of the batch in the file in bytes; 0 if an earlier incarnation of this
	// daemon wrote it.
	size int
}

// IsArchivable reports whether the batch may be written to the archive: it is no longer open,
// and is neither archived nor being archived.
func (b *Batch) IsArchivable() bool {
	return b.State != Open && b.Archived == nil && b.archiving == nil
}

// BeginArchiving records that an archive file with the batch is being written, and returns the
// batch as encoded for the file.
func (b *Batch) BeginArchiving(file uint64) []byte {
	data := b.encodeForArchive()
	location := &ArchiveLocation{
		File:          file,
		Items:         len(b.Items),
		Results:       len(b.Results),
		LastPositions: map[int]int64{},
		size:          len(data),
	}
	for _, result := range b.Results {
		location.LastPositions[result.Writer] = max(location.LastPositions[result.Writer], result.Position)
	}
	b.archiving = location
	return data
}

// IsBeingArchived reports whether an archive file with the batch is being written.
func (b *Batch) IsBeingArchived() bool { return b.archiving != nil }

// CompleteArchiving releases the items and results from memory once they are durable in an
// archive file.
func (b *Batch) CompleteArchiving() {
	*b = *b.withoutArchivedData()
}

// withoutArchivedData returns the batch without the items and results that an archive file being
// written will hold, or the batch itself if no such file is being written.
func (b *Batch) withoutArchivedData() *Batch {
	if b.archiving == nil {
		return b
	}
	archived := *b
	archived.Archived = b.archiving
	archived.archiving = nil
	archived.Items, archived.Results, archived.hasResult = nil, nil, nil
	return &archived
}

// unknownArchivedSize is the assumed size of a batch that an earlier incarnation archived.
const unknownArchivedSize = 256 << 10

// Approximate sizes in bytes of the JSON of a batch, an item and a result without their text.
const (
	batchOverhead  = 256
	itemOverhead   = 192
	resultOverhead = 160
)

// size returns the approximate size of the complete batch in a snapshot in bytes.
func (b *Batch) size() int {
	if b.Archived != nil {
		return cmp.Or(b.Archived.size, unknownArchivedSize)
	}
	size := batchOverhead
	for _, item := range b.Items {
		size += itemOverhead + len(item.ID) + len(item.Input) + item.Request.size()
	}
	for _, result := range b.Results {
		size += resultOverhead + len(result.ItemID) + len(result.Output)
	}
	return size
}

// size returns the approximate size of a request in a snapshot in bytes. Its body is in base64 there.
func (r *Request) size() int {
	if r == nil {
		return 0
	}
	size := len(r.Target) + len(r.Host) + base64.StdEncoding.EncodedLen(len(r.Body))
	for name, value := range r.Header {
		size += len(name) + len(value)
	}
	return size
}

// encodeForArchive encodes the complete batch for an archive file.
func (b *Batch) encodeForArchive() []byte {
	complete := *b
	complete.Archived = nil
	data, _ := json.Marshal(complete)
	return data
}

// DecodeArchived decodes a complete batch from the body of an archive record.
func DecodeArchived(data []byte) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "decoding an archived batch")
	}
	return &b, nil
}
