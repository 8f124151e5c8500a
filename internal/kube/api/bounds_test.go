package api

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	batchv1 "k8s.io/api/batch/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
)

// newEngineServer returns an API over an engine that knows one node.
func newEngineServer(tb testing.TB) *Server {
	tb.Helper()
	s := config.Default()
	e, err := engine.New(s.Engine(1, 1000))
	if err != nil {
		tb.Fatal(err)
	}
	n := &corev1.Node{}
	n.Name, n.Labels = "node-1", map[string]string{wellknown.Kind: "standard", wellknown.Rack: "r", wellknown.Zone: "z"}
	e.NodesListed(1000, engine.FullList, []*corev1.Node{n}, nil)
	return &Server{Store: e.Store(), Engine: e}
}

func (s *Server) send(method, target, contentType, body string) http1.Response {
	return s.Serve(1000, &http1.Request{Body: []byte(body), Head: &http1.Head{Method: method, Target: target, Minor: 1,
		Header: http1.Header{{Name: "Content-Type", Value: contentType}}}})
}

const (
	jobsPath           = "/apis/batch/v1/namespaces/default/jobs"
	nodePath           = "/api/v1/nodes/node-1"
	jsonPatchType      = string(types.JSONPatchType)
	mergePatchType     = string(types.MergePatchType)
	strategicPatchType = string(types.StrategicMergePatchType)
)

func jobWithCPU(cpu string) string {
	return `{"metadata":{"name":"j"},"spec":{"template":{"spec":{"restartPolicy":"Never","containers":[{"name":"a","image":"b","resources":` +
		`{"requests":{"cpu":` + cpu + `}}}]}}}}`
}

func copyOperations(n int) string {
	ops := []string{`{"op":"add","path":"/metadata/annotations","value":{"a":"b"}}`}
	for i := range n {
		ops = append(ops, fmt.Sprintf(`{"op":"copy","from":"/metadata","path":"/metadata/annotations/x%d"}`, i))
	}
	return "[" + strings.Join(ops, ",") + "]"
}

// allocatedBytes returns how many bytes the process allocates while f runs.
func allocatedBytes(f func()) uint64 {
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	f()
	runtime.ReadMemStats(&b)
	return b.TotalAlloc - a.TotalAlloc
}

// allocationLimit is how many bytes serving a request may allocate: a number for each byte of its body, and a bound for any body.
func allocationLimit(body int) uint64 { return min(16<<20+2048*uint64(body), 96<<20) }

