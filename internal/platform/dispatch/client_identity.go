package dispatch

// clientIdentity is what the messages on a client connection have shown about the client. The protocol has no
// credentials, so this is all that tells the owner of running tasks from any other program that has connected
// to the scheduler. Later values are stronger evidence.
type clientIdentity uint8

const (
	// clientUnknown means that nothing has arrived, or nothing but invalid messages and messages about tasks
	// that the core does not know.
	clientUnknown clientIdentity = iota
	// clientProber means that a health check has arrived.
	clientProber
	// clientOwner means that a valid request has arrived, or a message about a task that the core knows.
	clientOwner
)
