package shard

import (
	"cmp"
	"encoding/base64"
	"encoding/json"

	"github.com/pkg/errors"
)

// ArchiveLocation tells where the items and results of a finished batch are stored on this
// daemon's own disk, and what has to be known of them without reading the file.
type ArchiveLocation struct {
	File          uint64        `json:"file"` // number of the archive file
	Items         int           `json:"items"`
	Results       int           `json:"rows"`
	LastPositions map[int]int64 `json:"last"` // highest position of each writer
	// size is how many bytes the batch has in the file; 0 where an earlier incarnation of this
	// daemon wrote it.
	size int
}

// IsArchivable tells whether the batch may be written to the archive: nothing can be
// added to it, and it is neither archived nor being archived.
func (b *Batch) IsArchivable() bool {
	return b.State != Open && b.Archived == nil && b.archiving == nil
}

// BeginArchiving records that an archive file with the batch is being written, and gives the
// batch as the file has it.
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

// IsBeingArchived tells whether an archive file with the batch is being written.
func (b *Batch) IsBeingArchived() bool { return b.archiving != nil }

// CompleteArchiving releases the items and results, which are durable in an archive file
// now.
func (b *Batch) CompleteArchiving() {
	*b = *b.withoutArchivedData()
}

// withoutArchivedData is the batch without what an archive file has of it, or will have; itself where no
// file does.
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

// unknownArchivedSize stands for the size of a batch that an earlier incarnation archived.
const unknownArchivedSize = 256 << 10

// Bytes that the JSON of a batch, an item and a result take besides their texts, about.
const (
	batchOverhead  = 256
	itemOverhead   = 192
	resultOverhead = 160
)

// size is about how many bytes the complete batch has in a snapshot.
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

// size is about how many bytes a request has in a snapshot, where its body is in base64.
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

// encodeForArchive is the complete batch as an archive file stores it.
func (b *Batch) encodeForArchive() []byte {
	complete := *b
	complete.Archived = nil
	data, _ := json.Marshal(complete)
	return data
}

// DecodeArchived reads a complete batch from the body of an archive's record.
func DecodeArchived(data []byte) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "reading an archived batch")
	}
	return &b, nil
}
