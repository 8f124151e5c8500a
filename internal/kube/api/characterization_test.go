package api_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/api"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/goldentest"
)

// The tests pin status, header fields and body bytes of the answers to fixed requests. Regenerate the golden files with
// HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.

const (
	jsonMedia    = "application/json"
	mergeMedia   = "application/merge-patch+json"
	strategic    = "application/strategic-merge-patch+json"
	patchMedia   = "application/json-patch+json"
	binaryMedia  = "application/vnd.kubernetes.protobuf"
	tableMedia   = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json"
	jobsPath     = "/apis/batch/v1/namespaces/default/jobs"
	podsPath     = "/api/v1/namespaces/default/pods"
	nodePath     = "/api/v1/nodes/node-1"
	requestStart = 1.8e9
)

// session sends requests to one server at increasing times.
type session struct {
	server *api.Server
	engine *engine.Engine
	now    float64
	record *goldentest.Recorder
}

func newSession(t *testing.T) *session {
	t.Helper()
	defaults := config.Default()
	return sessionOf(t, defaults.Engine(1, 1000))
}

func sessionOf(t *testing.T, config engine.Config) *session {
	t.Helper()
	e, err := engine.New(config)
	if err != nil {
		t.Fatal(err)
	}
	s := &session{engine: e, now: requestStart, record: goldentest.NewRecorder(),
		server: &api.Server{Store: e.Store(), Engine: e, Version: "test", DefaultListLimit: 50}}
	s.server.Metrics = func() []byte { return []byte("metric 1\n") }
	var nodes []*corev1.Node
	for i, kind := range []string{"standard", "large", "standard"} {
		nodes = append(nodes, listedNode(fmt.Sprintf("node-%d", i+1), kind, i))
	}
	e.NodesListed(s.now, engine.FullList, nodes, nil)
	for _, n := range nodes {
		e.NodePods(s.now, n.Name, n.Status.NodeInfo.BootID, 1, nil)
	}
	return s
}

func listedNode(name, kind string, index int) *corev1.Node {
	node := &corev1.Node{}
	node.Name = name
	node.Labels = map[string]string{wellknown.Kind: kind, wellknown.Rack: "rack-1", wellknown.Zone: "zone-a"}
	node.Annotations = map[string]string{wellknown.FreeCapacity: "cores=16.0, memory=32.0"}
	node.Status.NodeInfo.BootID = "boot-" + name
	node.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	node.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0." + strconv.Itoa(index+1)}}
	node.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	return node
}

// advance runs timers for some seconds; nodes accept every attempt and report that the task runs.
func (s *session) advance(seconds float64) {
	for until := s.now + seconds; s.now < until; {
		s.now = min(max(s.engine.NextWake(), s.now+0.01), until)
		s.engine.Tick(s.now)
		for _, action := range s.engine.Ready(nil) {
			switch action.Kind {
			case engine.SendAttempt:
				pod := action.Pod.DeepCopy()
				pod.Status.Phase = corev1.PodRunning
				s.engine.AttemptDone(s.now, engine.AttemptAnswer{UID: action.UID, Attempt: action.Attempt, Node: action.Node, Accepted: true, Revision: 2,
					Incarnation: "boot-" + action.Node, Pod: pod})
			case engine.StopTask:
				s.engine.StopDone(s.now, engine.StopAnswer{UID: action.UID, Node: action.Node, Attempt: action.Attempt, Answered: true, HadTask: true,
					MayHaveRun: true, Incarnation: "boot-" + action.Node})
			}
		}
	}
}

// send makes a request; header holds names and values in turn.
func (s *session) send(method, target, body string, header ...string) http1.Response {
	head := &http1.Head{Method: method, Target: target, Minor: 1}
	for i := 0; i+1 < len(header); i += 2 {
		head.Header = append(head.Header, http1.Field{Name: header[i], Value: header[i+1]})
	}
	response := s.server.Serve(s.now, &http1.Request{Head: head, Body: []byte(body), Peer: "127.0.0.1:1"})
	sum := sha256.Sum256(response.Body)
	s.record.Line("%s %s %s -> %d %q, %d bytes, %s", method, target, strings.Join(header, " "), response.Status, fields(response.Header),
		len(response.Body), hex.EncodeToString(sum[:]))
	if response.Status >= 400 {
		s.record.Line("  %s", response.Body)
	}
	return response
}

