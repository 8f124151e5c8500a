//go:build linux

package server

import (
	"testing"
	"time"
)

// TestDiscoveryWatchResumesFromLastEvent checks that the discovery watch requests a new stream in four cases:
// the discovery stream breaks, it skips an event, it falls silent, or a reload names another address of the
// discovery server. Each new stream must continue after the last event that the server has received.
func TestDiscoveryWatchResumesFromLastEvent(t *testing.T) {
	server := startServer(t, 256)
	lastEvent := func() (number uint64) {
		server.runOnLoop(func() { number = server.core.LastDiscoveryEvent() })
		return number
	}
	request := waitFor(t, "a request to the discovery server", server.discovery.requests)
	if request.lastEventID != "1" {
		t.Fatalf("the first request to the discovery server has Last-Event-ID %q, want 1", request.lastEventID)
	}
	event2 := sseEvent(2, nodeEntryJSON(1, "127.0.0.1:1", "in_service"))
	event3 := sseEvent(3, nodeEntryJSON(1, "127.0.0.1:1", "terminating"))
	event4 := sseEvent(4)
	request.responseText <- event2 + event2 + event3[:len("id: 3\ndata: ")+20]
	close(request.responseText) // The stream ends in the middle of event 3.
	request = waitFor(t, "a request to the discovery server after the stream broke", server.discovery.requests)
	if request.lastEventID != "2" || lastEvent() != 2 {
		t.Fatalf("the request after the stream broke has Last-Event-ID %q, want 2; the last event that the server has received must also be 2", request.lastEventID)
	}
	request.responseText <- event4 // The stream skips event 3.
	request = waitFor(t, "a request to the discovery server after the stream skipped an event", server.discovery.requests)
	if request.lastEventID != "2" {
		t.Fatalf("the request after the stream skipped an event has Last-Event-ID %q, want 2", request.lastEventID)
	}
	request.responseText <- event3 // The stream falls silent after this event.
	request = waitFor(t, "a request to the discovery server after the stream fell silent", server.discovery.requests)
	if request.lastEventID != "3" {
		t.Fatalf("the request after the stream fell silent has Last-Event-ID %q, want 3", request.lastEventID)
	}
	otherDiscovery := startDiscoveryServer(t)
	newConfig := server.configWithDiscovery(otherDiscovery.addr())
	server.runOnLoop(func() {
		server.Reload(newConfig)
		server.Reload(newConfig)
	})
	request = waitFor(t, "a request to the discovery server at the new address", otherDiscovery.requests)
	if request.lastEventID != "3" {
		t.Fatalf("the request at the new address has Last-Event-ID %q, want 3", request.lastEventID)
	}
	request.responseText <- event4
	server.waitForEvent(4)
	select {
	case <-otherDiscovery.requests:
		t.Fatal("the server sent two requests to the discovery server after two reloads with the same address, want one request")
	default:
	}
}

// TestDiscoveryBackoff checks that the server waits longer and longer between its requests for a discovery
// stream if the discovery server ends every response at once.
func TestDiscoveryBackoff(t *testing.T) {
	server := startServer(t, 256)
	var firstRequestAt time.Time
	for i := range 6 {
		request := waitFor(t, "a request to the discovery server", server.discovery.requests)
		if i == 0 {
			firstRequestAt = time.Now()
		}
		close(request.responseText)
	}
	// The delays between the six requests are 50, 100, 200, 400 and 800 ms. Jitter shortens each delay by at
	// most a quarter.
	if elapsed := time.Since(firstRequestAt); elapsed < 1150*time.Millisecond {
		t.Errorf("the server sent six requests to the discovery server within %v, want at least 1.15 s between the first and the last", elapsed)
	}
}

// TestDiscoveryWatchIdleTimeout checks that the discovery watch requests another stream within 4 s after the
// first stream has fallen silent. The second stream must continue after the last event received. In each
// subtest, the first stream falls silent at a different point.
func TestDiscoveryWatchIdleTimeout(t *testing.T) {
	event2 := sseEvent(2, nodeEntryJSON(1, "127.0.0.1:1", "in_service"))
	for name, test := range map[string]struct {
		responseText    string // responseText is what the first stream contains before it falls silent.
		wantLastEventID string // wantLastEventID is the Last-Event-ID that the second request must contain.
		afterResponse   func(server *testServer, discovery *rawDiscoveryServer)
	}{
		"stream falls silent before the first byte":                 {"", "1", nil},
		"stream falls silent within the response header":            {sseResponseHead[:40], "1", nil},
		"stream falls silent after the response header":             {sseResponseHead, "1", nil},
		"stream falls silent after a comment":                       {sseResponseHead + ": comment\n\n", "1", nil},
		"stream falls silent within an event":                       {sseResponseHead + event2[:30], "1", nil},
		"stream falls silent before the last line feed of an event": {sseResponseHead + event2[:len(event2)-1], "1", nil},
		"stream falls silent after a complete event":                {sseResponseHead + event2, "2", nil},
		"stream falls silent after an event while the server stops": {sseResponseHead + event2, "2", func(server *testServer, _ *rawDiscoveryServer) {
			server.shutdown.requested = true
			server.shutdown.requestedAt = server.loop.Now()
		}},
		"stream falls silent after an event and a reload with the same address": {sseResponseHead + event2, "2", func(server *testServer, discovery *rawDiscoveryServer) {
			server.Reload(server.configWithDiscovery(discovery.addr()))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, 256)
			discovery := startRawDiscoveryServer(t, listenOn(t, "127.0.0.1:0"))
			server.reloadWithDiscovery(discovery.addr())
			firstRequest := waitFor(t, "a request to the discovery server", discovery.requests)
			sendTo(t, firstRequest, test.responseText)
			if test.afterResponse != nil {
				server.runOnLoop(func() { test.afterResponse(server, discovery) })
			}
			silentSince := time.Now()
			secondRequest := waitFor(t, "a second request to the discovery server", discovery.requests)
			if secondRequest.lastEventID != test.wantLastEventID {
				t.Errorf("the second request to the discovery server has Last-Event-ID %q, want %q", secondRequest.lastEventID, test.wantLastEventID)
			}
			if elapsed := time.Since(silentSince); elapsed > 4*time.Second {
				t.Errorf("the second request to the discovery server arrived %v after the first stream fell silent, want at most 4 s", elapsed)
			}
			waitFor(t, "the server to close the connection of the silent stream", firstRequest.connClosed)
			sendTo(t, secondRequest, sseResponseHead+sseEvent(2)+sseEvent(3, nodeEntryJSON(2, "127.0.0.1:1", "in_service")))
			server.waitForEvent(3)
		})
	}
}

