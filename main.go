// Command quincewinch serves models on a limited fleet of engines. See
// README.md.
package main

import (
	"os"

	"quincewinch/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Stdout, os.Stderr))
}
