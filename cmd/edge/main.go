// Program edge is the edge daemon: it carries callers' traffic (DESIGN §7). `edge -help`
// lists the settings.
package main

import "tuliprudder/internal/daemon/program"

func main() { program.Main(program.NewEdge()) }
