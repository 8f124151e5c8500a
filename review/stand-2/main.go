// Command stand-2 plays one case of the second review: it starts the scheduler as the deploy file says, and stands
// in for the clients, the front, the nodes and the discovery service. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

var cases = map[string]func(*world) verdict{}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROOT FOLDER")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		failure := recover()
		if reason, ok := failure.(cannotRun); ok {
			w.logf("case", "could not run: %s", reason.reason)
			fmt.Println("could not run:", reason.reason)
			status, failure = 2, nil
		}
		w.close()
		if failure != nil {
			panic(failure)
		}
	}()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(110 * time.Second):
		}
		w.logf("case", "stopped before its end")
		w.close()
		os.Exit(2)
	}()
	result := cases[os.Args[1]](w)
	word, status := "held", 0
	if result.broken {
		word, status = "BROKEN", 1
	}
	w.logf("case", "the rule %s: %s", word, result.reason)
	fmt.Printf("the rule %s: %s\n", word, result.reason)
	return status
}
