package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"
	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
)

func drainCommand() *cobra.Command {
	var client apiClient
	var evict bool
	c := &cobra.Command{
		Use:   "drain NODE",
		Short: "Drain a node: place nothing more on it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			node, err := client.setUnschedulable(c, args[0], true)
			if err != nil || !evict {
				return err
			}
			evicted, err := client.evictAll(c.Context(), node)
			if err != nil {
				return err
			}
			printf(c.OutOrStdout(), "%d tasks told to move\n", evicted)
			return nil
		},
	}
	client.register(c)
	c.Flags().BoolVar(&evict, "evict", false, "also move the tasks that run there")
	return c
}

func undrainCommand() *cobra.Command {
	var client apiClient
	c := &cobra.Command{
		Use:   "undrain NODE",
		Short: "Cancel the drain of a node",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, err := client.setUnschedulable(c, args[0], false)
			return err
		},
	}
	client.register(c)
	return c
}

// setUnschedulable drains a node or cancels its drain, and prints its new state. It returns the node's name as the server has it.
func (a *apiClient) setUnschedulable(c *cobra.Command, name string, unschedulable bool) (string, error) {
	var node corev1.Node
	patch := fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, unschedulable)
	if err := a.do(c.Context(), http.MethodPatch, "/api/v1/nodes/"+url.PathEscape(name), "application/merge-patch+json", patch, &node); err != nil {
		return "", err
	}
	printf(c.OutOrStdout(), "node %s: unschedulable=%v\n", node.Name, node.Spec.Unschedulable)
	return node.Name, nil
}

// evictAll evicts the unfinished Pods of a node and returns how many there were.
func (a *apiClient) evictAll(ctx context.Context, nodeName string) (evicted int, err error) {
	var pods corev1.PodList
	query := "fieldSelector=" + url.QueryEscape("spec.nodeName="+nodeName)
	if err := a.do(ctx, http.MethodGet, "/api/v1/pods?"+query, "", nil, &pods); err != nil {
		return 0, err
	}
	for i := range pods.Items {
		pod := &pods.Items[i]
		if wellknown.Finished(pod) {
			continue
		}
		if err := a.evict(ctx, pod); err != nil {
			return evicted, fmt.Errorf("evict %s: %w", pod.Name, err)
		}
		evicted++
	}
	return evicted, nil
}

func (a *apiClient) evict(ctx context.Context, pod *corev1.Pod) error {
	eviction, err := json.Marshal(&policyv1.Eviction{
		TypeMeta:   metav1.TypeMeta{Kind: "Eviction", APIVersion: "policy/v1"},
		ObjectMeta: metav1.ObjectMeta{Name: pod.Name, Namespace: pod.Namespace},
	})
	if err != nil {
		return err
	}
	path := "/api/v1/namespaces/" + url.PathEscape(pod.Namespace) + "/pods/" + url.PathEscape(pod.Name) + "/eviction"
	var status metav1.Status
	return a.do(ctx, http.MethodPost, path, "application/json", eviction, &status)
}
