package host

// peersFile is the name of the file of saved peer addresses in a data folder. It must never
// change: data folders of earlier releases have it.
const peersFile = "peers.json"
