package machine

// An entry is encoded as {"k":KIND,"b":BODY}. One in just this form is decoded without a second
// pass over its body. These spellings are on disk, as are the keys of encodedEntry; they never
// change.
const (
	entryPrefix     = `{"k":"`
	entryBodyPrefix = `","b":`
)
