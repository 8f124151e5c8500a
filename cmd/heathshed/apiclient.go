package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/kube/apiclient"
)

const (
	maxWatchAttempts = 20 // in a row without an event
	watchRetryStep   = 200 * time.Millisecond
	watchRetryMax    = 2 * time.Second
)

// apiServer is the API as the operators' commands use it: the server is given by a flag.
type apiServer struct{ address string }

func (s *apiServer) register(command *cobra.Command) {
	address := os.Getenv("HEATHSHED_SERVER")
	if address == "" {
		address = "http://127.0.0.1:8480"
	}
	command.PersistentFlags().StringVarP(&s.address, "server", "s", address, "address of the API (or HEATHSHED_SERVER)")
}

func (s *apiServer) client() *apiclient.Client { return apiclient.New(s.address, http.DefaultClient) }

// watch watches a collection, with the objects that exist first, and continues over broken connections until handle ends it or the context
// is done.
func (s *apiServer) watch(ctx context.Context, path string, query url.Values, handle apiclient.EventHandler) error {
	return s.client().Watch(ctx, apiclient.WatchOptions{
		Path:        path,
		Query:       query,
		MaxAttempts: maxWatchAttempts,
		RetryStep:   watchRetryStep,
		RetryMax:    watchRetryMax,
	}, handle)
}

// collectionPath is the path of a resource by one of its names. An empty namespace stands for all.
func collectionPath(resource, namespace string) (string, error) {
	switch resource {
	case "jobs", "job":
		return apiclient.JobsPath(namespace), nil
	case "pods", "pod", "tasks", "task":
		return apiclient.PodsPath(namespace), nil
	case "nodes", "node", "machines", "machine":
		return apiclient.NodesPath, nil
	}
	return "", fmt.Errorf("%q: want jobs, pods (tasks) or nodes", resource)
}