// TestCostlyBodiesAreRejected checks that bodies that are small to send and expensive to decode are rejected before they are decoded, with a
// status that says why.
func TestCostlyBodiesAreRejected(t *testing.T) {
	deep := func(n int) string { return strings.Repeat(`{"a":`, n) + "1" + strings.Repeat("}", n) }
	wire := func(quantity string) string {
		// A quantity in a message in a message, in the protobuf encoding.
		in := func(b string) string { return "\x0a" + string(rune(len(b))) + b }
		return "k8s\x00" + in("\x0a\x02v1\x12\x03Job") + "\x12" + string(rune(len(in(in(quantity))))) + in(in(quantity))
	}
	for _, c := range []struct {
		name, method, path, kind, body string
		status                         int
	}{
		{"copy of metadata into itself", "PATCH", nodePath, jsonPatchType, copyOperations(40), 413},
		{"many operations", "PATCH", nodePath, jsonPatchType, "[" + strings.Repeat(`{"op":"test","path":"/kind","value":"Node"},`, 1500) + `{"op":"test","path":"/kind","value":"Node"}]`, 413},
		{"deep merge patch", "PATCH", nodePath, mergePatchType, deep(9000), 400},
		{"deep strategic patch", "PATCH", nodePath, strategicPatchType, deep(9000), 400},
		{"deep body", "POST", jobsPath, jsonType, deep(9000), 400},
		{"deep arrays", "POST", jobsPath, jsonType, strings.Repeat("[", 100000), 400},
		{"huge exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e1000000000"`), 400},
		{"huge exponent as a number", "POST", jobsPath, jsonType, jobWithCPU(`1e1000000000`), 400},
		{"tiny exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e-2147483647"`), 400},
		{"escaped exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1\u00651000000000"`), 400},
		{"escaped first digit", "POST", jobsPath, jsonType, jobWithCPU(`"\u0031e1000000000"`), 400},
		{"many digits", "POST", jobsPath, jsonType, jobWithCPU(`"` + strings.Repeat("9", 1<<20) + `"`), 400},
		{"exponent by patch", "PATCH", nodePath, mergePatchType, `{"status":{"capacity":{"cpu":"1e1000000000"}}}`, 400},
		{"exponent in the binary encoding", "POST", jobsPath, "application/vnd.kubernetes.protobuf", wire("1e1000000000"), 400},
		{"900,000 empty containers", "POST", jobsPath, jsonType, `{"spec":{"template":{"spec":{"containers":[` + strings.Repeat("{},", 900000) + "{}]}}}}", 413},
		{"many labels", "PATCH", nodePath, mergePatchType, `{"metadata":{"labels":{"a":"` + strings.Repeat("x", 1<<20) + `"}}}`, 413},
		{"selector of 2,000 terms", "GET", "/api/v1/pods?labelSelector=" + strings.Repeat("a,", 2000) + "a", "", "", 413},
		{"field selector of 2,000 terms", "GET", "/api/v1/pods?fieldSelector=" + strings.Repeat("metadata.name%21%3Da,", 2000), "", "", 413},
		{"escaped slash", "GET", "/api/v1/namespaces/default%2Fx/pods", "", "", 400},
		{"escaped dots", "GET", "/api/v1/namespaces/%2e%2e/pods", "", "", 400},
		{"name of another form", "GET", "/api/v1/nodes/a%00b", "", "", 400},
		{"plain number in an annotation", "PATCH", nodePath, mergePatchType, `{"metadata":{"annotations":{"a":"1e1000000000"}}}`, 200},
		{"ordinary copy", "PATCH", nodePath, jsonPatchType, copyOperations(2), 400}, // a copy of an object is no annotation
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEngineServer(t)
			var resp http1.Response
			allocated := allocatedBytes(func() { resp = s.send(c.method, c.path, c.kind, c.body) })
			if most := allocationLimit(len(c.body)); allocated > most {
				t.Errorf("%d bytes of body allocate %d bytes, want at most %d", len(c.body), allocated, most)
			}
			if resp.Status != c.status {
				t.Errorf("status %d, want %d: %.200s", resp.Status, c.status, resp.Body)
			}
			if len(resp.Body) > 64<<10 {
				t.Errorf("a response of %d bytes", len(resp.Body))
			}
		})
	}
}

// TestCompressedBodyIsRejected checks that a body with a content encoding is rejected.
func TestCompressedBodyIsRejected(t *testing.T) {
	s := newEngineServer(t)
	resp := s.Serve(1000, &http1.Request{Head: &http1.Head{Method: "POST", Target: jobsPath, Minor: 1,
		Header: http1.Header{{Name: "Content-Type", Value: jsonType}, {Name: "Content-Encoding", Value: "gzip"}}}})
	if resp.Status != 415 {
		t.Errorf("compressed body: %d", resp.Status)
	}
}

// FuzzBody checks that any body, on any path, is served within allocationLimit and without an internal error.
func FuzzBody(f *testing.F) {
	for _, s := range []string{jobWithCPU(`"1"`), jobWithCPU(`"1e1000000000"`), copyOperations(40), `{"metadata":{"labels":{"a":"b"}}}`,
		`{"spec":{"unschedulable":true}}`, "k8s\x00\x0a\x09\x0a\x02v1\x12\x03Job\x12\x02\x0a\x00", `{"kind":"DeleteOptions","dryRun":["All"]}`} {
		for way := range byte(7) {
			f.Add(way, s)
		}
	}
	s := newEngineServer(f)
	f.Fuzz(func(t *testing.T, way byte, body string) {
		if len(body) > 1<<16 {
			return
		}
		ways := []struct{ method, path, kind string }{{"POST", jobsPath + "?dryRun=All", jsonType}, {"PATCH", nodePath + "?dryRun=All", jsonPatchType},
			{"PATCH", nodePath + "?dryRun=All", mergePatchType}, {"PATCH", nodePath + "?dryRun=All", strategicPatchType}, {"PUT", nodePath + "?dryRun=All", jsonType},
			{"POST", jobsPath + "?dryRun=All", "application/vnd.kubernetes.protobuf"}, {"DELETE", "/api/v1/namespaces/default/pods?dryRun=All", jsonType}}
		w := ways[int(way)%len(ways)]
		var resp http1.Response
		if n, most := allocatedBytes(func() { resp = s.send(w.method, w.path, w.kind, body) }), allocationLimit(len(body)); n > most {
			t.Fatalf("%d bytes of body allocate %d bytes, want at most %d", len(body), n, most)
		}
		if resp.Status == 500 {
			t.Fatalf("status 500: %s", resp.Body)
		}
	})
}

// FuzzSelector checks that any selector is parsed and matched against objects within allocationLimit.
func FuzzSelector(f *testing.F) {
	for _, s := range []string{"a=b", "a in (b,c),!d", "a notin (b)", "a>1", strings.Repeat("a,", 200), "(((", "a in (", "\x00"} {
		f.Add(s, s)
	}
	f.Fuzz(func(t *testing.T, l, fs string) {
		if len(l)+len(fs) > 1<<13 {
			return
		}
		s := newPodServer(5)
		r := &request{Request: &http1.Request{Head: &http1.Head{}}, resourceType: resourceTypes[0], query: map[string][]string{"labelSelector": {l}, "fieldSelector": {fs}}}
		r.resourceType = resourceTypes[1]
		n := allocatedBytes(func() {
			if sel, err := r.parseSelector(); err == nil {
				for _, o := range []string{"pa", "pb", "pc"} {
					sel.matches(s.Store.Get(r.resourceType.resource, "default", o))
				}
			}
		})
		if most := allocationLimit(len(l) + len(fs)); n > most {
			t.Fatalf("%d bytes allocate %d bytes", len(l)+len(fs), n)
		}
	})
}

// TestGeneratedNames checks that a generated name that is taken is drawn again.
func TestGeneratedNames(t *testing.T) {
	s := newEngineServer(t)
	job := &batchv1.Job{ObjectMeta: metav1.ObjectMeta{GenerateName: "g-", Namespace: "default"}}
	zero := int32(0)
	job.Spec.Completions, job.Spec.Parallelism = &zero, &zero
	job.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	seen := map[string]bool{}
	for i := range 20000 {
		created, err := s.Engine.CreateJob(1000, job, false)
		if err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		seen[created.Name] = true
	}
	if len(seen) != 20000 {
		t.Errorf("%d names of 20000 Jobs", len(seen))
	}
}

// TestLargeListIsStreamed checks that a large list comes in pieces that together are the list, and ends broken once the history no longer
// reaches back to its snapshot.
func TestLargeListIsStreamed(t *testing.T) {
	st := store.New(100, 500)
	put := func(i int) {
		p := &corev1.Pod{}
		p.Namespace, p.Name = "default", fmt.Sprintf("p%04d", i)
		p.Annotations = map[string]string{"a": strings.Repeat("x", 1000)}
		st.Put(store.Pods, p)
	}
	for i := range 400 {
		put(i)
	}
	s := &Server{Store: st}
	for _, c := range []struct {
		target string
		items  int
		whole  bool
	}{{"/api/v1/pods", 400, false}, {"/api/v1/pods?limit=300", 300, false}, {"/api/v1/pods?limit=3", 3, true}} {
		resp := s.getAs(c.target, jsonType)
		body := resp.Body
		if (resp.Stream == nil) != c.whole {
			t.Fatalf("%s: streamed %v", c.target, resp.Stream != nil)
		}
		for done := c.whole; !done; {
			before := len(body)
			if body, done = resp.Stream.Pull(body, 10000); len(body)-before > 200000 {
				t.Fatalf("%s: a piece of %d bytes", c.target, len(body)-before)
			}
		}
		var l corev1.PodList
		if err := json.Unmarshal(body, &l); err != nil || len(l.Items) != c.items || (l.Continue != "") != (c.items < 400) {
			t.Errorf("%s: %d items, continue %q, %v", c.target, len(l.Items), l.Continue, err)
		}
	}
	resp := s.getAs("/api/v1/pods", jsonType)
	for i := range 1000 {
		put(i % 400)
	}
	if _, done := resp.Stream.Pull(nil, 10000); !done || !resp.Stream.(*listStream).Broken() {
		t.Error("a list goes on although the history no longer reaches back to it")
	}
}
