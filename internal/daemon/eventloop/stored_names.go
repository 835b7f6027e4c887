package eventloop

// Names of files and folders in a data folder. They are stored on disk and must not change.
const (
	identityFile  = "identity.json"
	recordsFolder = "records"
	archiveFolder = "shelf"
)
