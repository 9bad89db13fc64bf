// Command standin runs stand-ins for the platform and the backend servers, and the demo, soak and capacity measurements that use them.
package main

import (
	"os"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
