package api

import (
	"encoding/json"
	"fmt"
	"mime"
	"strings"
	"time"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/util/duration"

	"heathshed/internal/http1"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
)

// wantsTable says whether a client asks for rows to print before it asks for plain objects, as kubectl get does.
func wantsTable(accept string) bool {
	for _, part := range strings.Split(accept, ",") {
		t, params, err := mime.ParseMediaType(part)
		if err != nil {
			continue
		}
		switch {
		case params["as"] == "Table" && params["g"] == "meta.k8s.io" && params["v"] == "v1":
			return true
		case t == jsonType && params["as"] == "":
			return false
		}
	}
	return false
}

// tableColumns are what is printed of each resource; priority 1 only with -o wide.
var tableColumns = map[store.Resource][]metav1.TableColumnDefinition{
	store.Jobs: {{Name: "Name", Type: "string", Format: "name"}, {Name: "Status", Type: "string"}, {Name: "Completions", Type: "string"},
		{Name: "Settled", Type: "string"}, {Name: "Age", Type: "string"}},
	store.Pods: {{Name: "Name", Type: "string", Format: "name"}, {Name: "Status", Type: "string"}, {Name: "Settled", Type: "string"},
		{Name: "Age", Type: "string"}, {Name: "Node", Type: "string"}, {Name: "Message", Type: "string", Priority: 1}},
	store.Nodes: {{Name: "Name", Type: "string", Format: "name"}, {Name: "Status", Type: "string"}, {Name: "Kind", Type: "string"},
		{Name: "Zone", Type: "string"}, {Name: "Rack", Type: "string"}, {Name: "Free", Type: "string", Priority: 1}},
	store.Namespaces: {{Name: "Name", Type: "string", Format: "name"}, {Name: "Status", Type: "string"}, {Name: "Age", Type: "string"}},
}

func age(o store.Object, now float64) string {
	made := o.GetCreationTimestamp()
	if made.IsZero() {
		return "<unknown>"
	}
	return duration.HumanDuration(time.Duration((now - float64(made.Unix())) * 1e9))
}

// tableCells is the row of an object.
func tableCells(o store.Object, now float64) []any {
	switch v := o.(type) {
	case *batchv1.Job:
		state, outcome := "Running", ""
		for _, c := range v.Status.Conditions {
			if c.Status != corev1.ConditionTrue {
				continue
			}
			switch c.Type {
			case wellknown.Settled:
				outcome = c.Reason
			case batchv1.JobComplete, batchv1.JobFailed, batchv1.JobSuspended:
				state = string(c.Type)
			}
		}
		want := int32(1)
		if v.Spec.Completions != nil {
			want = *v.Spec.Completions
		} else if v.Spec.Parallelism != nil {
			want = *v.Spec.Parallelism
		}
		return []any{v.Name, state, fmt.Sprintf("%d/%d", v.Status.Succeeded, want), outcome, age(o, now)}
	case *corev1.Pod:
		state := string(v.Status.Phase)
		if v.Status.Reason != "" {
			state = v.Status.Reason
		}
		message := v.Status.Message
		for _, c := range v.Status.Conditions {
			if c.Type == wellknown.Settled && message == "" {
				message = c.Message
			}
		}
		return []any{v.Name, state, wellknown.SettledReason(v), age(o, now), v.Spec.NodeName, message}
	case *corev1.Node:
		state := "Ready"
		if !wellknown.NodeReady(v) {
			state = "NotReady"
		}
		if v.Spec.Unschedulable {
			state += ",SchedulingDisabled"
		}
		return []any{v.Name, state, v.Labels[wellknown.Kind], v.Labels[wellknown.Zone], v.Labels[wellknown.Rack], v.Annotations[wellknown.FreeCapacity]}
	case *corev1.Namespace:
		return []any{v.Name, string(v.Status.Phase), age(o, now)}
	}
	return nil
}

// tableResponse answers a get or a page of a list as rows, with each object's metadata beside it.
func (s *Server) tableResponse(r *request, m metav1.ListMeta, objects []store.Object) (http1.Response, error) {
	t := metav1.Table{TypeMeta: metav1.TypeMeta{Kind: "Table", APIVersion: "meta.k8s.io/v1"}, ListMeta: m, ColumnDefinitions: tableColumns[r.resourceType.resource],
		Rows: []metav1.TableRow{}}
	whole := r.query.Get("includeObject") == "Object"
	none := r.query.Get("includeObject") == "None"
	for _, o := range objects {
		row := metav1.TableRow{Cells: tableCells(o, s.now)}
		switch {
		case none:
		case whole:
			b, err := encode(o)
			if err != nil {
				return http1.Response{}, fmt.Errorf("encode row: %w", err)
			}
			row.Object = runtime.RawExtension{Raw: b}
		default:
			p := metav1.PartialObjectMetadata{TypeMeta: metav1.TypeMeta{Kind: "PartialObjectMetadata", APIVersion: "meta.k8s.io/v1"}}
			p.Name, p.Namespace, p.UID, p.ResourceVersion = o.GetName(), o.GetNamespace(), o.GetUID(), o.GetResourceVersion()
			p.Labels, p.Annotations, p.CreationTimestamp = o.GetLabels(), o.GetAnnotations(), o.GetCreationTimestamp()
			b, err := json.Marshal(&p)
			if err != nil {
				return http1.Response{}, fmt.Errorf("encode row: %w", err)
			}
			row.Object = runtime.RawExtension{Raw: b}
		}
		t.Rows = append(t.Rows, row)
	}
	return jsonResponse(200, &t)
}
