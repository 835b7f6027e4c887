// Program edge is the edge daemon, which serves callers' requests (DESIGN §7). `edge -help` lists
// the settings.
package main

import "tuliprudder/internal/daemon/program"

func main() { program.Main(program.NewEdge()) }
