//go:build linux

// Package looptest runs event loops in the background of a test. It is for tests only; most call Start.
package looptest

import (
	"sync"
	"testing"

	"heathshed/internal/netio/eventloop"
)

// New returns a loop that is not running yet.
func New(tb testing.TB) *eventloop.Loop {
	tb.Helper()
	loop, err := eventloop.New()
	if err != nil {
		tb.Fatal(err)
	}
	return loop
}

// Run runs a loop until stop is called or the test ends. An error of the loop fails the test. stop returns when the loop has ended;
// further calls have no effect.
func Run(tb testing.TB, loop *eventloop.Loop) (stop func()) {
	tb.Helper()
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	stop = sync.OnceFunc(func() {
		loop.Stop()
		if err := <-done; err != nil {
			tb.Errorf("event loop: %v", err)
		}
	})
	tb.Cleanup(stop)
	return stop
}

// Start returns a loop that runs until the end of the test.
func Start(tb testing.TB) *eventloop.Loop {
	tb.Helper()
	loop := New(tb)
	Run(tb, loop)
	return loop
}
