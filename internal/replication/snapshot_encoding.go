package replication

import "encoding/json"

// encodeParts encodes the parts of a snapshot as the body of a record: a JSON array of base64
// strings. Encoding byte slices never fails, so the error is ignored.
func encodeParts(parts [][]byte) []byte {
	data, _ := json.Marshal(parts)
	return data
}

// decodeParts decodes the body of a snapshot record. The error is ignored because the storage has
// verified the record's checksum.
func decodeParts(data []byte) [][]byte {
	var parts [][]byte
	_ = json.Unmarshal(data, &parts)
	return parts
}
