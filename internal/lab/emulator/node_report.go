//go:build linux

package emulator

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
)

const reportTimeout = 2 * time.Second

// reportPeriodically updates what the node states of its load and reports it to the inventory, now and each ReportInterval.
func (n *Node) reportPeriodically() {
	if n.stopped {
		return
	}
	next := n.options.ReportInterval
	if !n.reported {
		// Spread the reports of nodes that start together over the interval.
		n.reported = true
		next = next * time.Duration(xxhash.Sum64String(n.options.Name)%1000) / 1000
	}
	n.loop.After(next, n.reportPeriodically)
	if n.sim == nil {
		return
	}
	n.sim.Tick(n.simNow())
	n.updateLoadReport()
	n.processEffects()
	if n.sim != nil {
		n.sendReport()
	}
}

func (n *Node) updateLoadReport() {
	cores, memory := n.sim.Unused()
	n.loadReport = wellknown.FormatDict(
		wellknown.Member{Name: "free-cores", Value: cores},
		wellknown.Member{Name: "free-memory", Value: memory},
		wellknown.Member{Name: "busy", Value: n.sim.Utilization()},
		wellknown.Member{Name: "queue", Value: float64(n.sim.QueueLength())},
	)
}

// sendReport sends the node's object to the inventory. The answer does not matter: the next report follows soon.
func (n *Node) sendReport() {
	if n.inventory == nil {
		return
	}
	body, err := json.Marshal(n.Object())
	if err != nil {
		return
	}
	path := "/api/v1/nodes/" + url.PathEscape(n.options.Name) + "/status"
	header := []http1.Field{{Name: "Content-Type", Value: "application/json"}}
	n.inventory.Do("PUT", path, header, body, reportTimeout, &httpc.Call{OnDone: func(*http1.Head, []byte, error) {}})
}

// Object returns the node as the inventory shows it.
func (n *Node) Object() *corev1.Node {
	options := &n.options
	identity := nodesim.Identity{Name: options.Name, Zone: options.Zone, Rack: options.Rack, Kind: options.Kind, Incarnation: n.incarnation}
	if n.startedAt > 0 {
		identity.StartedAt = n.startedAt + n.faults.ClockSkew
	}
	host, port, _ := strings.Cut(n.addr, ":")
	identity.Host = host
	// The port is one that the system gave; 0 if it cannot be read.
	if number, err := strconv.ParseInt(port, 10, 32); err == nil {
		identity.Port = int32(number)
	}
	object := n.sim.Object(identity)
	object.TypeMeta = metav1.TypeMeta{Kind: "Node", APIVersion: "v1"}
	object.Labels[corev1.LabelHostname] = options.Name
	cfg := n.sim.Config()
	object.Status.Capacity = corev1.ResourceList{
		corev1.ResourceCPU:    *resource.NewMilliQuantity(int64(cfg.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(cfg.Memory*wellknown.Gibibyte), resource.BinarySI),
	}
	object.Status.Allocatable = object.Status.Capacity
	object.Status.Conditions[0].Reason = "StandInReady"
	return object
}
