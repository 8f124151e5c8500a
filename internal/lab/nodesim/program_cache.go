package nodesim

import "slices"

// programCache holds the programs that a node can start without loading them: those of running tasks, and the most recently used others.
// Only taskStarted and taskEnded change it.
type programCache struct {
	size    int            // programs kept in addition to those that run
	running map[string]int // running tasks by service
	recent  []string       // services, least recently used first
}

// has reports whether the program of a service runs or is cached.
func (c *programCache) has(service string) bool {
	return c.running[service] > 0 || slices.Contains(c.recent, service)
}

// taskStarted records the start of a task.
func (c *programCache) taskStarted(service string) { c.running[service]++ }

// taskEnded records the end of a running task. Its program becomes the most recently used one, and the least recently used one is evicted if
// there are too many.
func (c *programCache) taskEnded(service string) {
	c.running[service]--
	if c.running[service] <= 0 {
		delete(c.running, service)
	}
	if i := slices.Index(c.recent, service); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	c.recent = append(c.recent, service)
	if len(c.recent) > c.size {
		c.recent = c.recent[1:]
	}
}
