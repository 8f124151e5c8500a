//go:build linux

package server

import (
	"testing"
	"time"
)

// TestDiscoveryWatchResumesFromLastEvent checks that the discovery watch continues after the last event
// received when the stream breaks, skips an event, falls silent or moves to another address.
func TestDiscoveryWatchResumesFromLastEvent(t *testing.T) {
	server := startServer(t, 256)
	lastEvent := func() (number uint64) {
		server.runOnLoop(func() { number = server.core.LastDiscoveryEvent() })
		return number
	}
	call := waitFor(t, "a call to the discovery server", server.discovery.calls)
	if call.lastEventID != "1" {
		t.Fatalf("the first call has Last-Event-ID %q, want 1", call.lastEventID)
	}
	second := sseEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service"))
	third := sseEvent(3, nodeEntry(1, "127.0.0.1:1", "terminating"))
	fourth := sseEvent(4)
	call.text <- second + second + third[:len("id: 3\ndata: ")+20]
	close(call.text) // The stream ends in the middle of an event.
	call = waitFor(t, "a call after a break", server.discovery.calls)
	if call.lastEventID != "2" || lastEvent() != 2 {
		t.Fatalf("the call after a break has Last-Event-ID %q, want 2", call.lastEventID)
	}
	call.text <- fourth // Event 3 is missing.
	call = waitFor(t, "a call after a gap", server.discovery.calls)
	if call.lastEventID != "2" {
		t.Fatalf("the call after a gap has Last-Event-ID %q, want 2", call.lastEventID)
	}
	call.text <- third // The stream falls silent after this event.
	call = waitFor(t, "a call after silence", server.discovery.calls)
	if call.lastEventID != "3" {
		t.Fatalf("the call after silence has Last-Event-ID %q, want 3", call.lastEventID)
	}
	other := startDiscovery(t)
	next := server.configWithDiscovery(other.addr())
	server.runOnLoop(func() {
		server.Reload(next)
		server.Reload(next)
	})
	call = waitFor(t, "a call at the new address", other.calls)
	if call.lastEventID != "3" {
		t.Fatalf("the call after a move has Last-Event-ID %q, want 3", call.lastEventID)
	}
	call.text <- fourth
	server.waitForEvent(4)
	select {
	case <-other.calls:
		t.Fatal("two reloads at once led to two calls")
	default:
	}
}

// TestDiscoveryBackoff checks that the intervals between calls grow if the discovery server ends every call
// at once.
func TestDiscoveryBackoff(t *testing.T) {
	server := startServer(t, 256)
	var first time.Time
	for i := range 6 {
		call := waitFor(t, "a call to the discovery server", server.discovery.calls)
		if i == 0 {
			first = time.Now()
		}
		close(call.text)
	}
	// The delays are 50, 100, 200, 400 and 800 ms. Jitter shortens each by at most a quarter.
	if took := time.Since(first); took < 1150*time.Millisecond {
		t.Errorf("six calls were made within %v", took)
	}
}

// TestDiscoveryWatchIdleTimeout checks that a discovery stream that falls silent is opened again in time,
// after the last event received. The stream falls silent at a different point in each subtest.
func TestDiscoveryWatchIdleTimeout(t *testing.T) {
	second := sseEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service"))
	for name, test := range map[string]struct {
		text        string
		lastEventID string // lastEventID is the Last-Event-ID that the next call must send.
		meanwhile   func(server *testServer, discovery *rawDiscovery)
	}{
		"before the first byte":                {"", "1", nil},
		"in the middle of the header":          {sseResponseHead[:40], "1", nil},
		"after the header":                     {sseResponseHead, "1", nil},
		"after a comment":                      {sseResponseHead + ": still here\n\n", "1", nil},
		"in the middle of an event":            {sseResponseHead + second[:30], "1", nil},
		"in the middle of the end of an event": {sseResponseHead + second[:len(second)-1], "1", nil},
		"after an event":                       {sseResponseHead + second, "2", nil},
		"while the server stops": {sseResponseHead + second, "2", func(server *testServer, _ *rawDiscovery) {
			server.shutdown.requested = true
			server.shutdown.requestedAt = server.loop.Now()
		}},
		"after a reload of the same address": {sseResponseHead + second, "2", func(server *testServer, discovery *rawDiscovery) {
			server.Reload(server.configWithDiscovery(discovery.addr()))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, 256)
			discovery := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
			server.switchDiscovery(discovery.addr())
			firstCall := waitFor(t, "a call to the discovery server", discovery.calls)
			sendTo(t, firstCall, test.text)
			if test.meanwhile != nil {
				server.runOnLoop(func() { test.meanwhile(server, discovery) })
			}
			start := time.Now()
			retryCall := waitFor(t, "a second call", discovery.calls)
			if retryCall.lastEventID != test.lastEventID {
				t.Errorf("the second call has Last-Event-ID %q, want %q", retryCall.lastEventID, test.lastEventID)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("the second call was made only after %v", took)
			}
			waitFor(t, "the end of the silent connection", firstCall.closed)
			sendTo(t, retryCall, sseResponseHead+sseEvent(2)+sseEvent(3, nodeEntry(2, "127.0.0.1:1", "in_service")))
			server.waitForEvent(3)
		})
	}
}

