package admission_test

import (
	"fmt"

	"heathshed/internal/control/admission"
)

// A controller whose concurrency limit is 1 admits the first request and queues the second request. It admits
// the second request after the first request completes.
func Example() {
	config := admission.DefaultConfig()
	config.MinInFlight = 1
	config.MaxInFlight = 1
	controller, err := admission.New(config)
	if err != nil {
		fmt.Println(err)
		return
	}
	request := admission.Request{ID: 1, Cost: 1, Deadline: 10, ClientDeadline: 20, LatencyObjective: 2}
	decision, _ := controller.Submit(0, request)
	fmt.Println("first request admitted:", decision == admission.Admit)

	request.ID = 2
	decision, _ = controller.Submit(0.1, request)
	fmt.Println("second request queued:", decision == admission.Queue)

	controller.Complete(0.5, 1, true)
	admitted, shed := controller.Poll(0.5)
	fmt.Println("IDs of admitted requests:", admitted, "number of shed requests:", len(shed))
	// Output:
	// first request admitted: true
	// second request queued: true
	// IDs of admitted requests: [2] number of shed requests: 0
}

// Poll sheds a queued request when its task can no longer start in time. The ShedRequest states the delay after
// which the client should submit a new request.
func ExampleController_Poll() {
	config := admission.DefaultConfig()
	config.MinInFlight = 1
	config.MaxInFlight = 1
	controller, err := admission.New(config)
	if err != nil {
		fmt.Println(err)
		return
	}
	controller.Submit(0, admission.Request{ID: 1, Deadline: 60, ClientDeadline: 60, LatencyObjective: 30})
	controller.Submit(0, admission.Request{ID: 2, Deadline: 5, ClientDeadline: 5, LatencyObjective: 2})
	fmt.Println("latest time of the next call of Poll:", controller.NextDeadline())

	_, shed := controller.Poll(4)
	for _, request := range shed {
		fmt.Printf("request %d: %s; retry after %.2f s\n", request.ID, request.Reason, request.RetryAfter)
	}
	// Output:
	// latest time of the next call of Poll: 4
	// request 2: it waited until it could no longer start in time; retry after 0.78 s
}

// Validate reports the key, the value and the allowed range of an invalid setting.
func ExampleConfig_Validate() {
	config := admission.DefaultConfig()
	config.LateFraction = 2
	fmt.Println(config.Validate())
	// Output: admission: lateFraction 2: want 0 to 1
}
