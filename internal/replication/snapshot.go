package replication

// Snapshot is the whole state of a unit in parts. A part is made when it is asked for, so that a
// snapshot takes little memory however large the state is, and nothing where the replica turns out
// to have the state. The state does not change meanwhile: a primary appends nothing before every
// member has it. A part that is asked for again may differ in its bytes, not in what it says.
type Snapshot interface {
	// Sizes gives about how many bytes each part has.
	Sizes() []int
	// Part makes one part.
	Part(index int) []byte
}

// Parts is a snapshot whose parts are made already.
type Parts [][]byte

// Sizes gives how many bytes each part has.
func (p Parts) Sizes() []int {
	sizes := make([]int, len(p))
	for i, part := range p {
		sizes[i] = len(part)
	}
	return sizes
}

// Part gives one part.
func (p Parts) Part(index int) []byte { return p[index] }

// AllParts makes all parts of a snapshot.
func AllParts(snapshot Snapshot) [][]byte {
	return makeParts(snapshot, partRange{0, len(snapshot.Sizes())})
}

// partRange is consecutive parts of a snapshot: the first, and the one after the last.
type partRange struct{ from, to int }

func makeParts(snapshot Snapshot, parts partRange) [][]byte {
	var out [][]byte
	for index := parts.from; index < parts.to; index++ {
		out = append(out, snapshot.Part(index))
	}
	return out
}

// splitIntoChunks groups parts by their sizes into chunks of chunkSize at most. A larger part is a
// chunk of its own, and so is the first part: with the first chunk a replica that has the same state
// needs no more, and the others need not be made. The empty state is one empty chunk.
func splitIntoChunks(sizes []int) []partRange {
	var chunks []partRange
	chunk := partRange{}
	size := 0
	for index, partSize := range sizes {
		if index == 1 || size > 0 && size+partSize > chunkSize {
			chunks = append(chunks, chunk)
			chunk = partRange{index, index}
			size = 0
		}
		chunk.to = index + 1
		size += partSize
	}
	return append(chunks, chunk)
}
