package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/apiclient"
)

// pageLimit is the largest number of objects requested in one page of a list.
const pageLimit = 500

// selectionFlags are the flags of the commands get and watch. They select objects and the form in which they are printed.
type selectionFlags struct {
	server                    apiServer
	namespace, labels, output string
}

func (f *selectionFlags) register(command *cobra.Command) {
	f.server.register(command)
	flags := command.Flags()
	flags.StringVarP(&f.namespace, "namespace", "n", "", "namespace; all if none")
	flags.StringVarP(&f.labels, "selector", "l", "", "label selector")
	flags.StringVarP(&f.output, "output", "o", "table", "table or json (a line each)")
}

// query returns the query parameters that select the objects.
func (f *selectionFlags) query() url.Values {
	query := url.Values{}
	if f.labels != "" {
		query.Set("labelSelector", f.labels)
	}
	return query
}

func getCommand() *cobra.Command {
	var flags selectionFlags
	command := &cobra.Command{
		Use:   "get jobs|pods|nodes [NAME]",
		Short: "Show jobs, tasks or nodes",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			path, err := collectionPath(args[0], flags.namespace)
			if err != nil {
				return err
			}
			query := flags.query()
			if len(args) > 1 {
				query.Set("fieldSelector", "metadata.name="+args[1])
			}
			objects, err := flags.list(command.Context(), command.OutOrStdout(), path, query)
			if err != nil {
				return err
			}
			if objects == 0 && len(args) > 1 {
				return fmt.Errorf("%s %q not found", args[0], args[1])
			}
			return nil
		},
	}
	flags.register(command)
	return command
}

// list prints the objects of a collection, page by page, and returns how many there were.
func (f *selectionFlags) list(ctx context.Context, w io.Writer, path string, query url.Values) (objects int, err error) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for page, err := range f.server.client().ListPages(ctx, path, query, pageLimit) {
		if err != nil {
			return objects, err
		}
		kind := strings.TrimSuffix(page.Kind, "List")
		for _, item := range page.Items {
			if f.output == "json" {
				printf(w, "%s\n", item)
			} else {
				if objects == 0 {
					printf(table, "%s\n", strings.Join(tableHeaders[kind], "\t"))
				}
				printf(table, "%s\n", strings.Join(tableRow(kind, item), "\t"))
			}
			objects++
		}
	}
	return objects, table.Flush()
}

func watchCommand() *cobra.Command {
	var flags selectionFlags
	command := &cobra.Command{
		Use:   "watch jobs|pods|nodes",
		Short: "Show changes as they come, over broken connections",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path, err := collectionPath(args[0], flags.namespace)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(command.Context(), os.Interrupt)
			defer cancel()
			return flags.server.watch(ctx, path, flags.query(), func(event apiclient.Event) error {
				flags.printEvent(command.OutOrStdout(), event)
				return nil
			})
		},
	}
	flags.register(command)
	return command
}

// printEvent prints an event of a watch as one line.
func (f *selectionFlags) printEvent(w io.Writer, event apiclient.Event) {
	if f.output == "json" {
		printf(w, `{"type":%q,"object":%s}`+"\n", event.Type, event.Object)
		return
	}
	kind := decodeObject[metav1.TypeMeta](event.Object).Kind
	printf(w, "%-8s  %s\n", event.Type, strings.Join(tableRow(kind, event.Object), "  "))
}
