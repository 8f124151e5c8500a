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
	maxWatchAttempts = 20 // consecutive connections without an event
	watchRetryStep   = 200 * time.Millisecond
	watchRetryMax    = 2 * time.Second
)

// apiServer is the server whose API a client command (get, watch, submit, drain, undrain) calls. The flag --server sets its address.
type apiServer struct{ address string }

// register adds the flag --server to a command.
func (s *apiServer) register(command *cobra.Command) {
	address := os.Getenv("HEATHSHED_SERVER")
	if address == "" {
		address = "http://127.0.0.1:8480"
	}
	command.PersistentFlags().StringVarP(&s.address, "server", "s", address, "address of the API (or HEATHSHED_SERVER)")
}

func (s *apiServer) client() *apiclient.Client { return apiclient.New(s.address, http.DefaultClient) }

// watch watches a collection, beginning with the objects that exist. It reconnects after broken connections, until handle ends the watch or the
// context is done.
func (s *apiServer) watch(ctx context.Context, path string, query url.Values, handle apiclient.EventHandler) error {
	return s.client().Watch(ctx, apiclient.WatchOptions{
		Path:           path,
		Query:          query,
		MaxRetries:     maxWatchAttempts,
		RetryDelayStep: watchRetryStep,
		MaxRetryDelay:  watchRetryMax,
	}, handle)
}

// collectionPath returns the API path of a resource, which may be given by any of its names. An empty namespace selects all namespaces.
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
