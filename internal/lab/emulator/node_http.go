//go:build linux

package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpd"
	"heathshed/placer"
)

const (
	faultsPath  = "/heathshed/faults"
	maxLifetime = 1e7 // seconds; a longer one in an annotation is ignored
)

// serve answers a request of a scheduler, or one that injects faults.
func (n *Node) serve(exchange *httpd.Exchange) {
	if n.sim == nil || n.loop.Now() < n.unreachableUntil {
		exchange.Reset()
		return
	}
	path, _, _ := strings.Cut(exchange.Head.Target, "?")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	isPods := len(parts) >= 5 && parts[0] == "api" && parts[2] == "namespaces" && parts[4] == "pods"
	switch {
	case exchange.Head.Method == http.MethodPut && path == faultsPath:
		n.serveFault(exchange)
	case isPods && len(parts) == 5 && exchange.Head.Method == http.MethodPost:
		n.startTask(exchange)
	case isPods && len(parts) == 6 && exchange.Head.Method == http.MethodDelete:
		n.stopTask(exchange)
	default:
		n.tick()
		response := n.api.Serve(n.simNow(), &exchange.Request)
		response.Header = append(response.Header, http1.Field{Name: wellknown.IncarnationHeader, Value: n.incarnation},
			http1.Field{Name: wellknown.LoadHeader, Value: n.loadReport})
		exchange.Respond(response)
	}
}

func (n *Node) serveFault(exchange *httpd.Exchange) {
	var injected fault.Node
	if err := json.Unmarshal(exchange.Body, &injected); err != nil {
		n.respond(exchange, statusResponse(http.StatusBadRequest, "BadRequest", "faults: "+err.Error()))
		return
	}
	exchange.Respond(http1.Response{Status: http.StatusNoContent})
	n.Fault(injected)
}

// parsePod reads the Pod and the number of the attempt of a request to start a task. ok is false if one is missing.
func parsePod(exchange *httpd.Exchange) (pod *corev1.Pod, attempt int, ok bool) {
	attempt, err := strconv.Atoi(exchange.Head.Header.Get(wellknown.AttemptHeader))
	if err != nil {
		return nil, 0, false
	}
	pod = &corev1.Pod{}
	if err := json.Unmarshal(exchange.Body, pod); err != nil {
		return nil, 0, false
	}
	if pod.UID == "" || pod.Name == "" || pod.Namespace == "" {
		return nil, 0, false
	}
	if pod.Labels == nil {
		pod.Labels = map[string]string{}
	}
	if pod.Annotations == nil {
		pod.Annotations = map[string]string{}
	}
	return pod, attempt, true
}

// startTask takes an attempt to start a task. The answer follows when the simulated node has decided.
func (n *Node) startTask(exchange *httpd.Exchange) {
	now := n.simNow()
	pod, attempt, ok := parsePod(exchange)
	if !ok {
		n.respond(exchange, statusResponse(http.StatusBadRequest, "BadRequest",
			"want a Pod with uid, name and namespace, and the attempt's number in "+wellknown.AttemptHeader))
		return
	}
	uid := string(pod.UID)
	class := pod.Labels[wellknown.Class]
	n.record(audit.Event{Kind: audit.AttemptReceived, UID: uid, Attempt: attempt, Scheduler: pod.Labels[wellknown.Scheduler], Class: class,
		Service: nodesim.PodService(pod)})
	recordAbandoned := func() { n.record(audit.Event{Kind: audit.Abandoned, UID: uid, Attempt: attempt}) }
	if now < n.faults.ResetUntil {
		recordAbandoned()
		exchange.Reset()
		return
	}
	if n.faults.FailsClass(now, class) {
		recordAbandoned()
		n.respond(exchange, statusResponse(http.StatusInternalServerError, "InternalError", "the node fails"))
		return
	}
	request := nodesim.PodRequest(pod, attempt, n.options.Priorities[class])
	request.Lifetime = placer.Seconds(n.lifetime(pod, class))
	key := nodesim.AttemptKey(uid, attempt)
	exchange.OnDisconnect = recordAbandoned
	n.pending[key] = append(n.pending[key], exchange)
	n.sim.Submit(now, request)
	n.processEffects()
}

