//go:build linux

package server

import (
	"testing"
	"time"
)

// TestDiscoveryWatchResumesFromLastEvent: after a break, a gap, silence and a move the discovery watch continues from the last event.
func TestDiscoveryWatchResumesFromLastEvent(t *testing.T) {
	server := startServer(t, 256)
	lastEvent := func() (number uint64) {
		server.runOnLoop(func() { number = server.core.LastDiscoveryEvent() })
		return number
	}
	call := waitFor(t, "call", server.discovery.calls)
	if call.lastEventID != "1" {
		t.Fatalf("Last-Event-ID %q", call.lastEventID)
	}
	second := sseEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service"))
	third := sseEvent(3, nodeEntry(1, "127.0.0.1:1", "terminating"))
	fourth := sseEvent(4)
	call.text <- second + second + third[:len("id: 3\ndata: ")+20]
	close(call.text) // in the middle of an event
	call = waitFor(t, "call after a break", server.discovery.calls)
	if call.lastEventID != "2" || lastEvent() != 2 {
		t.Fatalf("Last-Event-ID %q after a break", call.lastEventID)
	}
	call.text <- fourth // a gap
	call = waitFor(t, "call after a gap", server.discovery.calls)
	if call.lastEventID != "2" {
		t.Fatalf("Last-Event-ID %q after a gap", call.lastEventID)
	}
	call.text <- third // and then silence
	call = waitFor(t, "call after silence", server.discovery.calls)
	if call.lastEventID != "3" {
		t.Fatalf("Last-Event-ID %q after silence", call.lastEventID)
	}
	other := startDiscovery(t)
	next := server.configWithDiscovery(other.addr())
	server.runOnLoop(func() {
		server.Reload(next)
		server.Reload(next)
	})
	call = waitFor(t, "call at the new address", other.calls)
	if call.lastEventID != "3" {
		t.Fatalf("Last-Event-ID %q after a move", call.lastEventID)
	}
	call.text <- fourth
	server.waitForEvent(4)
	select {
	case <-other.calls:
		t.Fatal("two calls after two reloads at once")
	default:
	}
}

// TestDiscoveryBackoff: a discovery server that ends every call at once is called at growing intervals.
func TestDiscoveryBackoff(t *testing.T) {
	server := startServer(t, 256)
	var first time.Time
	for i := range 6 {
		call := waitFor(t, "call", server.discovery.calls)
		if i == 0 {
			first = time.Now()
		}
		close(call.text)
	}
	// Backoffs of 0.05, 0.1, 0.2, 0.4 and 0.8 s, with jitter three quarters of that at least.
	if took := time.Since(first); took < 1150*time.Millisecond {
		t.Errorf("six calls within %v", took)
	}
}

// TestDiscoveryWatchIdleTimeout: wherever a discovery stream falls silent, it is opened again in time, from the last event that was received.
func TestDiscoveryWatchIdleTimeout(t *testing.T) {
	second := sseEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service"))
	for name, test := range map[string]struct {
		text        string
		lastEventID string // of the next call
		meanwhile   func(server *testServer, discovery *rawDiscovery)
	}{
		"before the first byte":     {"", "1", nil},
		"in the middle of the head": {sseResponseHead[:40], "1", nil},
		"after the head":            {sseResponseHead, "1", nil},
		"after a comment":           {sseResponseHead + ": still here\n\n", "1", nil},
		"in the middle of an event": {sseResponseHead + second[:30], "1", nil},
		"in the middle of its end":  {sseResponseHead + second[:len(second)-1], "1", nil},
		"after an event":            {sseResponseHead + second, "2", nil},
		"while the server stops": {sseResponseHead + second, "2", func(server *testServer, _ *rawDiscovery) {
			server.shutdown.requested = true
			server.shutdown.requestedAt = server.loop.Now()
		}},
		"after a reload to the same": {sseResponseHead + second, "2", func(server *testServer, discovery *rawDiscovery) {
			server.Reload(server.configWithDiscovery(discovery.addr()))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, 256)
			discovery := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
			server.switchDiscovery(discovery.addr())
			firstCall := waitFor(t, "call", discovery.calls)
			sendTo(t, firstCall, test.text)
			if test.meanwhile != nil {
				server.runOnLoop(func() { test.meanwhile(server, discovery) })
			}
			start := time.Now()
			retryCall := waitFor(t, "second call", discovery.calls)
			if retryCall.lastEventID != test.lastEventID {
				t.Errorf("called from event %s, want %s", retryCall.lastEventID, test.lastEventID)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("called again after %v", took)
			}
			waitFor(t, "end of the silent connection", firstCall.closed)
			sendTo(t, retryCall, sseResponseHead+sseEvent(2)+sseEvent(3, nodeEntry(2, "127.0.0.1:1", "in_service")))
			server.waitForEvent(3)
		})
	}
}

