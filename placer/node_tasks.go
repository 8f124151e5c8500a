package placer

import "slices"

// nodeTasks holds the tasks and attempts of this scheduler on one node.
type nodeTasks struct {
	unansweredAttempts int               // number of attempts without an answer
	countByService     map[ServiceID]int // number of running tasks and unanswered attempts by service
	boundAttempts      []*attempt        // attempts whose tasks run on the node
	cachedPrograms     []ServiceID       // services whose program is probably cached, oldest first
}

func newNodeTasks() nodeTasks { return nodeTasks{countByService: map[ServiceID]int{}} }

// inUse reports whether this scheduler has tasks or attempts on the node.
func (n *nodeTasks) inUse() bool {
	return n.unansweredAttempts > 0 || len(n.boundAttempts) > 0 || len(n.countByService) > 0
}

// hasProgram reports whether the node probably has the program of a service in its cache. The result is true
// if a task of the service runs or is attempted on the node, or ran there recently. Only tasks of this
// scheduler are taken into account.
func (n *nodeTasks) hasProgram(service ServiceID) bool {
	return n.countByService[service] > 0 || slices.Contains(n.cachedPrograms, service)
}

// attemptSent adds an unanswered attempt.
func (n *nodeTasks) attemptSent(sentAttempt *attempt) {
	n.unansweredAttempts++
	n.countByService[sentAttempt.request.Service]++
}

// attemptBound records that the node accepted an attempt.
func (n *nodeTasks) attemptBound(acceptedAttempt *attempt) {
	n.unansweredAttempts--
	n.addBound(acceptedAttempt)
}

// addAdopted adds the attempt that represents a task that was found running on the node.
func (n *nodeTasks) addAdopted(adoptedAttempt *attempt) {
	n.addBound(adoptedAttempt)
	n.countByService[adoptedAttempt.request.Service]++
}

// attemptFailed removes an attempt that ended before the node accepted it.
func (n *nodeTasks) attemptFailed(failedAttempt *attempt) {
	n.removeFromService(failedAttempt.request.Service)
	n.unansweredAttempts--
}

// taskEnded removes a task that ran on the node. If it was the last task of its service there, the node is
// assumed to keep the program of the service in its cache.
func (n *nodeTasks) taskEnded(endedAttempt *attempt) {
	service := endedAttempt.request.Service
	n.removeFromService(service)
	n.removeBound(endedAttempt)
	if n.countByService[service] == 0 {
		n.cacheProgram(service)
	}
}

func (n *nodeTasks) dropCachedPrograms() { n.cachedPrograms = n.cachedPrograms[:0] }

func (n *nodeTasks) removeFromService(service ServiceID) {
	n.countByService[service]--
	if n.countByService[service] <= 0 {
		delete(n.countByService, service)
	}
}

func (n *nodeTasks) addBound(boundAttempt *attempt) {
	boundAttempt.boundIndex = len(n.boundAttempts)
	n.boundAttempts = append(n.boundAttempts, boundAttempt)
}

// removeBound removes an attempt from the bound attempts. The last attempt of the slice moves to the free
// index.
func (n *nodeTasks) removeBound(boundAttempt *attempt) {
	lastAttempt := n.boundAttempts[len(n.boundAttempts)-1]
	n.boundAttempts[boundAttempt.boundIndex] = lastAttempt
	lastAttempt.boundIndex = boundAttempt.boundIndex
	n.boundAttempts = n.boundAttempts[:len(n.boundAttempts)-1]
}

// cacheProgram records the program of a service as the most recently cached program of the node. It removes
// the oldest program if there are more than maxCachedPrograms.
func (n *nodeTasks) cacheProgram(service ServiceID) {
	if i := slices.Index(n.cachedPrograms, service); i >= 0 {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
	}
	n.cachedPrograms = append(n.cachedPrograms, service)
	if len(n.cachedPrograms) > maxCachedPrograms {
		n.cachedPrograms = slices.Delete(n.cachedPrograms, 0, 1)
	}
}
