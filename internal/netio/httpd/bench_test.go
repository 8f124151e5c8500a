//go:build linux

package httpd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/looptest"
)

var responseBody = []byte(`{"kind":"Status","status":"Success"}`)

// startHeathshed starts a server of this package. It sends the same response body as the server that
// startNetHTTP starts.
func startHeathshed(tb testing.TB) (addr string, stop func()) {
	tb.Helper()
	loop := looptest.New(tb)
	server, err := Listen(loop, "127.0.0.1:0", DefaultOptions(), func(e *Exchange) {
		e.Respond(http1.Response{Status: 200, Header: []http1.Field{{Name: "Content-Type", Value: "application/json"}}, Body: responseBody})
	})
	if err != nil {
		tb.Fatal(err)
	}
	return server.Addr(), looptest.Run(tb, loop)
}

// startNetHTTP starts a server of the package net/http of the standard library.
func startNetHTTP(tb testing.TB) (addr string, stop func()) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // The client has closed the connection.
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(responseBody) // Write fails only if the client has closed the connection.
	})}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	stop = sync.OnceFunc(func() {
		if err := server.Close(); err != nil {
			tb.Error(err)
		}
		if err := <-serveResult; !errors.Is(err, http.ErrServerClosed) {
			tb.Error(err)
		}
	})
	return listener.Addr().String(), stop
}

// BenchmarkRequests compares the request rates of a server of this package and a server of net/http.
// The same client sends requests over 16 connections to each server. Each connection sends either one
// request at a time or 16 pipelined requests.
func BenchmarkRequests(b *testing.B) {
	for _, depth := range []int{1, 16} {
		for name, start := range map[string]func(testing.TB) (string, func()){"heathshed": startHeathshed, "net-http": startNetHTTP} {
			b.Run(fmt.Sprintf("pipeline=%d/%s", depth, name), func(b *testing.B) {
				addr, stop := start(b)
				defer stop()
				const conns = 16
				requests := []byte(strings.Repeat("POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nUser-Agent: bench\r\nAccept: application/json\r\n"+
					"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", depth))
				b.ReportAllocs()
				b.ResetTimer()
				done := make(chan error, conns)
				for i := range conns {
					count := (b.N/depth + conns - 1 - i) / conns
					go func() { done <- sendPipelinedRequests(addr, requests, count, depth) }()
				}
				for range conns {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// sendPipelinedRequests opens a connection and writes the bytes in requests, which hold depth pipelined
// requests, count times. After each write, it reads depth responses.
func sendPipelinedRequests(addr string, requests []byte, count, depth int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for range count {
		if _, err := conn.Write(requests); err != nil {
			return errors.Join(err, conn.Close())
		}
		for range depth {
			if err := discardResponse(reader); err != nil {
				return errors.Join(err, conn.Close())
			}
		}
	}
	return conn.Close()
}

// discardResponse reads one response without allocating memory, because allocations of the client would
// distort the comparison of the servers.
func discardResponse(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			_, err = reader.Discard(len(responseBody))
			return err
		}
	}
}

// BenchmarkIdleConnections measures how much memory a server of this package and a server of net/http
// each hold for a connection that has been idle since its first request.
func BenchmarkIdleConnections(b *testing.B) {
	for name, start := range map[string]func(testing.TB) (string, func()){"heathshed": startHeathshed, "net-http": startNetHTTP} {
		b.Run(name, func(b *testing.B) {
			addr, stop := start(b)
			defer stop()
			const connCount = 2000
			heapBytes := func() uint64 {
				runtime.GC()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				return stats.HeapInuse + stats.StackInuse
			}
			var conns []net.Conn
			for range connCount {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				conns = append(conns, conn)
			}
			buf := make([]byte, 1024)
			for _, conn := range conns {
				if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(buf); err != nil {
					b.Fatal(err)
				}
			}
			heapWithConns := heapBytes()
			for _, conn := range conns {
				if err := conn.Close(); err != nil {
					b.Fatal(err)
				}
			}
			clear(conns) // The memory of the client connections must not count as memory of the server.
			stop()
			heapWithoutConns := heapBytes()
			b.ReportMetric(float64(int64(heapWithConns)-int64(heapWithoutConns))/connCount, "B/conn")
			b.ReportMetric(0, "ns/op")
		})
	}
}
