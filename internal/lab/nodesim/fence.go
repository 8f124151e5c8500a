package nodesim

// maxFences bounds the fences that are kept; the oldest are dropped first.
const maxFences = 100000

// fenceTable holds the fences of a node: for each fenced task, the number up to which its attempts are rejected.
// Only add changes it.
type fenceTable struct {
	attempts map[string]int // by UID
	order    []string       // UIDs, oldest first
}

// add fences the attempts of a task up to the given number. It never lowers a fence.
func (f *fenceTable) add(uid string, attempt int) {
	if _, ok := f.attempts[uid]; !ok {
		f.order = append(f.order, uid)
		if len(f.order) > maxFences {
			delete(f.attempts, f.order[0])
			f.order = f.order[1:]
		}
	}
	f.attempts[uid] = max(f.attempts[uid], attempt)
}

// forbids reports whether an attempt is fenced.
func (f *fenceTable) forbids(uid string, attempt int) bool { return attempt <= f.attempts[uid] }
