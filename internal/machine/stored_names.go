package machine

// An entry is encoded as {"k":KIND,"b":BODY}. An entry in exactly this form is decoded without a
// second pass over its body. These strings are stored on disk, as are the keys of encodedEntry, and
// must not change.
const (
	entryPrefix     = `{"k":"`
	entryBodyPrefix = `","b":`
)
