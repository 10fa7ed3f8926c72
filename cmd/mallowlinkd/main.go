// Command mallowlinkd is the daemon that runs on every VM of the fleet.
package main

import (
	"os"

	"github.com/mallowlink/mallowlink/pkg/daemon/command"
)

func main() { os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
