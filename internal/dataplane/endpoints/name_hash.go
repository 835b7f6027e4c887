package endpoints

import "hash/fnv"

// NameHash returns the hash that replaces a server's name in frequent messages between daemons, to
// keep these small. Two servers may, though seldom, have the same hash; callers must tolerate that.
func NameHash(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}