func fields(header []http1.Field) []string {
	var out []string
	for _, f := range header {
		out = append(out, f.Name+": "+f.Value)
	}
	return out
}

// pull records what a watch has to send.
func (s *session) pull(label string, stream http1.Stream, room int) {
	for range 40 {
		b, done := stream.Pull(nil, room)
		sum := sha256.Sum256(b)
		s.record.Line("%s: %d bytes, %s, done %v", label, len(b), hex.EncodeToString(sum[:]), done)
		if done || len(b) == 0 {
			return
		}
	}
}

// watch begins a watch whose answer must be a stream.
func (s *session) watch(t *testing.T, target string, header ...string) http1.Stream {
	t.Helper()
	response := s.send("GET", target, "", header...)
	if response.Stream == nil {
		t.Fatalf("%s: no stream: %d", target, response.Status)
	}
	return response.Stream
}

func jobText(name, extra string, tasks int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q,"labels":{"team":"a"}},"spec":{"completions":%d,"parallelism":%d,`+
		`"backoffLimit":1,"template":{"metadata":{"labels":{"heathshed.io/class":"web","heathshed.io/service":"s"}},"spec":{"restartPolicy":"Never",`+
		`"containers":[{"name":"main","image":"image","resources":{"requests":{"cpu":"500m","memory":"1Gi"}}}]%s}}}}`, name, tasks, tasks, extra)
}

// fill creates Jobs, some of which run.
func (s *session) fill() {
	for i := range 4 {
		s.send("POST", jobsPath, jobText(fmt.Sprintf("job-%d", i), "", i+1), "Content-Type", jsonMedia)
		s.advance(0.7)
	}
}

// TestCharacterizeReads pins lists, gets, tables, selectors, pages, discovery and their errors.
func TestCharacterizeReads(t *testing.T) {
	s := newSession(t)
	s.fill()
	collections := []string{"/api/v1/pods", podsPath, jobsPath, "/apis/batch/v1/jobs", "/api/v1/nodes", "/api/v1/namespaces"}
	for _, target := range append(collections, nodePath, jobsPath+"/job-1", jobsPath+"/job-1/status", "/api/v1/namespaces/default") {
		for _, accept := range []string{"", jsonMedia, tableMedia, binaryMedia, binaryMedia + "," + jsonMedia, "text/html", "*/*"} {
			s.send("GET", target, "", "Accept", accept)
		}
		s.send("HEAD", target, "")
		s.send("GET", target+"?includeObject=Object", "", "Accept", tableMedia)
		s.send("GET", target+"?includeObject=None", "", "Accept", tableMedia)
	}
	s.readSelections(collections)
	for _, target := range []string{"/", "/api", "/apis", "/version", "/api/v1", "/apis/batch", "/apis/batch/v1", "/livez", "/readyz", "/healthz",
		"/metrics", "/nowhere", "/api/v2", "/apis/apps/v1/deployments", podsPath + "/missing", jobsPath + "/missing", "/api/v1/nodes/missing",
		"/api/v1/namespaces/UPPER/pods", podsPath + "/a%2Fb", podsPath + "/x/log", "/api/v1/pods?x=%zz", "http://host/version", "http://host",
		podsPath + "/x/status", jobsPath + "/job-1/scale", "/api/v1/namespaces/default/nodes", "/%zz"} {
		s.send("GET", target, "")
	}
	s.send("GET", "/api/v1/pods", "", "Content-Encoding", "gzip")
	s.server.Ready = func() error { return errors.New("not yet") }
	s.send("GET", "/readyz", "")
	s.record.Check(t, "reads")
}

func (s *session) readSelections(collections []string) {
	for _, target := range collections {
		for _, query := range []string{"limit=2", "limit=-1", "limit=x", "resourceVersion=0", "resourceVersion=1", "resourceVersion=x",
			"resourceVersion=99999999", "resourceVersion=1010&resourceVersionMatch=Exact", "resourceVersion=1010&resourceVersionMatch=NotOlderThan",
			"resourceVersionMatch=Exact", "resourceVersionMatch=Other&resourceVersion=1", "labelSelector=team%3Da", "labelSelector=team!%3Da",
			"labelSelector=heathshed.io/class+in+(web,batch)", "labelSelector=%3D%3D", "fieldSelector=metadata.name%3Djob-1",
			"fieldSelector=status.phase%3DRunning", "fieldSelector=spec.unschedulable%3Dfalse", "fieldSelector=status.successful%3D0",
			"fieldSelector=other%3D1", "fieldSelector=%21", "continue=x", "continue=bogus&limit=1",
			"labelSelector=a" + strings.Repeat(",a", 120)} {
			s.send("GET", target+"?"+query, "")
		}
		s.pages(target)
	}
}

// pages follows the pages of a list.
func (s *session) pages(target string) {
	next := ""
	for range 6 {
		body := string(s.send("GET", target+"?limit=3"+next, "").Body)
		_, token, found := strings.Cut(body, `"continue":"`)
		if !found {
			return
		}
		token, _, _ = strings.Cut(token, `"`)
		next = "&continue=" + token
	}
}

