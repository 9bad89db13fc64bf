// Command standin stands in for the platform and the backend servers, and demonstrates the whole path.
package main

import (
	"os"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
