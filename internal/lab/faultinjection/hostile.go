//go:build linux

package faultinjection

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"heathshed/internal/kube/apiclient"
	"heathshed/internal/lab/simulation"
)

// Hostile counts the requests and connections of the hostile clients, and gives the memory of the schedulers during the run.
type Hostile struct {
	ExpensiveRequests  int `json:"Bombs"`    // requests that are small to send and costly to process
	Rejected           int `json:"Refused"`  // of them, answered with a status of 400 to 499
	Accepted           int `json:"Taken"`    // of them, answered with any other status except 503: there should be none
	StalledConnections int `json:"Silent"`   // connections opened whose client never reads a response or never completes its request
	MemoryEarly        int `json:"Early"`    // median resident memory of all schedulers in the second quarter of the run, MiB
	MemoryLate         int `json:"Late"`     // the same in the last quarter
	MemoryPeak         int `json:"MostHeld"` // highest resident memory of one scheduler, MiB
}

const (
	unreadWatches         = 150
	incompleteRequests    = 100
	unreadListConnections = 10
	listsPerConnection    = 500

	hostileInterval       = 500 * time.Millisecond // between expensive requests
	reopenRounds          = 40                     // expensive requests after which stalled connections are opened anew
	dialTimeout           = time.Second
	hostileWriteTimeout   = 50 * time.Millisecond
	incompleteBodyBytes   = 3_000_000
	nestingDepth          = 9000
	containerCount        = 500_000
	patchCopies           = 40
	selectorRequirements  = 2000
	largestExponent       = "1e1000000000"
	smallestExponent      = "1e-2147483647"
	attackedNamespace     = "default"
	escapedNamespacePods  = "/api/v1/namespaces/default%2Fx/pods"
	unreadWatchRequest    = "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n"
	unreadListRequest     = "GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n"
	incompleteHeadRequest = "GET /api/v1/po"
)

// expensiveRequests returns requests that are small to send and would be costly to process, one for each kind of attack. Package api has a test
// for each.
func expensiveRequests() []apiclient.Request {
	node := apiclient.NodePath(simulation.NodeName(0))
	jobs := apiclient.JobsPath(attackedNamespace)
	operations := []string{`{"op":"add","path":"/metadata/annotations","value":{"a":"b"}}`}
	for i := range patchCopies {
		operations = append(operations, fmt.Sprintf(`{"op":"copy","from":"/metadata","path":"/metadata/annotations/x%d"}`, i))
	}
	doublingPatch := "[" + strings.Join(operations, ",") + "]"
	deepObject := strings.Repeat(`{"a":`, nestingDepth) + "1" + strings.Repeat("}", nestingDepth)
	manyContainers := `{"spec":{"template":{"spec":{"containers":[` + strings.Repeat("{},", containerCount) + `{}]}}}}`
	return []apiclient.Request{
		{Method: http.MethodPatch, Path: node, ContentType: apiclient.JSONPatch, Body: []byte(doublingPatch)},
		{Method: http.MethodPatch, Path: node, ContentType: apiclient.MergePatch, Body: []byte(deepObject)},
		{Method: http.MethodPatch, Path: node, ContentType: apiclient.StrategicMergePatch, Body: []byte(deepObject)},
		{Method: http.MethodPost, Path: jobs, ContentType: apiclient.JSON, Body: jobRequesting(largestExponent)},
		{Method: http.MethodPost, Path: jobs, ContentType: apiclient.JSON, Body: jobRequesting(smallestExponent)},
		{Method: http.MethodPost, Path: jobs, ContentType: apiclient.JSON, Body: []byte(manyContainers)},
		{Method: http.MethodGet, Path: "/api/v1/pods?labelSelector=" + strings.Repeat("a,", selectorRequirements) + "a"},
		{Method: http.MethodGet, Path: escapedNamespacePods},
	}
}

// jobRequesting returns a Job whose task requests the given quantity of CPU.
func jobRequesting(cpu string) []byte {
	return []byte(`{"metadata":{"name":"bomb"},"spec":{"template":{"spec":{"restartPolicy":"Never","containers":[{"name":"a","image":"b","resources":` +
		`{"requests":{"cpu":"` + cpu + `"}}}]}}}}`)
}

// stalledConnections are the open connections of one hostile client, whose goroutine alone uses them.
type stalledConnections struct {
	runner    *runner
	scheduler string
	open      []net.Conn
}

// runHostileClient sends expensive requests to one scheduler, and keeps connections open on which it never reads a response or never completes a
// request, until the context is done.
func (r *runner) runHostileClient(ctx context.Context, scheduler string) {
	stalled := &stalledConnections{runner: r, scheduler: scheduler}
	defer stalled.closeAll()
	requests := expensiveRequests()
	for round := 0; ctx.Err() == nil; round++ {
		if round%reopenRounds == 0 {
			// The scheduler has closed many of them by now, or was killed.
			stalled.closeAll()
			stalled.openAll()
		}
		r.sendExpensive(ctx, scheduler, &requests[round%len(requests)])
		_ = sleep(ctx, hostileInterval) // the loop checks the context
	}
}

// sendExpensive sends an expensive request and counts its response by status. A request without a response is not counted.
func (r *runner) sendExpensive(ctx context.Context, scheduler string, request *apiclient.Request) {
	response, err := r.apiOf(scheduler).Send(ctx, request)
	if err != nil {
		return
	}
	apiclient.DiscardResponse(response)
	r.observer.update(func(f *Figures) {
		f.Hostile.ExpensiveRequests++
		switch {
		case response.StatusCode/100 == 4:
			f.Hostile.Rejected++
		case response.StatusCode != http.StatusServiceUnavailable:
			f.Hostile.Accepted++
		}
	})
}

// openAll opens connections of each kind.
func (s *stalledConnections) openAll() {
	jobs := apiclient.JobsPath(attackedNamespace)
	incompleteBody := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n{", jobs, incompleteBodyBytes)
	s.openEach(unreadWatches, unreadWatchRequest)
	s.openEach(incompleteRequests/2, incompleteBody)
	s.openEach(incompleteRequests/2, incompleteHeadRequest)
	s.openEach(unreadListConnections, strings.Repeat(unreadListRequest, listsPerConnection))
}

// openEach opens a number of connections and sends the text on each. It returns early if the scheduler does not accept a connection.
func (s *stalledConnections) openEach(count int, text string) {
	for range count {
		conn, err := net.DialTimeout("tcp", strings.TrimPrefix(s.runner.processes.baseURL(s.scheduler), addressPrefix), dialTimeout)
		if err != nil {
			return
		}
		s.open = append(s.open, conn)
		// The write may time out, since the scheduler stops reading while its responses are not read. That is the attack.
		_ = conn.SetWriteDeadline(time.Now().Add(hostileWriteTimeout))
		_, _ = io.WriteString(conn, text)
		s.runner.observer.update(func(f *Figures) { f.Hostile.StalledConnections++ })
	}
}

// closeAll closes all connections.
func (s *stalledConnections) closeAll() {
	for _, conn := range s.open {
		closeQuietly(conn)
	}
	s.open = s.open[:0]
}
