//go:build review

// Command standin-2 holds the stand-ins and the drivers of the cases under review/4 to
// review/8: the platform's store, backend servers, and for each case a driver that starts
// the gateways, sends the requests of its callers, and judges what they got.
//
// It uses nothing of the project, so that a fault of the project can't hide itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// drivers are the cases by name. A driver returns whether the rule held.
var drivers = map[string]func(*run) (held bool, err error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 store|server|early|case [flags]")
		os.Exit(exitNotRun)
	}
	command, args := os.Args[1], os.Args[2:]
	switch command {
	case "store":
		os.Exit(runStore(args))
	case "server":
		os.Exit(runServer(args))
	case "early":
		os.Exit(runEarlyServer(args))
	case "case":
		os.Exit(runCase(args))
	}
	fmt.Fprintf(os.Stderr, "standin-2: no command %q\n", command)
	os.Exit(exitNotRun)
}

// runCase runs one case and returns its exit code.
func runCase(args []string) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	name := flags.String("name", "", "case")
	daemon := flags.String("daemon", "target/briarturnd", "the deployed program")
	recordPath := flags.String("record", "record.txt", "file to write what was sent, answered and run")
	_ = flags.Parse(args) // exits on an error
	driver, ok := drivers[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin-2: no case %q\n", *name)
		return exitNotRun
	}
	r, err := newRun(*daemon, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitNotRun
	}
	defer r.close()
	r.endOnSignal(signals)
	held, err := driver(r)
	r.recordRuns()
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		return exitNotRun
	case held:
		r.note("verdict: the rule held")
		return exitHeld
	}
	r.note("verdict: the rule was broken")
	return exitBroken
}
