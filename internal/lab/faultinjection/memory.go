//go:build linux

package faultinjection

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"heathshed/internal/lab/simulation"
)

const (
	memoryInterval   = time.Second
	minMemorySamples = 8 // for the medians of quarters
)

// sampleMemory samples the schedulers' memory until the context is done, and then records the medians of two quarters of the run.
func (r *runner) sampleMemory(ctx context.Context) {
	var totals []int
	for ctx.Err() == nil {
		totals = append(totals, r.schedulersMemory())
		_ = sleep(ctx, memoryInterval) // the loop checks the context
	}
	count := len(totals)
	if count < minMemorySamples {
		return
	}
	r.observer.update(func(f *Figures) {
		f.Hostile.MemoryEarly = median(totals[count/4 : count/2])
		f.Hostile.MemoryLate = median(totals[count-count/4:])
	})
}

// median returns the middle value, the higher one of two.
func median(values []int) int {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// schedulersMemory returns the sum of the resident memory of all schedulers in MiB, and updates the peak of a single one.
func (r *runner) schedulersMemory() int {
	total, highest := 0, 0
	for i := range r.options.Script.Schedulers {
		process := r.processes.get(simulation.SchedulerName(i))
		if process == nil {
			continue
		}
		memory := residentMiB(process.cmd.Process.Pid)
		total += memory
		highest = max(highest, memory)
	}
	r.observer.update(func(f *Figures) { f.Hostile.MemoryPeak = max(f.Hostile.MemoryPeak, highest) })
	return total
}

// residentMiB returns the resident memory of a process in MiB (VmRSS of proc_pid_status(5)), 0 if the process has ended.
func residentMiB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	value, _, _ := strings.Cut(after, "kB")
	kibibytes, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0 // a process that has ended but was not waited for has no VmRSS
	}
	return kibibytes >> 10
}
