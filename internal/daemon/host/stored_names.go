package host

// peersFile is the file of saved addresses in a data folder. This spelling is on disk; it
// never changes.
const peersFile = "peers.json"
