package placer

import "slices"

// nodeTasks holds the tasks and attempts of this scheduler on one node.
type nodeTasks struct {
	unanswered     int               // number of attempts without an answer
	byService      map[ServiceID]int // number of running tasks and unanswered attempts by service
	bound          []*attempt        // attempts whose tasks run on the node
	cachedPrograms []ServiceID       // services whose program is probably cached, the most recent last
}

func newNodeTasks() nodeTasks { return nodeTasks{byService: map[ServiceID]int{}} }

// inUse reports whether this scheduler has tasks or attempts on the node.
func (n *nodeTasks) inUse() bool {
	return n.unanswered > 0 || len(n.bound) > 0 || len(n.byService) > 0
}

// hasProgram reports whether the node probably has the program of a service: a task of the service runs or is
// attempted on the node, or ran there recently. Only the tasks of this scheduler are known.
func (n *nodeTasks) hasProgram(service ServiceID) bool {
	return n.byService[service] > 0 || slices.Contains(n.cachedPrograms, service)
}

// attemptSent adds an unanswered attempt.
func (n *nodeTasks) attemptSent(sent *attempt) {
	n.unanswered++
	n.byService[sent.request.Service]++
}

// attemptBound records that the node accepted an attempt.
func (n *nodeTasks) attemptBound(accepted *attempt) {
	n.unanswered--
	n.addBound(accepted)
}

// addAdopted adds a task that was found running on the node.
func (n *nodeTasks) addAdopted(found *attempt) {
	n.addBound(found)
	n.byService[found.request.Service]++
}

// attemptFailed removes an attempt that ended before the node accepted it.
func (n *nodeTasks) attemptFailed(failed *attempt) {
	n.removeFromService(failed.request.Service)
	n.unanswered--
}

// taskEnded removes a bound task. After the last task of its service, the node is assumed to keep the program
// cached.
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

// removeBound removes an attempt from the bound attempts. The last attempt of the slice takes its index.
func (n *nodeTasks) removeBound(bound *attempt) {
	last := n.bound[len(n.bound)-1]
	n.bound[bound.boundIndex] = last
	last.boundIndex = bound.boundIndex
	n.bound = n.bound[:len(n.bound)-1]
}

// cacheProgram records the program of a service as the most recently cached program. It removes the oldest
// program if there are more than maxCachedPrograms.
func (n *nodeTasks) cacheProgram(service ServiceID) {
	if i := slices.Index(n.cachedPrograms, service); i >= 0 {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
	}
	n.cachedPrograms = append(n.cachedPrograms, service)
	if len(n.cachedPrograms) > maxCachedPrograms {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, 0, 1)
	}
}
