package dispatch

// Counts contains the counters of the core. They start at 0 when the core is created and never decrease.
type Counts struct {
	// PlacementRequests counts the launch messages of clients: new requests, adoptions and invalid messages.
	PlacementRequests uint64
	// Adopted counts the launch messages that name a node on which the task already runs.
	Adopted uint64
	// Accepted counts the valid new requests, which are passed to the placer.
	Accepted uint64
	// Placed counts the accepted requests whose clients were sent the answer that the task runs.
	Placed uint64
	// Rejected counts the requests that the placer decided to reject for lack of capacity.
	Rejected uint64
	// Failed counts the requests that the placer decided to answer with an error.
	Failed uint64
	// Withdrawn counts the open requests that ended because the client withdrew them, because a second
	// request had the same ID, or because the client connection closed.
	Withdrawn uint64

	// Attempts counts the attempts that the placer requested, whether or not they were sent.
	Attempts uint64
	// Bound counts the attempts that a node accepted in time.
	Bound uint64
	// CapacityRejections counts the attempts that a node rejected with CauseFull. A node does so if it lacks
	// capacity, or if it is draining and accepts no new tasks.
	CapacityRejections uint64
	// NodeErrors counts the attempts that a node answered with an error.
	NodeErrors uint64
	// ConnectFailures counts the attempts that were not sent because no connection to the node could be
	// established.
	ConnectFailures uint64
	// ConnectionsLost counts the unanswered attempts whose connection closed. It also counts the unanswered
	// attempts that the node ended with a cause that no other counter covers.
	ConnectionsLost uint64
	// TimedOut counts the attempts that were sent but not answered before they expired.
	TimedOut uint64
	// Expired counts the attempts that ended before they were sent, and those that the node reports to have
	// received too late.
	Expired uint64
	// LateAnswers counts the acceptances of attempts that had already been abandoned.
	LateAnswers uint64
	// UnknownTasks counts the messages in which a node accepts or ends a task that was never sent to it, or
	// whose attempt was already removed from the attempt table.
	UnknownTasks uint64

	// TasksEnded counts the running tasks that ended, for any reason.
	TasksEnded uint64
	// Migrations counts the running tasks that the placer requested to migrate.
	Migrations uint64
	// TasksLost counts the running tasks that neither completed nor were stopped at the request of the client
	// or the placer. It includes the tasks on unresponsive nodes.
	TasksLost uint64
	// PendingNotifications counts the notifications that could not be sent at once because no client
	// connection was suitable.
	PendingNotifications uint64
	// ExpiredNotifications counts the pending notifications that were discarded because no client connection
	// became available in time.
	ExpiredNotifications uint64
	// Redeliveries counts the notifications that were sent again because their connection closed before the
	// client acknowledged them.
	Redeliveries uint64
	// InvalidMessages counts the client messages that ReceiveFromClient rejected as invalid.
	InvalidMessages uint64
}
