package endpoints

import "hash/fnv"

// NameHash stands for a server's name in frequent messages between daemons, which mustn't be large.
// Two servers seldom have the same; whoever uses it has to bear that.
func NameHash(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}
