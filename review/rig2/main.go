//go:build review

// Command rig2 plays the scripted cases of the second review: a store, workers and consumers around processes of azuretiller.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(cannotRun)
	}
	cases := map[string]func(f *fleet, trouble bool) (bool, error){
		"early": runEarly, "slash": runSlash, "crashes": runCrashes, "key": runKey, "names": runNames,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(cannotRun)
	}
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, 115*time.Second)
	f, err := newFleet(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	result := make(chan int, 1)
	go func() {
		ok, err := run(f, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			f.logf("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			result <- cannotRun
		case ok:
			f.logf("the rule was kept")
			result <- held
		default:
			f.logf("the rule was broken")
			result <- broken
		}
	}()
	code := cannotRun
	select {
	case code = <-result:
	case <-ctx.Done():
	}
	cancel()
	f.stop()
	os.Exit(code)
}