// TestCharacterizeWrites pins creations, updates, patches, evictions, deletions and their errors.
func TestCharacterizeWrites(t *testing.T) {
	s := newSession(t)
	s.fill()
	s.createJobs()
	s.patchObjects()
	s.replaceObjects()
	s.removeObjects()
	s.engine.Stop(s.now)
	s.send("POST", jobsPath, jobText("too-late", "", 1), "Content-Type", jsonMedia)
	s.server.Engine = nil
	s.send("POST", jobsPath, jobText("read-only", "", 1), "Content-Type", jsonMedia)
	s.send("GET", "/apis/batch/v1/jobs", "")
	s.record.Check(t, "writes")
}

func (s *session) createJobs() {
	good := jobText("new", "", 2)
	for _, body := range []string{"", "{", "[]", "null", `"x"`, "{}", good, good, jobText("Bad_Name", "", 1), jobText("many", "", 1<<28),
		strings.Replace(good, `"name":"new"`, `"generateName":"made-"`, 1), strings.Replace(good, `"Never"`, `"Always"`, 1),
		strings.Replace(good, `"Never"`, `"OnFailure"`, 1), strings.Replace(good, "500m", "-1", 1), strings.Replace(good, "500m", "x", 1),
		strings.Replace(good, `"web"`, `"unknown"`, 1), strings.Replace(good, `"spec":`, `"unknown":1,"spec":`, 1),
		strings.Replace(good, `"completions":2`, `"completions":-2`, 1), strings.Replace(good, `"kind":"Job"`, `"kind":"Pod"`, 1),
		strings.Replace(good, `"batch/v1"`, `"batch/v2"`, 1), strings.Replace(good, `"backoffLimit":1`, `"backoffLimit":-1`, 1),
		strings.Replace(good, `"backoffLimit":1`, `"completionMode":"Indexed"`, 1), strings.Replace(good, `"backoffLimit":1`, `"completionMode":"Other"`, 1),
		strings.Replace(good, `"backoffLimit":1`, `"ttlSecondsAfterFinished":-1`, 1), strings.Replace(good, `"backoffLimit":1`, `"manualSelector":true`, 1),
		strings.Replace(good, `"backoffLimit":1`, `"activeDeadlineSeconds":0`, 1), strings.Replace(good, `"backoffLimit":1`, `"suspend":true`, 1),
		strings.Replace(good, `"name":"new"`, `"name":"other","namespace":"elsewhere"`, 1), jobText("hosts", `,"nodeName":"n"`, 1),
		jobText("chosen", `,"nodeSelector":{"a":"b"}`, 1), jobText("empty", `,"initContainers":[{"name":"i","image":"j"}]`, 1),
		strings.Replace(good, `"containers":[`, `"containers":[],"other":[`, 1)} {
		s.send("POST", jobsPath, body, "Content-Type", jsonMedia)
		s.advance(0.05)
	}
	for _, query := range []string{"dryRun=All", "dryRun=Some", "fieldValidation=Strict", "fieldValidation=Warn", "fieldValidation=Ignore",
		"fieldValidation=Other", "fieldManager=x"} {
		body := strings.Replace(jobText("with-query", "", 1), `"spec":`, `"unknown":1,"spec":`, 1)
		s.send("POST", jobsPath+"?"+query, body, "Content-Type", jsonMedia)
	}
	s.send("POST", jobsPath, good, "Content-Type", "text/plain")
	s.send("POST", jobsPath, good)
	s.send("POST", jobsPath, "apiVersion: batch/v1", "Content-Type", "application/yaml")
	s.send("POST", jobsPath, s.binaryJob("binary"), "Content-Type", binaryMedia)
	s.send("POST", jobsPath, s.binaryJob("binary-answer"), "Content-Type", binaryMedia, "Accept", binaryMedia)
	s.send("POST", jobsPath, "k8s\x00rubbish", "Content-Type", binaryMedia)
	s.send("POST", "/api/v1/nodes", "{}", "Content-Type", jsonMedia)
	s.send("POST", podsPath, "{}", "Content-Type", jsonMedia)
	s.send("POST", "/apis", "{}", "Content-Type", jsonMedia)
}

