// Command stand plays one case of the review. It starts one scheduler by the command `run` of
// deploy/balancer.toml and stands in for its clients, its nodes, its discovery service and the network
// between them, all on loopback addresses and on the real clock. It writes what was sent, answered and run
// to a record, and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	ruleHeld      = 0
	ruleBroken    = 1
	couldNotRun   = 2
	maxCaseLength = 110 * time.Second
)

var cases = map[string]func(w *world) int{
	"move":    playMove,
	"reset":   playReset,
	"foreign": playForeign,
	"hang":    playHang,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "node" {
		runNode(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		os.Exit(couldNotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	time.AfterFunc(maxCaseLength, func() {
		w.note("the case took too long")
		w.finish(couldNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		w.note("ended by signal %v", <-signals)
		w.finish(couldNotRun)
	}()
	w.note("case %s, disruption %v", os.Args[1], w.trouble)
	w.finish(cases[os.Args[1]](w))
}
