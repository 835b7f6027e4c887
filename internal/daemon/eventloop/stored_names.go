package eventloop

// The names in a data folder. These spellings are on disk; they never change.
const (
	identityFile  = "identity.json"
	recordsFolder = "records"
	archiveFolder = "shelf"
)