// binaryJob returns a Job in the protobuf encoding.
func (s *session) binaryJob(name string) string {
	o := &batchv1.Job{}
	o.Name = name
	o.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	o.Spec.Template.Spec.Containers = []corev1.Container{{Name: "main", Image: "image"}}
	raw, _ := o.Marshal()
	inner := "\x0a\x08batch/v1\x12\x03Job"
	b := append([]byte("k8s\x00\x0a"), byte(len(inner)))
	b = append(append(b, inner...), 0x12)
	for n := len(raw); ; n >>= 7 {
		if n < 0x80 {
			b = append(b, byte(n))
			break
		}
		b = append(b, byte(n)|0x80)
	}
	return string(append(b, raw...))
}

func (s *session) patchObjects() {
	for _, p := range [][2]string{{mergeMedia, `{"metadata":{"labels":{"team":"b"}}}`}, {mergeMedia, `{"spec":{"suspend":true}}`},
		{mergeMedia, `{"spec":{"suspend":false}}`}, {mergeMedia, `{"spec":{"parallelism":1}}`}, {mergeMedia, `{"spec":{"completions":9}}`},
		{mergeMedia, `{"metadata":{"resourceVersion":"1"}}`}, {mergeMedia, `{"metadata":{"name":"x"}}`}, {mergeMedia, `{`}, {mergeMedia, `[]`},
		{mergeMedia, `{"spec":{"unknown":1}}`}, {mergeMedia, `{"spec":{"template":{"spec":{"containers":[]}}}}`},
		{strategic, `{"metadata":{"annotations":{"a":"b"}}}`}, {strategic, `{"spec":{"template":{"spec":{"containers":[{"name":"main","image":"x"}]}}}}`},
		{patchMedia, `[{"op":"add","path":"/metadata/labels/x","value":"y"}]`}, {patchMedia, `[{"op":"test","path":"/metadata/name","value":"z"}]`},
		{patchMedia, `[{"op":"remove","path":"/none"}]`}, {patchMedia, `{}`}, {patchMedia, `[{"op":"replace","path":"/spec/parallelism","value":"x"}]`},
		{"application/apply-patch+yaml", "a: b"}, {jsonMedia, "{}"}, {"", "{}"}} {
		s.send("PATCH", jobsPath+"/job-3", p[1], "Content-Type", p[0])
		s.send("PATCH", jobsPath+"/job-2?dryRun=All", p[1], "Content-Type", p[0])
		s.advance(0.2)
	}
	for _, p := range [][2]string{{mergeMedia, `{"spec":{"unschedulable":true}}`}, {strategic, `{"spec":{"unschedulable":null}}`},
		{strategic, `{"spec":{"unschedulable":true}}`}, {mergeMedia, `{"spec":{"unschedulable":false}}`}, {mergeMedia, `{"metadata":{"labels":{"x":"y"}}}`},
		{mergeMedia, `{"metadata":{"labels":{"heathshed.io/rack":"other"}}}`}, {mergeMedia, `{"metadata":{"labels":{"bad key!":"y"}}}`},
		{mergeMedia, `{"spec":{"taints":[{"key":"a","effect":"NoSchedule"}]}}`}, {mergeMedia, `{"spec":{"podCIDR":"10.0.0.0/8"}}`}} {
		s.send("PATCH", nodePath, p[1], "Content-Type", p[0])
		s.advance(0.1)
	}
	s.send("PATCH", "/api/v1/nodes/missing", `{}`, "Content-Type", mergeMedia)
	s.send("PATCH", jobsPath+"/missing", `{}`, "Content-Type", mergeMedia)
	s.send("PATCH", jobsPath+"/job-3/status", `{}`, "Content-Type", mergeMedia)
	s.send("PATCH", podsPath+"/x", `{}`, "Content-Type", mergeMedia)
}

