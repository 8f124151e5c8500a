package dispatch

import "heathshed/internal/platform/protocol"

const (
	// guaranteedBytes is the size of the open requests that a connection may have, however much others have. One
	// request of the maximum size fits in it.
	guaranteedBytes = 20 << 10
	// sharedDivisor gives the part of all bytes that connections may use beyond guaranteedBytes. The rest is kept
	// for the guarantee.
	sharedDivisor = 2
	// connDivisor limits one connection: it may use at most this fraction of the shared bytes that are free.
	connDivisor = 4
	// maxTenantMultiple limits one tenant if there are several: its connections may use at most this multiple of
	// the shared bytes that are free, so three quarters of them if no other tenant has open requests.
	maxTenantMultiple = 3
)

// requestQuota divides the memory for open requests among client connections and tenants, so that one that has
// more requests than can be placed costs the others no more than its share. Each connection has a guarantee. Beyond
// it, a connection may use a fraction of what is still free. This is the dynamic threshold of package memquota: the
// more connections want, the smaller is the share of each, and some memory always remains for the next one.
type requestQuota struct {
	*sharedState
	usedBytes int
	byConn    map[ConnID]int // byConn contains the bytes of the open requests of each connection that has any.
	byTenant  map[int]int    // byTenant contains the bytes of the open requests of each tenant that has any.
}

func newRequestQuota(shared *sharedState) *requestQuota {
	return &requestQuota{sharedState: shared, byConn: map[ConnID]int{}, byTenant: map[int]int{}}
}

// openRequestBytes returns the memory that an open request takes if it arrived as the given launch message.
func openRequestBytes(launch *protocol.Message) int { return taskBytes + launch.TextBytes() }

// admits reports whether a connection may have one more open request of the given size.
func (q *requestQuota) admits(conn ConnID, tenant, bytes int) bool {
	if q.usedBytes+bytes > q.limits.OpenRequestBytes {
		return false
	}
	freeBytes := q.limits.OpenRequestBytes/sharedDivisor - q.usedBytes
	if len(q.settings.TenantNames) > 1 {
		freeBytes = min(freeBytes, maxTenantMultiple*freeBytes-q.byTenant[tenant])
	}
	return q.byConn[conn]+bytes <= max(guaranteedBytes, freeBytes/connDivisor)
}

// add counts a new open request.
func (q *requestQuota) add(req *request) { q.count(req, req.quotaBytes) }

// remove stops counting a request that is no longer open.
func (q *requestQuota) remove(req *request) { q.count(req, -req.quotaBytes) }

func (q *requestQuota) count(req *request, bytes int) {
	q.usedBytes += bytes
	addBytes(q.byConn, req.connID, bytes)
	addBytes(q.byTenant, req.tenant, bytes)
}

// addBytes adds to the bytes of one user and deletes the entry of a user that has none left.
func addBytes[User comparable](byUser map[User]int, user User, bytes int) {
	byUser[user] += bytes
	if byUser[user] == 0 {
		delete(byUser, user)
	}
}
