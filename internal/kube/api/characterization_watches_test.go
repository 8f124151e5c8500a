package api

import (
	"fmt"
	"testing"

	"heathshed/internal/netio/http1"
)

// TestCharacterizeWatches checks that the data in the streams of watches matches a golden file. The watches
// cover JSON, the protobuf encoding, selectors, bookmarks, initial events and errors.
func TestCharacterizeWatches(t *testing.T) {
	session := newSession(t)
	var streams []http1.Stream
	var watchLabels []string
	openWatch := func(target string, header ...string) {
		streams = append(streams, session.watch(t, target, header...))
		watchLabels = append(watchLabels, fmt.Sprintf("watch %d", len(watchLabels)))
	}
	for _, target := range []string{
		"/api/v1/pods?watch=1", jobsPath + "?watch=true", "/api/v1/nodes?watch=1&resourceVersion=0",
		"/api/v1/pods?watch=1&fieldSelector=status.phase%3DRunning", "/apis/batch/v1/jobs?watch=1&labelSelector=team%3Da",
		"/api/v1/pods?watch=1&sendInitialEvents=true&resourceVersionMatch=NotOlderThan&allowWatchBookmarks=true",
		jobsPath + "/job-1?watch=1", "/api/v1/pods?watch=1&timeoutSeconds=2&allowWatchBookmarks=true", "/api/v1/namespaces?watch=1",
	} {
		openWatch(target)
		openWatch(target, "Accept", protobufType)
		openWatch(target, "Accept", acceptTable)
	}
	for round := range 6 {
		if round < 3 {
			session.post(jobsPath, jobJSON(fmt.Sprintf("job-%d", round), "", 3))
		} else {
			session.delete(fmt.Sprintf("%s/job-%d", jobsPath, round-3))
		}
		session.advance(1)
		for i, stream := range streams {
			session.pull(watchLabels[i], stream, []int{1, 500, 1 << 20}[round%3])
		}
	}
	session.recorder.Line("%d watchers", session.server.OpenWatches())
	for _, stream := range streams {
		stream.Close()
	}
	session.recorder.Line("%d watchers", session.server.OpenWatches())
	for _, query := range []string{
		"resourceVersion=1", "resourceVersion=x", "resourceVersion=99999999", "timeoutSeconds=x", "sendInitialEvents=true",
		"sendInitialEvents=x", "resourceVersionMatch=Exact&resourceVersion=1010", "allowWatchBookmarks=x", "limit=1",
	} {
		if response := session.get("/api/v1/pods?watch=1&" + query); response.Stream != nil {
			session.pull(query, response.Stream, 1<<20)
			response.Stream.Close()
		}
	}
	session.recorder.Check(t, "watches")
}
