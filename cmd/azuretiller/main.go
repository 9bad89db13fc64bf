// Command azuretiller is the proxy that runs on every VM of the fleet.
package main

import (
	"os"

	"github.com/azuretiller/azuretiller/cmd/azuretiller/pkg/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
