package dispatch

// Counts count what has happened since the start.
type Counts struct {
	// PlacementRequests are launch messages of clients: new requests, adoptions and invalid ones.
	PlacementRequests uint64
	// Adopted are launch messages that name a node which already runs the task.
	Adopted uint64
	// Accepted are valid new requests that were passed to the placer.
	Accepted uint64
	// Placed are accepted requests whose client was sent the answer that the task runs.
	Placed uint64
	// Rejected are rejections for lack of capacity that the placer decided on.
	Rejected uint64
	// Failed are failures that the placer decided on.
	Failed uint64
	// Withdrawn are open requests that the client withdrew, ended by a second request with the same ID, or left behind when its connection
	// ended.
	Withdrawn uint64

	// Attempts are attempts that the placer requested, whether or not they were sent.
	Attempts uint64
	// Bound are attempts that a node accepted in time.
	Bound uint64
	// CapacityRejections are attempts that a node rejected with CauseNoCapacity: for lack of capacity, or as the wrong node while it drains.
	CapacityRejections uint64
	// NodeErrors are attempts that failed at the node.
	NodeErrors uint64
	// ConnectFailures are attempts that were not sent because no connection to the node could be established.
	ConnectFailures uint64
	// ConnectionsLost are attempts without an answer whose connection ended, or that the node ended with a cause other than those counted
	// elsewhere.
	ConnectionsLost uint64
	// TimedOut are attempts that were sent and not answered until they expired.
	TimedOut uint64
	// Expired are attempts that ended before they were sent, or that the node says it received too late.
	Expired uint64
	// LateAnswers are acceptances of attempts that had been abandoned.
	LateAnswers uint64
	// UnknownTasks are messages of nodes about tasks that were never sent to them, or are no longer kept.
	UnknownTasks uint64

	// TasksEnded are running tasks that ended, for whatever reason.
	TasksEnded uint64
	// Migrations are running tasks that the placer requested to migrate.
	Migrations uint64
	// TasksLost are running tasks that ended without their client's or the placer's request and not by themselves, those at unresponsive nodes
	// included.
	TasksLost uint64
	// PendingNotifications are notifications for which no connection was open.
	PendingNotifications uint64
	// ExpiredNotifications are pending notifications that were discarded because no connection was opened in time.
	ExpiredNotifications uint64
	// Redeliveries are notifications that were sent once more because their connection ended without an acknowledgement.
	Redeliveries uint64
	// InvalidMessages are messages of clients for which ReceiveFromClient returned an error.
	InvalidMessages uint64
}
