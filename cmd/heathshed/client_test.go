package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// apiStub answers requests by method and URI, and notes those that change something.
type apiStub struct {
	t       *testing.T
	answers map[string]string
	changes []string
}

func (s *apiStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Method + " " + r.RequestURI
	answer, ok := s.answers[request]
	if !ok {
		s.t.Errorf("request %s is not expected", request)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method != http.MethodGet {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.t.Error(err)
		}
		s.changes = append(s.changes, fmt.Sprintf("%s %s", request, body))
	}
	if _, err := io.WriteString(w, answer); err != nil {
		s.t.Error(err)
	}
}

// run runs a command against the stub and returns its output and its exit status.
func (s *apiStub) run(args ...string) (output string, status int) {
	s.t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	output, _, status = execute(s.t, append(args, "--server", server.URL)...)
	return output, status
}

const (
	nodeA      = `{"kind":"Node","metadata":{"name":"a"},"spec":{"unschedulable":true},"status":{"conditions":[{"type":"Ready","status":"True"}]}}`
	podRunning = `{"metadata":{"namespace":"default","name":"p"},"spec":{"nodeName":"a"},"status":{"phase":"Running"}}`
	podEnded   = `{"metadata":{"namespace":"default","name":"q"},"spec":{"nodeName":"a"},"status":{"phase":"Succeeded"}}`
	newJob     = `{"metadata":{"namespace":"default","name":"j","uid":"1"}}`
)

// settledJob is an event of a watch in which a Job has settled for the given reason.
func settledJob(uid, reason string) string {
	return fmt.Sprintf(`{"type":"MODIFIED","object":{"kind":"Job","metadata":{"namespace":"default","name":"j","uid":%q,"resourceVersion":"5"},`+
		`"status":{"conditions":[{"type":"heathshed.io/Settled","status":"True","reason":%q,"message":"m"}]}}}`+"\n", uid, reason)
}