// lifetime returns the lifetime that a Pod states, the mean one of its class if it states none that is valid.
func (n *Node) lifetime(pod *corev1.Pod, class string) float64 {
	lifetime, err := strconv.ParseFloat(pod.Annotations[wellknown.Lifetime], 64)
	if err == nil && lifetime > 0 && lifetime < maxLifetime {
		return lifetime
	}
	return n.options.Lifetimes[class]
}

// stopTask takes an order to stop a task, up to the attempt that it states.
func (n *Node) stopTask(exchange *httpd.Exchange) {
	var options metav1.DeleteOptions
	attempt, err := strconv.Atoi(exchange.Head.Header.Get(wellknown.AttemptHeader))
	if err == nil {
		err = json.Unmarshal(exchange.Body, &options)
	}
	if err != nil || options.Preconditions == nil || options.Preconditions.UID == nil {
		n.respond(exchange, statusResponse(http.StatusBadRequest, "BadRequest", "want preconditions.uid and "+wellknown.AttemptHeader))
		return
	}
	uid := string(*options.Preconditions.UID)
	had, ran := n.sim.Stop(n.simNow(), uid, attempt)
	if !had {
		n.record(audit.Event{Kind: audit.Fenced, UID: uid, Attempt: attempt})
	}
	n.processEffects()
	if !had {
		n.respond(exchange, statusResponse(http.StatusNotFound, "NotFound", "no such Pod; a later request of this attempt is rejected"))
		return
	}
	pod := &corev1.Pod{}
	pod.UID = types.UID(uid)
	pod.Status.Phase = corev1.PodFailed
	pod.Status.Reason = wellknown.Stopped
	if !ran {
		pod.Status.Reason = wellknown.NeverStarted
	}
	n.respond(exchange, jsonResponse(http.StatusOK, pod))
}

// answer answers an attempt that the simulated node has decided.
func (n *Node) answer(exchange *httpd.Exchange, effect *nodesim.Effect) {
	if effect.Task == nil {
		n.record(audit.Event{Kind: audit.Rejected, UID: effect.UID, Attempt: effect.Attempt, Reason: effect.Reason.APIReason()})
		n.respond(exchange, rejection(effect.Reason))
		return
	}
	if n.simNow() < n.faults.LoseAnswerUntil {
		exchange.Reset()
		return
	}
	pod := nodesim.Pod(effect.Task, n.options.Name)
	if stored := n.store.Get(store.Pods, pod.Namespace, pod.Name); stored != nil {
		pod.ResourceVersion = stored.GetResourceVersion()
	} else {
		pod.ResourceVersion = strconv.FormatInt(n.store.Revision(), 10)
	}
	n.respond(exchange, jsonResponse(http.StatusCreated, pod))
}

// rejection returns the answer to a rejected attempt.
func rejection(reason nodesim.Reason) http1.Response {
	switch reason {
	case nodesim.InsufficientCores:
		return statusResponse(http.StatusConflict, wellknown.OutOfCPU, "Node didn't have enough resource: cpu")
	case nodesim.InsufficientMemory:
		return statusResponse(http.StatusConflict, wellknown.OutOfMemory, "Node didn't have enough resource: memory")
	case nodesim.QueueFull:
		return statusResponse(http.StatusTooManyRequests, wellknown.QueueFull, "too many attempts are queued")
	}
	return statusResponse(http.StatusConflict, wellknown.WrongNode, "the node is draining, or this attempt was stopped")
}

// respond answers with the header fields of the node, slowly if that fault is injected.
func (n *Node) respond(exchange *httpd.Exchange, response http1.Response) {
	response.Header = append(response.Header, http1.Field{Name: "Content-Type", Value: "application/json"},
		http1.Field{Name: wellknown.LoadHeader, Value: n.loadReport}, http1.Field{Name: wellknown.IncarnationHeader, Value: n.incarnation})
	if n.simNow() < n.faults.TrickleUntil {
		n.respondSlowly(exchange, response)
		return
	}
	exchange.Respond(response)
}

// statusResponse returns an answer with a Status object of the API.
func statusResponse(code int, reason, message string) http1.Response {
	return jsonResponse(code, &metav1.Status{TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}, Status: metav1.StatusFailure,
		Code: int32(code), Reason: metav1.StatusReason(reason), Message: message})
}

// jsonResponse returns an answer with an object as JSON.
func jsonResponse(code int, object any) http1.Response {
	body, err := json.Marshal(object)
	if err != nil {
		return http1.Response{Status: http.StatusInternalServerError}
	}
	return http1.Response{Status: code, Body: body}
}
