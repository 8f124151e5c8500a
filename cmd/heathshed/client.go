package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/wellknown"
)

// apiClient is the API as the operators' commands use it.
type apiClient struct{ server string }

func (client *apiClient) register(c *cobra.Command) {
	def := os.Getenv("HEATHSHED_SERVER")
	if def == "" {
		def = "http://127.0.0.1:8480"
	}
	c.PersistentFlags().StringVarP(&client.server, "server", "s", def, "address of the API (or HEATHSHED_SERVER)")
}

// do sends a request and reads a whole answer into out.
func (client *apiClient) do(ctx context.Context, method, path, contentType string, body []byte, out any) error {
	resp, err := client.open(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

func (client *apiClient) open(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(client.server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		var status metav1.Status
		if json.Unmarshal(b, &status) == nil && status.Message != "" {
			return nil, fmt.Errorf("%s (%d)", status.Message, resp.StatusCode)
		}
		return nil, fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return resp, nil
}

// collectionPath is the path of a resource. namespace "" is all.
func collectionPath(resource, namespace string) (string, error) {
	ns := ""
	if namespace != "" {
		ns = "/namespaces/" + url.PathEscape(namespace)
	}
	switch resource {
	case "jobs", "job":
		return "/apis/batch/v1" + ns + "/jobs", nil
	case "pods", "pod", "tasks", "task":
		return "/api/v1" + ns + "/pods", nil
	case "nodes", "node", "machines", "machine":
		return "/api/v1/nodes", nil
	}
	return "", fmt.Errorf("%q: want jobs, pods (tasks) or nodes (machines)", resource)
}

func settledCondition(conds []batchv1.JobCondition) string {
	for _, c := range conds {
		if c.Type == wellknown.Settled && c.Status == corev1.ConditionTrue {
			return c.Reason + ": " + c.Message
		}
	}
	return ""
}

// tableRow is one line of a table.
func tableRow(kind string, raw json.RawMessage) []string {
	switch kind {
	case "Job":
		var j batchv1.Job
		json.Unmarshal(raw, &j)
		state := "Running"
		for _, c := range j.Status.Conditions {
			if c.Status == corev1.ConditionTrue && (c.Type == batchv1.JobComplete || c.Type == batchv1.JobFailed || c.Type == batchv1.JobSuspended) {
				state = string(c.Type)
			}
		}
		n := int32(1)
		if j.Spec.Completions != nil {
			n = *j.Spec.Completions
		} else if j.Spec.Parallelism != nil {
			n = *j.Spec.Parallelism
		}
		return []string{j.Namespace, j.Name, fmt.Sprintf("%d/%d", j.Status.Succeeded, n), fmt.Sprint(j.Status.Active), state, settledCondition(j.Status.Conditions)}
	case "Pod":
		var p corev1.Pod
		json.Unmarshal(raw, &p)
		why := ""
		for _, c := range p.Status.Conditions {
			if c.Type == wellknown.Settled {
				why = c.Message
			}
		}
		if p.Status.Reason != "" && p.Status.Message != "" && wellknown.SettledReason(&p) == wellknown.Placed {
			why = p.Status.Reason + ": " + p.Status.Message
		}
		return []string{p.Namespace, p.Name, string(p.Status.Phase), p.Spec.NodeName, wellknown.SettledReason(&p), why}
	case "Node":
		var n corev1.Node
		json.Unmarshal(raw, &n)
		state := "Ready"
		if !wellknown.NodeReady(&n) {
			state = "NotReady"
		}
		if n.Spec.Unschedulable {
			state += ",Drained"
		}
		return []string{n.Name, state, n.Labels[wellknown.Kind], n.Labels[wellknown.Zone], n.Labels[wellknown.Rack], n.Annotations[wellknown.FreeCapacity]}
	}
	return nil
}

var tableHeaders = map[string][]string{"Job": {"NAMESPACE", "NAME", "SUCCEEDED", "ACTIVE", "STATE", "SETTLED"},
	"Pod": {"NAMESPACE", "NAME", "PHASE", "NODE", "SETTLED", "MESSAGE"}, "Node": {"NAME", "STATE", "KIND", "ZONE", "RACK", "FREE"}}

func clientCommands() []*cobra.Command {
	return []*cobra.Command{getCommand(), watchCommand(), submitCommand(), drainCommand("drain", true), drainCommand("undrain", false)}
}

func getCommand() *cobra.Command {
	var r apiClient
	var ns, labels, output string
	c := &cobra.Command{Use: "get jobs|pods|nodes [NAME]", Short: "Show jobs, tasks or machines", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := collectionPath(args[0], ns)
			if err != nil {
				return err
			}
			q := url.Values{"limit": {"500"}}
			if labels != "" {
				q.Set("labelSelector", labels)
			}
			if len(args) > 1 {
				q.Set("fieldSelector", "metadata.name="+args[1])
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for n := 0; ; {
				var l struct {
					Kind     string            `json:"kind"`
					Metadata metav1.ListMeta   `json:"metadata"`
					Items    []json.RawMessage `json:"items"`
				}
				if err := r.do(c.Context(), "GET", path+"?"+q.Encode(), "", nil, &l); err != nil {
					return err
				}
				kind := strings.TrimSuffix(l.Kind, "List")
				for _, it := range l.Items {
					if output == "json" {
						fmt.Fprintf(c.OutOrStdout(), "%s\n", it)
					} else {
						if n == 0 {
							fmt.Fprintln(w, strings.Join(tableHeaders[kind], "\t"))
						}
						fmt.Fprintln(w, strings.Join(tableRow(kind, it), "\t"))
					}
					n++
				}
				if l.Metadata.Continue == "" {
					if n == 0 && len(args) > 1 {
						return fmt.Errorf("%s %q not found", args[0], args[1])
					}
					return w.Flush()
				}
				q.Set("continue", l.Metadata.Continue)
			}
		}}
	r.register(c)
	c.Flags().StringVarP(&ns, "namespace", "n", "", "namespace; all if none")
	c.Flags().StringVarP(&labels, "selector", "l", "", "label selector")
	c.Flags().StringVarP(&output, "output", "o", "table", "table or json (a line each)")
	return c
}

// watch watches a collection from a revision, "" with what is there now first, and goes on over broken connections. f returns true to
// end it.
func (client *apiClient) watch(ctx context.Context, path string, query url.Values, rev string, handle func(kind string, raw json.RawMessage) bool) error {
	for attempts := 0; ; {
		query.Set("watch", "true")
		query.Set("allowWatchBookmarks", "true")
		query.Set("resourceVersion", rev)
		resp, err := client.open(ctx, "GET", path+"?"+query.Encode(), "", nil)
		if err == nil {
			scanner := bufio.NewScanner(resp.Body)
			scanner.Buffer(nil, 8<<20)
			for scanner.Scan() {
				var event struct {
					Type   string          `json:"type"`
					Object json.RawMessage `json:"object"`
				}
				var object metav1.PartialObjectMetadata
				if json.Unmarshal(scanner.Bytes(), &event) != nil || json.Unmarshal(event.Object, &object) != nil {
					break
				}
				if event.Type == "ERROR" {
					var status metav1.Status
					json.Unmarshal(event.Object, &status)
					resp.Body.Close()
					if status.Code == 410 {
						rev = ""
						break
					}
					return errors.New(status.Message)
				}
				attempts, rev = 0, object.ResourceVersion
				if event.Type != "BOOKMARK" && handle(event.Type, event.Object) {
					resp.Body.Close()
					return nil
				}
			}
			resp.Body.Close()
		}
		if ctx.Err() != nil {
			return nil
		}
		if attempts++; attempts > 20 {
			return fmt.Errorf("watch does not come about: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration(min(attempts, 10)) * 200 * time.Millisecond):
		}
	}
}

func watchCommand() *cobra.Command {
	var r apiClient
	var ns, labels, output string
	c := &cobra.Command{Use: "watch jobs|pods|nodes", Short: "Show changes as they come, over broken connections", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := collectionPath(args[0], ns)
			if err != nil {
				return err
			}
			q := url.Values{}
			if labels != "" {
				q.Set("labelSelector", labels)
			}
			ctx, cancel := signal.NotifyContext(c.Context(), os.Interrupt)
			defer cancel()
			return r.watch(ctx, path, q, "", func(kind string, raw json.RawMessage) bool {
				if output == "json" {
					fmt.Fprintf(c.OutOrStdout(), `{"type":%q,"object":%s}`+"\n", kind, raw)
					return false
				}
				var tm metav1.TypeMeta
				json.Unmarshal(raw, &tm)
				fmt.Fprintf(c.OutOrStdout(), "%-8s  %s\n", kind, strings.Join(tableRow(tm.Kind, raw), "  "))
				return false
			})
		}}
	r.register(c)
	c.Flags().StringVarP(&ns, "namespace", "n", "", "namespace; all if none")
	c.Flags().StringVarP(&labels, "selector", "l", "", "label selector")
	c.Flags().StringVarP(&output, "output", "o", "table", "table or json (a line each)")
	return c
}

func submitCommand() *cobra.Command {
	var r apiClient
	var ns, file, name, class, service, cpu, memory string
	var tasks int
	var life float64
	var wait bool
	c := &cobra.Command{Use: "submit [-f FILE]", Short: "Submit a job from a file or from flags; with --wait see it settle", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			var body []byte
			var err error
			switch {
			case file == "-":
				body, err = io.ReadAll(io.LimitReader(os.Stdin, 64<<20))
			case file != "":
				body, err = os.ReadFile(file)
			default:
				body, err = json.Marshal(jobFromFlags(name, class, service, cpu, memory, tasks, life))
			}
			if err != nil {
				return err
			}
			var j batchv1.Job
			path, _ := collectionPath("jobs", ns)
			if err := r.do(c.Context(), "POST", path+"?fieldValidation=Strict", "application/json", body, &j); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "job %s/%s created\n", j.Namespace, j.Name)
			if !wait {
				return nil
			}
			ctx, cancel := signal.NotifyContext(c.Context(), os.Interrupt)
			defer cancel()
			outcome := ""
			err = r.watch(ctx, path, url.Values{"fieldSelector": {"metadata.name=" + j.Name}}, "", func(kind string, raw json.RawMessage) bool {
				var o batchv1.Job
				json.Unmarshal(raw, &o)
				if o.UID != j.UID {
					return false
				}
				outcome = settledCondition(o.Status.Conditions)
				return outcome != "" || kind == "DELETED"
			})
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), outcome)
			if !strings.HasPrefix(outcome, wellknown.Placed) {
				return &exitError{2, fmt.Errorf("job %s was not placed", j.Name)}
			}
			return nil
		}}
	r.register(c)
	f := c.Flags()
	f.StringVarP(&file, "file", "f", "", "file with a Job as JSON; - is standard input")
	f.StringVarP(&ns, "namespace", "n", "default", "namespace")
	f.StringVar(&name, "name", "", "name; one is made up if none")
	f.StringVar(&class, "class", "", "class of the tasks")
	f.StringVar(&service, "service", "", "service that the tasks belong to")
	f.StringVar(&cpu, "cpu", "500m", "cores of a task")
	f.StringVar(&memory, "memory", "512Mi", "memory of a task")
	f.IntVar(&tasks, "tasks", 1, "number of tasks")
	f.Float64Var(&life, "lifetime", 0, "seconds that stand-in machines let each task run")
	f.BoolVar(&wait, "wait", false, "wait until the job has settled; exit code 2 if it was not placed")
	return c
}

