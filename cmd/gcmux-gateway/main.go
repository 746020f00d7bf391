// Command gcmux-gateway runs the gateway role of the query tier.
package main

import (
	"os"

	"github.com/goldcrestmux/goldcrestmux/daemon"
)

func main() { os.Exit(daemon.Run("gcmux-gateway", os.Args[1:], os.Stderr)) }