func (s *session) replaceObjects() {
	current := string(s.send("GET", jobsPath+"/job-3", "").Body)
	node := string(s.send("GET", nodePath, "").Body)
	s.send("PUT", jobsPath+"/job-3", current, "Content-Type", jsonMedia)
	s.send("PUT", jobsPath+"/job-3", strings.Replace(current, `"parallelism":1`, `"parallelism":3`, 1), "Content-Type", jsonMedia)
	s.send("PUT", jobsPath+"/job-3", current, "Content-Type", jsonMedia) // of an older revision
	s.send("PUT", jobsPath+"/job-2", current, "Content-Type", jsonMedia) // of another name
	s.send("PUT", jobsPath+"/missing", jobText("missing", "", 1), "Content-Type", jsonMedia)
	s.send("PUT", jobsPath+"/job-3", "{}", "Content-Type", jsonMedia)
	s.send("PUT", nodePath, node, "Content-Type", jsonMedia)
	s.send("PUT", nodePath, strings.Replace(node, `"spec":{`, `"spec":{"unschedulable":true,`, 1), "Content-Type", jsonMedia)
	s.send("PUT", nodePath, "{}", "Content-Type", jsonMedia)
	s.send("GET", "/api/v1/nodes", "")
}

func (s *session) removeObjects() {
	names := s.podNames()
	eviction := `{"apiVersion":"policy/v1","kind":"Eviction","metadata":{"name":%q}}`
	s.send("POST", podsPath+"/"+names[0]+"/eviction", fmt.Sprintf(eviction, names[0]), "Content-Type", jsonMedia)
	s.send("POST", podsPath+"/"+names[1]+"/eviction", fmt.Sprintf(eviction, "other"), "Content-Type", jsonMedia)
	s.send("POST", podsPath+"/missing/eviction", fmt.Sprintf(eviction, "missing"), "Content-Type", jsonMedia)
	s.send("POST", podsPath+"/"+names[1]+"/eviction", "{", "Content-Type", jsonMedia)
	s.send("POST", podsPath+"/"+names[1]+"/eviction", "", "Content-Type", jsonMedia)
	s.send("GET", podsPath+"/"+names[1]+"/eviction", "")
	s.advance(0.5)
	s.send("DELETE", podsPath+"/"+names[2]+"?dryRun=All", "")
	s.send("DELETE", podsPath+"/"+names[2], "")
	s.send("DELETE", podsPath+"/"+names[3], `{"preconditions":{"uid":"other"}}`, "Content-Type", jsonMedia)
	s.send("DELETE", podsPath+"/missing", "")
	s.advance(0.5)
	for i, query := range []string{"", "?propagationPolicy=Foreground", "?propagationPolicy=Orphan", "?propagationPolicy=Other", "?gracePeriodSeconds=0",
		"?dryRun=All"} {
		s.send("DELETE", fmt.Sprintf("%s/job-%d%s", jobsPath, i%4, query), "")
	}
	s.send("DELETE", jobsPath+"/new", `{"kind":"DeleteOptions","apiVersion":"v1","propagationPolicy":"Background"}`, "Content-Type", jsonMedia)
	s.send("DELETE", jobsPath+"/binary", `{`, "Content-Type", jsonMedia)
	s.send("DELETE", jobsPath+"/binary", `{"orphanDependents":true}`, "Content-Type", jsonMedia)
	s.send("DELETE", nodePath, "")
	s.send("DELETE", podsPath+"?labelSelector=heathshed.io/class%3Dweb", "")
	s.send("DELETE", podsPath+"?labelSelector=%3D", "")
	s.advance(2)
	s.send("DELETE", jobsPath+"?dryRun=All", "")
	s.send("DELETE", jobsPath+"?limit=1", "")
	s.send("DELETE", jobsPath, "")
	s.advance(2)
	s.send("GET", podsPath, "")
}

