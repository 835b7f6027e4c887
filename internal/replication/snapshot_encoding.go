package replication

import "encoding/json"

// encodeParts writes the parts of a snapshot as the body of a record: a JSON array of base64
// texts. Byte slices can always be encoded.
func encodeParts(parts [][]byte) []byte {
	data, _ := json.Marshal(parts)
	return data
}

// decodeParts reads the body of a snapshot record. The storage has checked it against its
// checksum, so that it is as it was written.
func decodeParts(data []byte) [][]byte {
	var parts [][]byte
	_ = json.Unmarshal(data, &parts)
	return parts
}
