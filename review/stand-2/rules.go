package main

import "time"

const (
	// releaseLimit is how long after its end a task may remain unreleased, if no release could be sent before: 8 s,
	// and 50 ms as for every limit of time on sockets.
	releaseLimit = 8*time.Second + 50*time.Millisecond
)