// TestOldDiscoveryStreamIgnoredAfterMove checks that data from the stream at the old address is ignored after
// a move, and that the event numbers continue at the new address.
func TestOldDiscoveryStreamIgnoredAfterMove(t *testing.T) {
	server := startServer(t, 256)
	oldServer, newServer := startRawDiscovery(t, listenOn(t, "127.0.0.1:0")), startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.switchDiscovery(oldServer.addr())
	oldCall := waitFor(t, "a call to the discovery server", oldServer.calls)
	sendTo(t, oldCall, sseResponseHead+sseEvent(2)+"id: 3\ndata: ")
	server.waitForEvent(2)
	next := server.configWithDiscovery(newServer.addr())
	late := discoveryEvent(3, nodeEntry(7, "127.0.0.1:1", "in_service")) + "\n\n"
	server.blockLoopDuring(func() { sendTo(t, oldCall, late) }, func() { server.Reload(next) })
	call := waitFor(t, "a call to the discovery server", newServer.calls)
	if call.lastEventID != "2" {
		t.Errorf("the call has an unexpected Last-Event-ID %q", call.lastEventID)
	}
	waitFor(t, "the end of the old connection", oldCall.closed)
	sendTo(t, call, sseResponseHead+sseEvent(3, nodeEntry(8, "127.0.0.1:1", "in_service")))
	server.waitForEvent(3)
	server.runOnLoop(func() {
		if server.stats.WatchesOpened != 3 || len(server.nodes.byID) != 0 {
			t.Errorf("%d discovery streams were opened and %d links to nodes exist, want 3 and 0", server.stats.WatchesOpened, len(server.nodes.byID))
		}
	})
}

// TestDiscoveryMovesBeforeServerListens checks that a reload may name an address before a discovery server
// listens there, and that a later reload may name the first address again.
func TestDiscoveryMovesBeforeServerListens(t *testing.T) {
	server := startServer(t, 256)
	firstServer := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.switchDiscovery(firstServer.addr())
	first := waitFor(t, "a call to the discovery server", firstServer.calls)
	sendTo(t, first, sseResponseHead+sseEvent(2))
	server.waitForEvent(2)
	down := listenOn(t, "127.0.0.77:0") // No other test uses this address, so the port stays free until it is used again.
	addr := down.Addr().String()
	closeNow(t, down)
	server.switchDiscovery(addr)
	opened := uint64(0)
	server.runOnLoop(func() { opened = server.stats.WatchesOpened })
	server.waitUntil("retries", func() bool { return server.stats.WatchesOpened >= opened+2 })
	secondServer := startRawDiscovery(t, listenOn(t, addr))
	call := waitFor(t, "a call to the discovery server", secondServer.calls)
	if call.lastEventID != "2" {
		t.Errorf("the call has an unexpected Last-Event-ID %q", call.lastEventID)
	}
	sendTo(t, call, sseResponseHead+sseEvent(3))
	server.waitForEvent(3)
	server.switchDiscovery(firstServer.addr())
	call = waitFor(t, "a call at the first address", firstServer.calls)
	if call.lastEventID != "3" {
		t.Errorf("the call has an unexpected Last-Event-ID %q", call.lastEventID)
	}
}

// TestPlacementWithoutDiscovery checks that requests are placed on the nodes that the configuration lists if
// the discovery server is down from the start.
func TestPlacementWithoutDiscovery(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	server.discovery.Close()
	server.waitUntil("three calls to the discovery server", func() bool { return server.stats.WatchesOpened >= 3 })
	client := server.connect()
	client.send(checkMessage + launchMessage(1, "seats", `"x"`))
	client.expect(`"running"`)
}
