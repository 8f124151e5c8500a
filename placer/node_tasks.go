package placer

import "slices"

// nodeTasks are the own tasks and attempts on one node.
type nodeTasks struct {
	unanswered     int               // attempts without an answer
	byService      map[ServiceID]int // tasks that run or are attempted
	bound          []*attempt        // those that run
	cachedPrograms []ServiceID       // services whose last own task has ended, the most recent last
}

func newNodeTasks() nodeTasks { return nodeTasks{byService: map[ServiceID]int{}} }

// inUse reports whether there are own tasks or attempts on the node.
func (n *nodeTasks) inUse() bool {
	return n.unanswered > 0 || len(n.bound) > 0 || len(n.byService) > 0
}

// hasProgram reports whether the program of a service is likely to be on the node: an own task of it runs
// there, is attempted, or has run last.
func (n *nodeTasks) hasProgram(service ServiceID) bool {
	return n.byService[service] > 0 || slices.Contains(n.cachedPrograms, service)
}

// attemptSent adds an attempt without an answer.
func (n *nodeTasks) attemptSent(sent *attempt) {
	n.unanswered++
	n.byService[sent.request.Service]++
}

// attemptBound records that the node accepted an attempt.
func (n *nodeTasks) attemptBound(accepted *attempt) {
	n.unanswered--
	n.addBound(accepted)
}

// adopted adds a task that was found running.
func (n *nodeTasks) adopted(found *attempt) {
	n.addBound(found)
	n.byService[found.request.Service]++
}

// attemptFailed removes an attempt that ended before it was bound.
func (n *nodeTasks) attemptFailed(failed *attempt) {
	n.removeFromService(failed.request.Service)
	n.unanswered--
}

// taskEnded removes a bound task. Its program is assumed to stay on the node for a while after the service's
// last own task.
func (n *nodeTasks) taskEnded(ended *attempt) {
	service := ended.request.Service
	n.removeFromService(service)
	n.removeBound(ended)
	if n.byService[service] == 0 {
		n.cacheProgram(service)
	}
}

func (n *nodeTasks) dropCachedPrograms() { n.cachedPrograms = n.cachedPrograms[:0] }

func (n *nodeTasks) removeFromService(service ServiceID) {
	n.byService[service]--
	if n.byService[service] <= 0 {
		delete(n.byService, service)
	}
}

func (n *nodeTasks) addBound(bound *attempt) {
	bound.boundIndex = len(n.bound)
	n.bound = append(n.bound, bound)
}

// removeBound removes an attempt from those bound to the node. The last one in the slice moves to its index.
func (n *nodeTasks) removeBound(bound *attempt) {
	last := n.bound[len(n.bound)-1]
	n.bound[bound.boundIndex] = last
	last.boundIndex = bound.boundIndex
	n.bound = n.bound[:len(n.bound)-1]
}

// cacheProgram records a program as the most recent cached one. If there are more than maxCachedPrograms, the
// oldest is removed.
func (n *nodeTasks) cacheProgram(service ServiceID) {
	if i := slices.Index(n.cachedPrograms, service); i >= 0 {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
	}
	n.cachedPrograms = append(n.cachedPrograms, service)
	if len(n.cachedPrograms) > maxCachedPrograms {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, 0, 1)
	}
}
