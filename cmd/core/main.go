// Program core is the core daemon. The cores elect a primary, which owns the control state
// (DESIGN §5). `core -help` lists the settings.
package main

import "tuliprudder/internal/daemon/program"

func main() { program.Main(program.NewCore()) }