// TestClientCommands checks what the commands of the API's client print, with which status they end, and what they change.
func TestClientCommands(t *testing.T) {
	const (
		jobsPath     = "/apis/batch/v1/namespaces/default/jobs"
		createJob    = "POST " + jobsPath + "?fieldValidation=Strict"
		watchJob     = "GET " + jobsPath + "?allowWatchBookmarks=true&fieldSelector=metadata.name%3Dj&resourceVersion=&watch=true"
		patchNode    = "PATCH /api/v1/nodes/a"
		podsOnNode   = "GET /api/v1/pods?fieldSelector=spec.nodeName%3Da"
		evictPod     = "POST /api/v1/namespaces/default/pods/p/eviction"
		evictionBody = `{"kind":"Eviction","apiVersion":"policy/v1","metadata":{"name":"p","namespace":"default"}}`
	)
	submit := []string{"submit", "--name", "j", "--wait"}
	submittedJob := createJob + ` {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"j"},"spec":{"completions":1,"parallelism":1,"template":` +
		`{"metadata":{"annotations":{},"labels":{}},"spec":{"containers":[{"image":"stand-in","name":"main","resources":{"requests":` +
		`{"cpu":"500m","memory":"512Mi"}}}],"restartPolicy":"Never"}}}}`
	for _, test := range []struct {
		name        string
		args        []string
		answers     map[string]string
		wantOutput  string
		wantStatus  int
		wantChanges []string
	}{
		{
			name: "get as a table, of two pages",
			args: []string{"get", "nodes"},
			answers: map[string]string{
				"GET /api/v1/nodes?limit=500":               `{"kind":"NodeList","metadata":{"continue":"next"},"items":[` + nodeA + `]}`,
				"GET /api/v1/nodes?continue=next&limit=500": `{"kind":"NodeList","items":[{"metadata":{"name":"b"}}]}`,
			},
			wantOutput: "NAME  STATE          KIND  ZONE  RACK  FREE\na     Ready,Drained                    \nb     NotReady                         \n",
		},
		{
			name:       "get as JSON, by label",
			args:       []string{"get", "pods", "-n", "x", "-l", "a=b", "-o", "json"},
			answers:    map[string]string{"GET /api/v1/namespaces/x/pods?labelSelector=a%3Db&limit=500": `{"kind":"PodList","items":[` + podRunning + `]}`},
			wantOutput: podRunning + "\n",
		},
		{
			name:       "get of an object that does not exist",
			args:       []string{"get", "job", "nosuch"},
			answers:    map[string]string{"GET /apis/batch/v1/jobs?fieldSelector=metadata.name%3Dnosuch&limit=500": `{"kind":"JobList"}`},
			wantOutput: "error: job \"nosuch\" not found\n",
			wantStatus: 1,
		},
		{
			name:       "get of an unknown resource",
			args:       []string{"get", "racks"},
			wantOutput: "error: \"racks\": want jobs, pods (tasks) or nodes\n",
			wantStatus: 1,
		},
		{
			name:        "drain",
			args:        []string{"drain", "a"},
			answers:     map[string]string{patchNode: nodeA},
			wantOutput:  "node a: unschedulable=true\n",
			wantChanges: []string{patchNode + ` {"spec":{"unschedulable":true}}`},
		},
		{
			name: "drain with evictions",
			args: []string{"drain", "a", "--evict"},
			answers: map[string]string{
				patchNode:  nodeA,
				podsOnNode: `{"kind":"PodList","items":[` + podRunning + `,` + podEnded + `]}`,
				evictPod:   `{"kind":"Status","status":"Success"}`,
			},
			wantOutput:  "node a: unschedulable=true\n1 tasks evicted\n",
			wantChanges: []string{patchNode + ` {"spec":{"unschedulable":true}}`, evictPod + " " + evictionBody},
		},
		{
			name:        "undrain",
			args:        []string{"undrain", "a"},
			answers:     map[string]string{patchNode: `{"metadata":{"name":"a"}}`},
			wantOutput:  "node a: unschedulable=false\n",
			wantChanges: []string{patchNode + ` {"spec":{"unschedulable":false}}`},
		},
		{
			name:        "submit and wait, placed; an earlier Job of the name does not count",
			args:        submit,
			answers:     map[string]string{createJob: newJob, watchJob: settledJob("0", "Failed") + settledJob("1", "Placed")},
			wantOutput:  "job default/j created\nPlaced: m\n",
			wantChanges: []string{submittedJob},
		},
		{
			name:        "submit and wait, not placed",
			args:        submit,
			answers:     map[string]string{createJob: newJob, watchJob: settledJob("1", "Refused")},
			wantOutput:  "job default/j created\nRefused: m\n",
			wantStatus:  exitNotPlaced,
			wantChanges: []string{submittedJob},
		},
		{
			name:        "submit and wait, error of the watch",
			args:        submit,
			answers:     map[string]string{createJob: newJob, watchJob: `{"type":"ERROR","object":{"kind":"Status","code":403,"message":"denied"}}`},
			wantOutput:  "job default/j created\nerror: denied\n",
			wantStatus:  1,
			wantChanges: []string{submittedJob},
		},
		{
			name: "watch until an error",
			args: []string{"watch", "jobs"},
			answers: map[string]string{
				"GET /apis/batch/v1/jobs?allowWatchBookmarks=true&resourceVersion=&watch=true": settledJob("1", "Placed") +
					`{"type":"ERROR","object":{"kind":"Status","code":403,"message":"denied"}}`,
			},
			wantOutput: "MODIFIED  default  j  0/1  0  Running  Placed: m\nerror: denied\n",
			wantStatus: 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			stub := &apiStub{t: t, answers: test.answers}
			output, status := stub.run(test.args...)
			if output != test.wantOutput || status != test.wantStatus {
				t.Errorf("status %d, output %q\nwant  %d,        %q", status, output, test.wantStatus, test.wantOutput)
			}
			if !slices.Equal(stub.changes, test.wantChanges) {
				t.Errorf("changes %q\nwant    %q", stub.changes, test.wantChanges)
			}
		})
	}
}
