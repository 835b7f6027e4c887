package replication

// Snapshot is the full state of a unit in parts. A part is encoded on demand, so that a snapshot
// takes little memory however large the state is, and costs nothing if the replica already has the
// state. The state does not change meanwhile: a primary appends nothing before every member has it.
// A part that is encoded again may differ in its bytes, but not in its content.
type Snapshot interface {
	// Sizes returns the approximate size of each part in bytes.
	Sizes() []int
	// Part encodes one part.
	Part(index int) []byte
}

// Parts is a snapshot whose parts are already encoded.
type Parts [][]byte

// Sizes returns the size of each part in bytes.
func (p Parts) Sizes() []int {
	sizes := make([]int, len(p))
	for i, part := range p {
		sizes[i] = len(part)
	}
	return sizes
}

// Part returns one part.
func (p Parts) Part(index int) []byte { return p[index] }

// AllParts encodes all parts of a snapshot.
func AllParts(snapshot Snapshot) [][]byte {
	return makeParts(snapshot, partRange{0, len(snapshot.Sizes())})
}

// partRange is the half-open range [from, to) of a snapshot's parts.
type partRange struct{ from, to int }

func makeParts(snapshot Snapshot, parts partRange) [][]byte {
	var out [][]byte
	for index := parts.from; index < parts.to; index++ {
		out = append(out, snapshot.Part(index))
	}
	return out
}

// splitIntoChunks groups consecutive parts into chunks of at most chunkSize. A larger part becomes a
// chunk of its own. So does the first part: a replica that already has the same state needs only the
// first chunk, so that the others need not be encoded. The empty state is one empty chunk.
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
