package storage

// The suffixes of files in a data folder. These spellings are on disk; they never change.
const (
	groupSuffix = ".group"
	viewSuffix  = ".view"
	asideSuffix = ".aside"
	shelfSuffix = ".shelf"
)

// The marks that a file begins with: the form it is in. The first form's body is JSON; the
// second's has the records' own bodies as they are, behind their heads in JSON. These
// spellings are on disk; they never change.
const (
	firstForm = "TRV1"
	magic     = "TRV2"
)
