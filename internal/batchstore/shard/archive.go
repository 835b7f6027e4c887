package shard

import (
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
}

// IsArchivable tells whether the batch may be written to the archive: nothing can be
// added to it, and it is neither archived nor being archived.
func (b *Batch) IsArchivable() bool { return b.State != Open && b.Archived == nil && !b.archiving }

// BeginArchiving records that an archive file with the batch is being written.
func (b *Batch) BeginArchiving() { b.archiving = true }

// IsBeingArchived tells whether an archive file with the batch is being written.
func (b *Batch) IsBeingArchived() bool { return b.archiving }

// CompleteArchiving releases the items and results, which are durable in an archive file
// now.
func (b *Batch) CompleteArchiving(file uint64) {
	location := &ArchiveLocation{
		File:          file,
		Items:         len(b.Items),
		Results:       len(b.Results),
		LastPositions: map[int]int64{},
	}
	for _, result := range b.Results {
		location.LastPositions[result.Writer] = max(location.LastPositions[result.Writer], result.Position)
	}
	b.Archived = location
	b.archiving = false
	b.Items, b.Results, b.hasResult = nil, nil, nil
}

// EncodeForArchive is the complete batch as an archive file stores it.
func (b *Batch) EncodeForArchive() []byte {
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