// TestOldDiscoveryStreamIgnoredAfterMove checks a reload that moves the discovery watch to another address.
// The watch must ignore data that still arrives from the discovery server at the old address. The stream from
// the new address must continue after the last event that the server received from the old address.
func TestOldDiscoveryStreamIgnoredAfterMove(t *testing.T) {
	server := startServer(t, 256)
	oldDiscovery, newDiscovery := startRawDiscoveryServer(t, listenOn(t, "127.0.0.1:0")), startRawDiscoveryServer(t, listenOn(t, "127.0.0.1:0"))
	server.reloadWithDiscovery(oldDiscovery.addr())
	oldRequest := waitFor(t, "a request to the discovery server at the old address", oldDiscovery.requests)
	sendTo(t, oldRequest, sseResponseHead+sseEvent(2)+"id: 3\ndata: ")
	server.waitForEvent(2)
	newConfig := server.configWithDiscovery(newDiscovery.addr())
	lateEvent := discoveryEventJSON(3, nodeEntryJSON(7, "127.0.0.1:1", "in_service")) + "\n\n"
	server.blockLoopDuring(func() { sendTo(t, oldRequest, lateEvent) }, func() { server.Reload(newConfig) })
	newRequest := waitFor(t, "a request to the discovery server at the new address", newDiscovery.requests)
	if newRequest.lastEventID != "2" {
		t.Errorf("the request at the new address has Last-Event-ID %q, want 2", newRequest.lastEventID)
	}
	waitFor(t, "the server to close the connection to the old address", oldRequest.connClosed)
	sendTo(t, newRequest, sseResponseHead+sseEvent(3, nodeEntryJSON(8, "127.0.0.1:1", "in_service")))
	server.waitForEvent(3)
	server.runOnLoop(func() {
		if server.stats.WatchesOpened != 3 || len(server.nodes.byID) != 0 {
			t.Errorf("the server requested %d discovery streams and has links to %d nodes, want 3 streams and links to no nodes", server.stats.WatchesOpened, len(server.nodes.byID))
		}
	})
}

// TestDiscoveryMovesBeforeServerListens checks that a reload may move the discovery watch to an address on
// which no discovery server listens yet. It also checks that a later reload may move the watch back to the
// first address.
func TestDiscoveryMovesBeforeServerListens(t *testing.T) {
	server := startServer(t, 256)
	firstDiscovery := startRawDiscoveryServer(t, listenOn(t, "127.0.0.1:0"))
	server.reloadWithDiscovery(firstDiscovery.addr())
	firstRequest := waitFor(t, "a request to the discovery server", firstDiscovery.requests)
	sendTo(t, firstRequest, sseResponseHead+sseEvent(2))
	server.waitForEvent(2)
	unusedListener := listenOn(t, "127.0.0.77:0") // No other test uses this IP address, so no other test takes the port.
	unusedAddr := unusedListener.Addr().String()
	closeNow(t, unusedListener)
	server.reloadWithDiscovery(unusedAddr)
	watchesOpenedBefore := uint64(0)
	server.runOnLoop(func() { watchesOpenedBefore = server.stats.WatchesOpened })
	server.waitUntil("the server to request two discovery streams at the unused address", func() bool { return server.stats.WatchesOpened >= watchesOpenedBefore+2 })
	secondDiscovery := startRawDiscoveryServer(t, listenOn(t, unusedAddr))
	request := waitFor(t, "a request to the discovery server at the second address", secondDiscovery.requests)
	if request.lastEventID != "2" {
		t.Errorf("the request at the second address has Last-Event-ID %q, want 2", request.lastEventID)
	}
	sendTo(t, request, sseResponseHead+sseEvent(3))
	server.waitForEvent(3)
	server.reloadWithDiscovery(firstDiscovery.addr())
	request = waitFor(t, "a request to the discovery server at the first address", firstDiscovery.requests)
	if request.lastEventID != "3" {
		t.Errorf("the second request at the first address has Last-Event-ID %q, want 3", request.lastEventID)
	}
}

// TestPlacementWithoutDiscovery checks that tasks are placed on the nodes that the configuration lists if the
// discovery server never answers.
func TestPlacementWithoutDiscovery(t *testing.T) {
	server := startServer(t, 256, startNode(t, acceptTask).addr)
	server.discovery.Close()
	server.waitUntil("the server to request three discovery streams", func() bool { return server.stats.WatchesOpened >= 3 })
	client := server.connect()
	client.send(healthCheckMessage + launchMessage(1, "seats", `"x"`))
	client.expectMessage(`"running"`)
}