// TestOldDiscoveryWatchIgnoredAfterMove: what the stream of the old address still delivers after a move is ignored; the numbers continue at the new
// address.
func TestOldDiscoveryWatchIgnoredAfterMove(t *testing.T) {
	server := startServer(t, 256)
	oldServer, newServer := startRawDiscovery(t, listenOn(t, "127.0.0.1:0")), startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.switchDiscovery(oldServer.addr())
	oldCall := waitFor(t, "call", oldServer.calls)
	sendTo(t, oldCall, sseResponseHead+sseEvent(2)+"id: 3\ndata: ")
	server.waitForEvent(2)
	next := server.configWithDiscovery(newServer.addr())
	late := discoveryEvent(3, nodeEntry(7, "127.0.0.1:1", "in_service")) + "\n\n"
	server.blockLoopDuring(func() { sendTo(t, oldCall, late) }, func() { server.Reload(next) })
	call := waitFor(t, "call", newServer.calls)
	if call.lastEventID != "2" {
		t.Errorf("called from event %s", call.lastEventID)
	}
	waitFor(t, "end of the old connection", oldCall.closed)
	sendTo(t, call, sseResponseHead+sseEvent(3, nodeEntry(8, "127.0.0.1:1", "in_service")))
	server.waitForEvent(3)
	server.runOnLoop(func() {
		if server.stats.WatchesOpened != 3 || len(server.nodes.byID) != 0 {
			t.Errorf("%d calls, %d links", server.stats.WatchesOpened, len(server.nodes.byID))
		}
	})
}

// TestDiscoveryMovesBeforeServerListens: a reload may name an address that is listened on only later, and the next reload the first one again.
func TestDiscoveryMovesBeforeServerListens(t *testing.T) {
	server := startServer(t, 256)
	firstServer := startRawDiscovery(t, listenOn(t, "127.0.0.1:0"))
	server.switchDiscovery(firstServer.addr())
	first := waitFor(t, "call", firstServer.calls)
	sendTo(t, first, sseResponseHead+sseEvent(2))
	server.waitForEvent(2)
	down := listenOn(t, "127.0.0.77:0") // an address at which no other test takes the port meanwhile
	addr := down.Addr().String()
	closeNow(t, down)
	server.switchDiscovery(addr)
	opened := uint64(0)
	server.runOnLoop(func() { opened = server.stats.WatchesOpened })
	server.waitUntil("retries", func() bool { return server.stats.WatchesOpened >= opened+2 })
	secondServer := startRawDiscovery(t, listenOn(t, addr))
	call := waitFor(t, "call", secondServer.calls)
	if call.lastEventID != "2" {
		t.Errorf("called from event %s", call.lastEventID)
	}
	sendTo(t, call, sseResponseHead+sseEvent(3))
	server.waitForEvent(3)
	server.switchDiscovery(firstServer.addr())
	call = waitFor(t, "call at the first address", firstServer.calls)
	if call.lastEventID != "3" {
		t.Errorf("called from event %s", call.lastEventID)
	}
}

// TestPlacementWithoutDiscovery: with discovery down from the start, requests are placed on the nodes that the configuration lists.
func TestPlacementWithoutDiscovery(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	server.discovery.Close()
	server.waitUntil("failed calls", func() bool { return server.stats.WatchesOpened >= 3 })
	client := server.connect()
	client.send(checkMessage + launchMessage(1, "seats", `"x"`))
	client.expect(`"running"`)
}
