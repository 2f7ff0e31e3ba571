// Command controller is a core machine: it keeps registers, votes on grants and
// owns partitions.
package main

import (
	"applequay/internal/daemon"
	"applequay/internal/settings"
	"applequay/platform"
)

func main() {
	daemon.RunController(platform.Start("controller", settings.PartNode|settings.PartDisk))
}
