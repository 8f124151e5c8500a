package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"heathshed/placer"
)

// service is a source of jobs of one class, size and lifetime, for one tenant and one scheduler.
type service struct {
	name, class, tenant string
	scheduler           int
	cores, memory       float64
	lifetime            placer.Seconds
}

// addLoad draws services and their jobs, and the jobs that flushes delete and submit again.
func (p *planner) addLoad() {
	services := p.drawServices()
	if p.script.Load.TasksPerSecond <= 0 {
		return
	}
	jobs := p.drawJobs(services)
	jobCount := len(jobs)
	for i := range p.script.Faults {
		if spec := &p.script.Faults[i]; spec.Kind == flush {
			jobCount = p.flushServices(spec, services, jobs, jobCount)
		}
	}
	p.actions = append(p.actions, jobs...)
}

func (p *planner) drawServices() []service {
	load := &p.script.Load
	var services []service
	for i := range load.Services {
		size := math.Exp2(float64(p.rng.IntN(4)) - 1.5)
		class := drawWeighted(p.rng, load.Classes, "")
		tenant := drawWeighted(p.rng, load.Tenants, defaultTenant)
		services = append(services, service{
			name:      fmt.Sprintf("service-%03d", i+1),
			class:     class,
			tenant:    tenant,
			scheduler: i % p.script.Schedulers,
			cores:     roundSize(load.Cores * size),
			memory:    roundSize(load.Memory * size),
			lifetime:  placer.Seconds(load.Lifetime * (0.5 + p.rng.Float64())),
		})
	}
	return services
}

// roundSize rounds a quantity of a resource to a multiple of 0.05, at least 0.05.
func roundSize(size float64) float64 { return max(0.05, math.Round(size*20)/20) }

// drawWeighted draws a key with a probability proportional to its weight. It returns the fallback if there are no weights.
func drawWeighted(rng *rand.Rand, weights map[string]float64, fallback string) string {
	total := 0.0
	names := slices.Sorted(maps.Keys(weights))
	for _, name := range names {
		total += weights[name]
	}
	rest := rng.Float64() * total
	for _, name := range names {
		if rest -= weights[name]; rest < 0 {
			return name
		}
	}
	return fallback
}

// drawJobs draws jobs as a Poisson process whose rate follows the script, by thinning: candidates are drawn at the highest rate and kept with a
// probability proportional to the rate at their time.
func (p *planner) drawJobs(services []service) []Action {
	load := &p.script.Load
	peakFactor := p.peakLoadFactor()
	var jobs []Action
	for at := 0.0; ; {
		at += p.rng.ExpFloat64() * load.TasksPerJob / (load.TasksPerSecond * peakFactor)
		if at >= p.script.Seconds-p.script.Cooldown {
			return jobs
		}
		service := &services[p.rng.IntN(len(services))]
		keep := p.rng.Float64()*peakFactor < p.loadFactor(at, service.tenant)
		tasks := 1 + int(p.rng.ExpFloat64()*(load.TasksPerJob-1)+0.5)
		if !keep {
			continue
		}
		jobs = append(jobs, Action{At: placer.Seconds(at), Kind: SubmitJob, Job: &Job{
			Name:         jobName(len(jobs) + 1),
			Namespace:    service.tenant,
			Class:        service.class,
			Service:      service.name,
			Scheduler:    service.scheduler,
			Tasks:        tasks,
			Cores:        service.cores,
			Memory:       service.memory,
			Lifetime:     service.lifetime,
			BackoffLimit: load.BackoffLimit,
		}})
	}
}

func jobName(number int) string { return fmt.Sprintf("job-%05d", number) }

// loadFactor returns the load of a tenant at a time, as a multiple of the load without faults.
func (p *planner) loadFactor(at float64, tenant string) float64 {
	factor := 1.0
	for i := range p.script.Faults {
		spec := &p.script.Faults[i]
		if spec.active(at) && spec.isBurstOf(tenant) {
			factor *= max(spec.Scale, 0)
		}
	}
	return factor
}

// isBurstOf reports whether the fault changes the load of a tenant.
func (fault *Fault) isBurstOf(tenant string) bool {
	return fault.Kind == burst || fault.Kind == tenantBurst && (fault.Name == tenant || fault.Name == "")
}

// peakLoadFactor returns an upper bound of loadFactor over all times and tenants.
func (p *planner) peakLoadFactor() float64 {
	factor := 1.0
	for i := range p.script.Faults {
		if spec := &p.script.Faults[i]; spec.Kind == burst || spec.Kind == tenantBurst {
			factor *= max(spec.Scale, 1)
		}
	}
	return factor
}

// flushServices deletes the recent jobs of a fraction of the services and submits them again, under names that follow jobCount. It returns
// the new count of jobs.
func (p *planner) flushServices(spec *Fault, services []service, jobs []Action, jobCount int) int {
	flushAt := placer.Seconds(spec.At)
	flushed := map[string]bool{}
	for i := range services {
		flushed[services[i].name] = p.rng.Float64() < spec.Fraction
	}
	for _, action := range jobs {
		recent := action.At <= flushAt && action.At >= flushAt-2*action.Job.Lifetime
		if !recent || !flushed[action.Job.Service] {
			continue
		}
		p.add(Action{At: flushAt, Kind: DeleteJob, Job: action.Job})
		jobCount++
		again := *action.Job
		again.Name = jobName(jobCount)
		p.add(Action{At: flushAt + 0.2 + placer.Seconds(spec.Duration*p.rng.Float64()), Kind: SubmitJob, Job: &again})
	}
	return jobCount
}
