package storage

// The suffixes of files in a data folder. These spellings are on disk; they never change.
const (
	groupSuffix     = ".group" // a commit group
	snapshotSuffix  = ".view"
	temporarySuffix = ".aside"
	archiveSuffix   = ".shelf"
)

// The formats that a file begins with. These spellings are on disk; they never change.
const (
	formatV1 = "TRV1"
	formatV2 = "TRV2"
)
