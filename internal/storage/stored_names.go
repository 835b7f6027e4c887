package storage

// The suffixes of files in a data folder. They are stored on disk and must not change.
const (
	groupSuffix     = ".group" // a commit group
	snapshotSuffix  = ".view"
	temporarySuffix = ".aside"
	archiveSuffix   = ".shelf"
)

// The formats that a file begins with. They are stored on disk and must not change.
const (
	formatV1 = "TRV1"
	formatV2 = "TRV2"
)
