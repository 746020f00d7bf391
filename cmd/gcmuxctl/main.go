// Command gcmuxctl validates, prints and compares folders, checks configurations, and queries and controls
// running processes.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/goldcrestmux/goldcrestmux/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
