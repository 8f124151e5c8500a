package dispatch

// Counts contains the counters of the core. They start at 0 when the core is created and never decrease.
type Counts struct {
	// PlacementRequests counts the launch messages of clients. It includes new placement requests, adoption
	// requests and invalid launch messages.
	PlacementRequests uint64
	// Adopted counts the adoption requests. An adoption request is a launch message that names the node on
	// which the task already runs.
	Adopted uint64
	// AdoptionsIgnored counts the adoption requests that were ignored, or whose tasks were dropped again before a
	// node confirmed them, because no slot was left for their client.
	AdoptionsIgnored uint64
	// Accepted counts the valid new placement requests. The core passes these requests to the placer.
	Accepted uint64
	// ArrivalsHeldBack counts the new placement requests that were not passed to the placer at once, because their
	// connection had too many unanswered attempts.
	ArrivalsHeldBack uint64
	// Overloaded counts the valid new placement requests that were rejected with CauseOverloaded, because too
	// many requests and tasks are kept, or because their connection or tenant has used up its share.
	Overloaded uint64
	// Placed counts the new placement requests that were answered with a Running message.
	Placed uint64
	// Rejected counts the requests that the placer decided to reject for lack of capacity.
	Rejected uint64
	// Failed counts the requests that the placer decided to answer with an error.
	Failed uint64
	// Withdrawn counts the open requests that ended for one of three reasons: the client withdrew the
	// request, a second request with the same ID arrived, or the client connection closed.
	Withdrawn uint64

	// Attempts counts the attempts that the placer requested, whether or not they were sent.
	Attempts uint64
	// Bound counts the attempts that their nodes accepted in time.
	Bound uint64
	// CapacityRejections counts the attempts that a node rejected with CauseNoCapacity. A node uses this
	// cause if it lacks capacity, or if it is draining and accepts no new tasks.
	CapacityRejections uint64
	// NodeErrors counts the attempts that a node answered with an error.
	NodeErrors uint64
	// ConnectFailures counts the attempts that were not sent because no connection to the node could be
	// established.
	ConnectFailures uint64
	// ConnectionsLost counts the unanswered attempts whose connection to the node closed. It also counts the
	// unanswered attempts that the node ended with a cause that no other counter covers.
	ConnectionsLost uint64
	// TimedOut counts the attempts that were sent but not answered before they expired.
	TimedOut uint64
	// Expired counts the attempts that ended before they were sent. It excludes the attempts for which no
	// connection to the node could be established. It includes the attempts that a node rejected because they
	// arrived after their deadline.
	Expired uint64
	// AbandonedDropped counts the abandoned attempts that were dropped before their time, because too many were
	// kept.
	AbandonedDropped uint64
	// LateAnswers counts the Running messages of nodes for attempts that had already been abandoned.
	LateAnswers uint64
	// UnknownTasks counts the Running and Stop messages of nodes about unknown tasks. A task is unknown if it
	// was never sent to the node, or if its attempt was already removed from the attempt table.
	UnknownTasks uint64

	// TasksEnded counts the running tasks that ended, for any reason.
	TasksEnded uint64
	// Migrations counts the running tasks that ended for a migration. It does not count a task that ended by
	// itself first, or whose node did not confirm the end.
	Migrations uint64
	// StopsRepeated counts the orders to stop a task that were sent again on another connection to the node.
	StopsRepeated uint64
	// StopsUnconfirmed counts the tasks whose node did not confirm in time that it stopped the task.
	StopsUnconfirmed uint64
	// TasksLost counts the running tasks that ended for a reason other than completion or a stop that the
	// client or the placer requested. It includes the tasks on unresponsive nodes.
	TasksLost uint64
	// PendingNotifications counts the notifications that could not be sent at once because no client
	// connection was suitable.
	PendingNotifications uint64
	// ExpiredNotifications counts the pending notifications that were discarded because no client connection
	// became available in time.
	ExpiredNotifications uint64
	// Redeliveries counts the notifications that were sent again. A notification is sent again if its client
	// connection closed before the client acknowledged the notification.
	Redeliveries uint64
	// InvalidMessages counts the client messages that ReceiveFromClient rejected as invalid.
	InvalidMessages uint64
}