func (s *session) podNames() []string {
	var names []string
	for _, part := range strings.Split(string(s.send("GET", podsPath, "").Body), `"metadata":{"name":"`)[1:] {
		name, _, _ := strings.Cut(part, `"`)
		names = append(names, name)
	}
	return names
}

// TestCharacterizeFullServer pins the answer to a Job for which there is no capacity.
func TestCharacterizeFullServer(t *testing.T) {
	defaults := config.Default()
	config := defaults.Engine(1, 1000)
	config.MaxPods = 5
	s := sessionOf(t, config)
	for i := range 3 {
		s.send("POST", jobsPath, jobText(fmt.Sprintf("job-%d", i), "", 3), "Content-Type", jsonMedia)
		s.advance(0.1)
	}
	s.record.Check(t, "full")
}

// TestCharacterizeWatches pins the bytes of watches: as JSON, in the protobuf encoding, with selectors, bookmarks and initial events.
func TestCharacterizeWatches(t *testing.T) {
	s := newSession(t)
	var streams []http1.Stream
	var labels []string
	add := func(target string, header ...string) {
		streams = append(streams, s.watch(t, target, header...))
		labels = append(labels, fmt.Sprintf("watch %d", len(labels)))
	}
	for _, target := range []string{"/api/v1/pods?watch=1", jobsPath + "?watch=true", "/api/v1/nodes?watch=1&resourceVersion=0",
		"/api/v1/pods?watch=1&fieldSelector=status.phase%3DRunning", "/apis/batch/v1/jobs?watch=1&labelSelector=team%3Da",
		"/api/v1/pods?watch=1&sendInitialEvents=true&resourceVersionMatch=NotOlderThan&allowWatchBookmarks=true",
		jobsPath + "/job-1?watch=1", "/api/v1/pods?watch=1&timeoutSeconds=2&allowWatchBookmarks=true", "/api/v1/namespaces?watch=1"} {
		add(target)
		add(target, "Accept", binaryMedia)
		add(target, "Accept", tableMedia)
	}
	for round := range 6 {
		if round < 3 {
			s.send("POST", jobsPath, jobText(fmt.Sprintf("job-%d", round), "", 3), "Content-Type", jsonMedia)
		} else {
			s.send("DELETE", fmt.Sprintf("%s/job-%d", jobsPath, round-3), "")
		}
		s.advance(1)
		for i, stream := range streams {
			s.pull(labels[i], stream, []int{1, 500, 1 << 20}[round%3])
		}
	}
	s.record.Line("%d watchers", s.server.Watchers())
	for _, stream := range streams {
		stream.Close()
	}
	s.record.Line("%d watchers", s.server.Watchers())
	for _, query := range []string{"resourceVersion=1", "resourceVersion=x", "resourceVersion=99999999", "timeoutSeconds=x", "sendInitialEvents=true",
		"sendInitialEvents=x", "resourceVersionMatch=Exact&resourceVersion=1010", "allowWatchBookmarks=x", "limit=1"} {
		if response := s.send("GET", "/api/v1/pods?watch=1&"+query, ""); response.Stream != nil {
			s.pull(query, response.Stream, 1<<20)
			response.Stream.Close()
		}
	}
	s.record.Check(t, "watches")
}
