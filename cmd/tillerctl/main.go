// Command tillerctl is the command-line client for operators of the fleet.
package main

import (
	"os"

	"github.com/azuretiller/azuretiller/cmd/tillerctl/pkg/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
