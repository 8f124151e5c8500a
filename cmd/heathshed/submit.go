package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"
	batchv1 "k8s.io/api/batch/v1"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/apiclient"
	"heathshed/internal/kube/wellknown"
)

// maxJobBytes bounds a job that is read from standard input.
const maxJobBytes = 64 << 20

// submitFlags are the flags of the command submit: a file with a job, or the properties of a job.
type submitFlags struct {
	server    apiServer
	namespace string
	file      string
	name      string
	class     string
	service   string
	cpu       string
	memory    string
	tasks     int
	lifetime  time.Duration // 0 leaves it to the nodes
	wait      bool
}

func submitCommand() *cobra.Command {
	var flags submitFlags
	command := &cobra.Command{
		Use:   "submit [-f FILE]",
		Short: "Submit a job from a file or from flags; with --wait see it settle",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return submit(command, &flags) },
	}
	flags.register(command)
	return command
}

func (f *submitFlags) register(command *cobra.Command) {
	f.server.register(command)
	flags := command.Flags()
	flags.StringVarP(&f.file, "file", "f", "", "file with a Job as JSON; - is standard input")
	flags.StringVarP(&f.namespace, "namespace", "n", "default", "namespace")
	flags.StringVar(&f.name, "name", "", "name; one is generated if none")
	flags.StringVar(&f.class, "class", "", "class of the tasks")
	flags.StringVar(&f.service, "service", "", "service that the tasks belong to")
	flags.StringVar(&f.cpu, "cpu", "500m", "cores of a task")
	flags.StringVar(&f.memory, "memory", "512Mi", "memory of a task")
	flags.IntVar(&f.tasks, "tasks", 1, "number of tasks")
	flags.Var(newSecondsValue(&f.lifetime, 0), "lifetime", "seconds that emulated nodes let each task run")
	flags.BoolVar(&f.wait, "wait", false, "wait until the job has settled; exit status 2 if it was not placed")
}

// submit creates the job and, with --wait, waits until it has settled.
func submit(command *cobra.Command, flags *submitFlags) error {
	body, err := flags.job()
	if err != nil {
		return err
	}
	path, err := collectionPath("jobs", flags.namespace)
	if err != nil {
		return err
	}
	var job batchv1.Job
	if err := flags.server.client().Create(command.Context(), path+"?fieldValidation=Strict", body, &job); err != nil {
		return err
	}
	printf(command.OutOrStdout(), "job %s/%s created\n", job.Namespace, job.Name)
	if !flags.wait {
		return nil
	}
	ctx, cancel := signal.NotifyContext(command.Context(), os.Interrupt)
	defer cancel()
	outcome, err := flags.awaitOutcome(ctx, path, &job)
	if err != nil {
		return err
	}
	printf(command.OutOrStdout(), "%s\n", outcome)
	if !strings.HasPrefix(outcome, wellknown.Placed) {
		return &exitError{exitNotPlaced, fmt.Errorf("job %s was not placed", job.Name)}
	}
	return nil
}

// job returns the job to submit as JSON.
func (f *submitFlags) job() ([]byte, error) {
	switch f.file {
	case "":
		return json.Marshal(f.jobFromFlags())
	case "-":
		return io.ReadAll(io.LimitReader(os.Stdin, maxJobBytes))
	default:
		return os.ReadFile(f.file)
	}
}

// awaitOutcome waits until a job has settled or is deleted and returns the outcome of its placement, "" if there is none.
func (f *submitFlags) awaitOutcome(ctx context.Context, path string, job *batchv1.Job) (string, error) {
	outcome := ""
	query := url.Values{"fieldSelector": {"metadata.name=" + job.Name}}
	err := f.server.watch(ctx, path, query, func(event apiclient.Event) error {
		current := decodeObject[batchv1.Job](event.Object)
		if current.UID != job.UID {
			return nil
		}
		outcome = settledCondition(current.Status.Conditions)
		if outcome != "" || event.Type == watch.Deleted {
			return apiclient.ErrStopWatch
		}
		return nil
	})
	return outcome, err
}

// The parts of a Job that the flags describe. The API's own types would add empty fields.
type (
	submittedJob struct {
		APIVersion string            `json:"apiVersion"`
		Kind       string            `json:"kind"`
		Metadata   submittedMetadata `json:"metadata"`
		Spec       submittedSpec     `json:"spec"`
	}
	submittedMetadata struct {
		GenerateName string `json:"generateName,omitempty"`
		Name         string `json:"name,omitempty"`
	}
	submittedSpec struct {
		Completions int               `json:"completions"`
		Parallelism int               `json:"parallelism"`
		Template    submittedTemplate `json:"template"`
	}
	submittedTemplate struct {
		Metadata submittedPodMetadata `json:"metadata"`
		Spec     submittedPodSpec     `json:"spec"`
	}
	submittedPodMetadata struct {
		Annotations map[string]string `json:"annotations"`
		Labels      map[string]string `json:"labels"`
	}
	submittedPodSpec struct {
		Containers    []submittedContainer `json:"containers"`
		RestartPolicy string               `json:"restartPolicy"`
	}
	submittedContainer struct {
		Image     string             `json:"image"`
		Name      string             `json:"name"`
		Resources submittedResources `json:"resources"`
	}
	submittedResources struct {
		Requests map[string]string `json:"requests"`
	}
)

// jobFromFlags returns the job that the flags describe.
func (f *submitFlags) jobFromFlags() submittedJob {
	job := submittedJob{APIVersion: "batch/v1", Kind: "Job"}
	job.Metadata.Name = f.name
	if f.name == "" {
		job.Metadata.GenerateName = "job-"
	}
	job.Spec.Parallelism = f.tasks
	job.Spec.Completions = f.tasks
	pod := &job.Spec.Template
	pod.Metadata.Labels = map[string]string{}
	if f.class != "" {
		pod.Metadata.Labels[wellknown.Class] = f.class
	}
	if f.service != "" {
		pod.Metadata.Labels[wellknown.Service] = f.service
	}
	pod.Metadata.Annotations = map[string]string{}
	if f.lifetime > 0 {
		pod.Metadata.Annotations[wellknown.Lifetime] = formatSeconds(f.lifetime)
	}
	pod.Spec.RestartPolicy = "Never"
	pod.Spec.Containers = []submittedContainer{{
		Name:      "main",
		Image:     "stand-in",
		Resources: submittedResources{Requests: map[string]string{"cpu": f.cpu, "memory": f.memory}},
	}}
	return job
}
