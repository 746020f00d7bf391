// Command gcmux-relay runs the relay role of the query tier.
package main

import (
	"os"

	"github.com/goldcrestmux/goldcrestmux/daemon"
)

func main() { os.Exit(daemon.Run("gcmux-relay", os.Args[1:], os.Stderr)) }
