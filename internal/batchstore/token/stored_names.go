package token

// KeyPrefix is the prefix of the keys of writers' announcements among the gossiped updates. It
// is part of the wire format and must not change.
const KeyPrefix = "writer/"

// tokenVersion is the first byte of a position token and identifies its format. It must not
// change, because clients store tokens.
const tokenVersion = 1
