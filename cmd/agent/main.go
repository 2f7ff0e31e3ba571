// Command agent runs beside a proxy: it keeps the link to the
// core and the other fronts, and feeds the proxy over loopback. On a machine with a
// disk, where a data folder is named, it is a controller too.
package main

import (
	"applequay/internal/daemon"
	"applequay/internal/settings"
	"applequay/platform"
)

func main() {
	daemon.RunAgent(platform.Start("agent", settings.PartNode|settings.PartLine|settings.PartOptionalDisk))
}
