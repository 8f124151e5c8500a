//go:build linux

package scheduler

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"heathshed/internal/config"
)

// openUnreadConnections opens the given number of connections. Each sends the request and never reads the
// response.
func (cluster *testCluster) openUnreadConnections(count int, request string) {
	cluster.t.Helper()
	for range count {
		conn := cluster.connect("")
		go func() {
			// The write blocks if the scheduler stops reading, and fails when the scheduler closes the
			// connection.
			_, _ = io.WriteString(conn, request)
		}()
	}
}

// heapBytes runs a garbage collection and returns the size of the heap, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestUnreadWatchesStayWithinMemoryQuota checks that 4,000 watches that clients never read stay within the
// memory quota of connections while a Job of 1,000 tasks runs. The memory must be released when the
// connections are closed.
func TestUnreadWatchesStayWithinMemoryQuota(t *testing.T) {
	cluster := startCluster(t, nil)
	heapBefore := heapBytes()
	cluster.openUnreadConnections(4000, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	cluster.eventually("all watches are open", func() bool { return cluster.watchers() == 4000 })
	cluster.submitJob(withResources(longJob("a", "batch", 1000, 6), 0.01))
	maxUsed := int64(0)
	cluster.eventually("Job a is settled", func() bool {
		cluster.runOnLoop(func() { maxUsed = max(maxUsed, cluster.scheduler.httpServer.MemoryQuota().Used()) })
		return settledReason(cluster.job("a")) != ""
	})
	var quota int64
	cluster.runOnLoop(func() { quota = cluster.scheduler.httpServer.MemoryQuota().Total() })
	if maxUsed > quota {
		t.Errorf("connections used %d bytes of memory, want at most %d", maxUsed, quota)
	}
	if heapAfter := heapBytes(); heapAfter > heapBefore+300<<20 {
		t.Errorf("the heap grew to %d MB from %d MB, want a growth of at most 300 MB", heapAfter>>20, heapBefore>>20)
	}
	t.Logf("maximum memory of connections: %d MB; heap: %d MB, %d MB before the test", maxUsed>>20, heapBytes()>>20, heapBefore>>20)
	cluster.runOnLoop(func() { cluster.scheduler.httpServer.CloseConns() })
	cluster.runOnLoop(func() {
		if memory := cluster.scheduler.httpServer.MemoryQuota(); memory.Used() > 1<<20 {
			t.Errorf("the quota counts %d bytes for %d connections after all connections were closed", memory.Used(), memory.Connections())
		}
	})
}

// TestUnreadResponsesAndEndlessBodies checks that connections stay within the memory quota if clients
// pipeline requests for lists and never read the responses, or send request bodies that never end. Other
// clients must still be served.
func TestUnreadResponsesAndEndlessBodies(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.MemoryMiB = 256 })
	cluster.submitJob(withResources(longJob("a", "batch", 2000, 6), 0.01))
	cluster.waitUntilSettled("a")
	heapBefore := heapBytes()
	cluster.openUnreadConnections(200, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
	cluster.openUnreadConnections(200, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat(" ", 2900000))
	var maxUsed, quota int64
	var users, evicted int
	cluster.eventually("each connection uses memory or was evicted", func() bool {
		cluster.runOnLoop(func() {
			memory := cluster.scheduler.httpServer.MemoryQuota()
			maxUsed, quota, users, evicted = max(maxUsed, memory.Used()), memory.Total(), memory.Connections(), int(memory.EvictedConnections)
		})
		return users+evicted >= 400
	})
	cluster.requireStatus(201, "POST", jobsPath, jsonType, jobJSON("b", 1))
	if maxUsed > quota {
		t.Errorf("connections used %d bytes of memory, want at most %d", maxUsed, quota)
	}
	// The heap is measured on the event loop, so that the loop does not allocate during the garbage
	// collection. Memory that is allocated during a collection would be counted as in use.
	var heapAfter uint64
	cluster.runOnLoop(func() { heapAfter = heapBytes() })
	if heapAfter > heapBefore+uint64(quota)+128<<20 {
		t.Errorf("the heap grew to %d MB from %d MB, want a growth of at most the quota of %d MB plus 128 MB", heapAfter>>20, heapBefore>>20, quota>>20)
	}
	t.Logf("connections used %d KB of %d KB; %d connections were evicted", maxUsed>>10, quota>>10, evicted)
}

// TestUnknownMethodsShareOneSeries checks that requests with many different unknown methods do not create a
// metric series for each method.
func TestUnknownMethodsShareOneSeries(t *testing.T) {
	cluster := startCluster(t, nil)
	for i := range 50 {
		conn := cluster.connect(fmt.Sprintf("X%d / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", i))
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatal(err)
		}
	}
	if text := cluster.requireStatus(200, "GET", "/metrics", "", ""); strings.Count(string(text), "heathshed_api_requests_total{") > 10 {
		t.Error("the metrics have a series for each unknown method")
	}
}
