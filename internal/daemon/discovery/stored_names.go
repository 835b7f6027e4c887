package discovery

// LastReadKey is the key of the LastRead update. It is gossiped between releases and must never
// change.
const LastReadKey = "lookout"
