// Command mallowlinkctl is the operators' command-line tool.
package main

import (
	"os"

	"github.com/mallowlink/mallowlink/pkg/ctl"
)

func main() { os.Exit(ctl.Main()) }
