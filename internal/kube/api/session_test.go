package api

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// sessionStart is the Unix time of the first request of a session, in seconds.
const sessionStart = 1.8e9

// apiSession sends requests to one server at increasing times. It records the status, the header fields and a
// digest of the body of each response.
//
// If a change of behavior is intended, run the tests with the environment variable
// HEATHSHED_UPDATE_GOLDEN=1 to update the golden files. Package goldentest describes this variable.
type apiSession struct {
	server *Server
	engine *engine.Engine
	// now is the current Unix time in the session.
	now      placer.Seconds
	recorder *goldentest.Recorder
}

// newSession returns a session with a server whose engine has the default settings and three nodes.
func newSession(t *testing.T) *apiSession {
	t.Helper()
	settings := config.Default()
	return newSessionWith(t, settings.EngineConfig(1, 1000))
}

// newSessionWith returns a session with a server whose engine has the given configuration and three nodes.
func newSessionWith(t *testing.T, engineConfig engine.Config) *apiSession {
	t.Helper()
	var nodes []*corev1.Node
	for i, nodeType := range []string{"standard", "large", "standard"} {
		nodes = append(nodes, newReadyNode(fmt.Sprintf("node-%d", i+1), nodeType, i))
	}
	server := newServer(t, engineConfig, sessionStart, nodes...)
	server.Version = "test"
	server.DefaultListLimit = 50
	server.Metrics = func() []byte { return []byte("metric 1\n") }
	for _, node := range nodes {
		server.Engine.PodsListed(sessionStart, node.Name, node.Status.NodeInfo.BootID, 1, nil)
	}
	return &apiSession{server: server, engine: server.Engine, now: sessionStart, recorder: goldentest.NewRecorder()}
}

// newReadyNode returns a node that is ready and has free capacity. The IP address of the node is derived
// from the argument index.
func newReadyNode(name, nodeType string, index int) *corev1.Node {
	node := &corev1.Node{}
	node.Name = name
	node.Labels = map[string]string{wellknown.NodeType: nodeType, wellknown.Rack: "rack-1", wellknown.Zone: "zone-a"}
	node.Annotations = map[string]string{wellknown.FreeCapacity: "cores=16.0, memory=32.0"}
	node.Status.NodeInfo.BootID = "boot-" + name
	node.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	node.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0." + strconv.Itoa(index+1)}}
	node.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	return node
}

// advance moves the time of the session forward by the given number of seconds and calls the engine
// whenever a timer of the engine expires. It also answers the engine on behalf of the nodes: the nodes
// accept and run every task that the engine sends to them, and stop every task that the engine wants to
// stop.
func (session *apiSession) advance(seconds placer.Seconds) {
	for endTime := session.now + seconds; session.now < endTime; {
		session.now = min(max(session.engine.NextWake(), session.now+0.01), endTime)
		session.engine.Tick(session.now)
		for _, effect := range session.engine.Ready(nil) {
			switch effect.Kind {
			case engine.SendAttempt:
				pod := effect.Pod.DeepCopy()
				pod.Status.Phase = corev1.PodRunning
				session.engine.AttemptDone(session.now, engine.AttemptAnswer{
					UID:         effect.UID,
					Attempt:     effect.Attempt,
					Node:        effect.Node,
					Accepted:    true,
					Revision:    2,
					Incarnation: "boot-" + effect.Node,
					Pod:         pod,
				})
			case engine.StopTask:
				session.engine.StopDone(session.now, engine.StopAnswer{
					UID:         effect.UID,
					Node:        effect.Node,
					Attempt:     effect.Attempt,
					Answered:    true,
					HadTask:     true,
					MayHaveRun:  true,
					Incarnation: "boot-" + effect.Node,
				})
			}
		}
	}
}

// send passes a request to the server, records the response and returns it. The header arguments are the
// names and values of header fields: each name is followed by its value.
func (session *apiSession) send(method, target, body string, header ...string) http1.Response {
	response := session.server.Serve(session.now, newRequest(method, target, body, header...))
	session.recorder.Line("%s %s %s -> %d %q, %d bytes, %s", method, target, strings.Join(header, " "),
		response.Status, headerLines(response.Header), len(response.Body), digest(response.Body))
	if response.Status >= 400 {
		session.recorder.Line("  %s", response.Body)
	}
	return response
}

func (session *apiSession) get(target string) http1.Response { return session.send("GET", target, "") }

func (session *apiSession) delete(target string) { session.send("DELETE", target, "") }

func (session *apiSession) post(target, body string) { session.sendJSON("POST", target, body) }

func (session *apiSession) sendJSON(method, target, body string) {
	session.send(method, target, body, "Content-Type", jsonType)
}

// headerLines returns the text "name: value" for each header field.
func headerLines(header []http1.Field) []string {
	var lines []string
	for _, field := range header {
		lines = append(lines, field.Name+": "+field.Value)
	}
	return lines
}

// digest returns the SHA-256 digest of a text as a hexadecimal number.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// watch opens a watch and returns its stream. The test fails if the response contains no stream.
func (session *apiSession) watch(t *testing.T, target string, header ...string) http1.Stream {
	t.Helper()
	response := session.send("GET", target, "", header...)
	if response.Stream == nil {
		t.Fatalf("response to the watch request %s has no stream: status %d", target, response.Status)
	}
	return response.Stream
}

// pull reads the pending events from the stream of a watch in chunks of about maxBytes bytes. It records the
// size and the digest of each chunk.
func (session *apiSession) pull(label string, stream http1.Stream, maxBytes int) {
	for range 40 {
		chunk, done := stream.Pull(nil, maxBytes)
		session.recorder.Line("%s: %d bytes, %s, done %v", label, len(chunk), digest(chunk), done)
		if done || len(chunk) == 0 {
			return
		}
	}
}

// jobJSON returns a Job as JSON. The text extraPodSpec is appended to the specification of the Job's Pods.
func jobJSON(name, extraPodSpec string, taskCount int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q,"labels":{"team":"a"}},"spec":{"completions":%d,"parallelism":%d,`+
		`"backoffLimit":1,"template":{"metadata":{"labels":{"heathshed.io/class":"web","heathshed.io/service":"s"}},"spec":{"restartPolicy":"Never",`+
		`"containers":[{"name":"main","image":"image","resources":{"requests":{"cpu":"500m","memory":"1Gi"}}}]%s}}}}`, name, taskCount, taskCount, extraPodSpec)
}

// createInitialJobs creates four Jobs and advances the time of the session after the creation of each Job.
// Afterwards, some tasks of these Jobs are running.
func (session *apiSession) createInitialJobs() {
	for i := range 4 {
		session.post(jobsPath, jobJSON(fmt.Sprintf("job-%d", i), "", i+1))
		session.advance(0.7)
	}
}