// jobFromFlags is the Job that flags describe.
func jobFromFlags(name, class, service, cpu, memory string, tasks int, life float64) map[string]any {
	labels, annotations := map[string]string{}, map[string]string{}
	if class != "" {
		labels[wellknown.Class] = class
	}
	if service != "" {
		labels[wellknown.Service] = service
	}
	if life > 0 {
		annotations[wellknown.Lifetime] = fmt.Sprint(life)
	}
	md := map[string]any{"name": name}
	if name == "" {
		md = map[string]any{"generateName": "job-"}
	}
	return map[string]any{"apiVersion": "batch/v1", "kind": "Job", "metadata": md, "spec": map[string]any{"parallelism": tasks, "completions": tasks,
		"template": map[string]any{"metadata": map[string]any{"labels": labels, "annotations": annotations}, "spec": map[string]any{"restartPolicy": "Never",
			"containers": []any{map[string]any{"name": "main", "image": "stand-in",
				"resources": map[string]any{"requests": map[string]string{"cpu": cpu, "memory": memory}}}}}}}}
}

func drainCommand(use string, on bool) *cobra.Command {
	var r apiClient
	var evict bool
	short := "Order that nothing new goes to a machine"
	if !on {
		short = "Take a drain order back"
	}
	c := &cobra.Command{Use: use + " NODE", Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var n corev1.Node
		body := fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, on)
		if err := r.do(c.Context(), "PATCH", "/api/v1/nodes/"+url.PathEscape(args[0]), "application/merge-patch+json", body, &n); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "node %s: unschedulable=%v\n", n.Name, n.Spec.Unschedulable)
		if !on || !evict {
			return nil
		}
		var l corev1.PodList
		if err := r.do(c.Context(), "GET", "/api/v1/pods?fieldSelector="+url.QueryEscape("spec.nodeName="+n.Name), "", nil, &l); err != nil {
			return err
		}
		count := 0
		for i := range l.Items {
			p := &l.Items[i]
			if wellknown.Finished(p) {
				continue
			}
			b, err := json.Marshal(&policyv1.Eviction{TypeMeta: metav1.TypeMeta{Kind: "Eviction", APIVersion: "policy/v1"},
				ObjectMeta: metav1.ObjectMeta{Name: p.Name, Namespace: p.Namespace}})
			if err != nil {
				return err
			}
			var st metav1.Status
			if err := r.do(c.Context(), "POST", "/api/v1/namespaces/"+url.PathEscape(p.Namespace)+"/pods/"+url.PathEscape(p.Name)+"/eviction",
				"application/json", b, &st); err != nil {
				return fmt.Errorf("evict %s: %w", p.Name, err)
			}
			count++
		}
		fmt.Fprintf(c.OutOrStdout(), "%d tasks told to move\n", count)
		return nil
	}}
	r.register(c)
	if on {
		c.Flags().BoolVar(&evict, "evict", false, "also move the tasks that run there")
	}
	return c
}
