package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/spf13/cobra"
	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/apiclient"
	"heathshed/internal/kube/wellknown"
)

func drainCommand() *cobra.Command {
	var server apiServer
	var evict bool
	command := &cobra.Command{
		Use:   "drain NODE",
		Short: "Drain a node: place nothing more on it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			node, err := setUnschedulable(command, server.client(), args[0], true)
			if err != nil || !evict {
				return err
			}
			evicted, err := evictAll(command.Context(), server.client(), node)
			if err != nil {
				return err
			}
			printf(command.OutOrStdout(), "%d tasks evicted\n", evicted)
			return nil
		},
	}
	server.register(command)
	command.Flags().BoolVar(&evict, "evict", false, "also evict the tasks that run there")
	return command
}

func undrainCommand() *cobra.Command {
	var server apiServer
	command := &cobra.Command{
		Use:   "undrain NODE",
		Short: "Cancel the drain of a node",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			_, err := setUnschedulable(command, server.client(), args[0], false)
			return err
		},
	}
	server.register(command)
	return command
}

// setUnschedulable drains a node or cancels its drain, and prints its new state. It returns the node's name as the server has it.
func setUnschedulable(command *cobra.Command, client *apiclient.Client, name string, unschedulable bool) (string, error) {
	var node corev1.Node
	if err := client.SetUnschedulable(command.Context(), name, unschedulable, &node); err != nil {
		return "", err
	}
	printf(command.OutOrStdout(), "node %s: unschedulable=%v\n", node.Name, node.Spec.Unschedulable)
	return node.Name, nil
}

// evictAll evicts the unfinished Pods of a node and returns how many there were.
func evictAll(ctx context.Context, client *apiclient.Client, nodeName string) (evicted int, err error) {
	var pods corev1.PodList
	query := url.Values{"fieldSelector": {"spec.nodeName=" + nodeName}}
	if err := client.Get(ctx, apiclient.PodsPath("")+"?"+query.Encode(), &pods); err != nil {
		return 0, err
	}
	for i := range pods.Items {
		pod := &pods.Items[i]
		if wellknown.PodFinished(pod) {
			continue
		}
		if err := evict(ctx, client, pod); err != nil {
			return evicted, fmt.Errorf("evict %s: %w", pod.Name, err)
		}
		evicted++
	}
	return evicted, nil
}

func evict(ctx context.Context, client *apiclient.Client, pod *corev1.Pod) error {
	eviction, err := json.Marshal(&policyv1.Eviction{
		TypeMeta:   metav1.TypeMeta{Kind: "Eviction", APIVersion: "policy/v1"},
		ObjectMeta: metav1.ObjectMeta{Name: pod.Name, Namespace: pod.Namespace},
	})
	if err != nil {
		return err
	}
	var status metav1.Status
	return client.Create(ctx, apiclient.EvictionPath(pod.Namespace, pod.Name), eviction, &status)
}
