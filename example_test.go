package ravendale_test

import (
	"fmt"
	"time"

	"ravendale"
)

// The owner of a Dispatcher passes events to it and executes the actions that it returns.
func Example() {
	d, err := ravendale.New(ravendale.Settings{
		Dispatchers: 1,
		MaxAttempts: 3,
		MayCancel:   true,
		Classes: []ravendale.Class{{
			Name: "render", Effect: ravendale.Safe, Kind: -1,
			LatencyTarget: time.Second, Stretch: 2, Deadline: 10 * time.Second, Value: 1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any clock that never decreases
	handle := func(ev ravendale.Event) {
		for _, a := range d.Handle(now, &ev, nil) {
			switch a.Kind {
			case ravendale.Send:
				fmt.Printf("send job %d to %s\n", a.Job, a.Worker)
			case ravendale.SetTimer:
				fmt.Printf("set the timer to %v\n", a.Wait)
			case ravendale.Refuse:
				fmt.Printf("refuse job %d\n", a.Job)
			}
		}
	}
	handle(ravendale.Event{Kind: ravendale.WorkersListed, List: ravendale.Full, Entries: []ravendale.Entry{
		{Worker: "alpha", State: ravendale.Ready, Weight: 1},
	}})
	handle(ravendale.Event{Kind: ravendale.JobArrived, Job: 7, TimeLeft: 10 * time.Second})
	now += 50 * time.Millisecond
	handle(ravendale.Event{Kind: ravendale.AttemptEnded, Job: 7, Outcome: ravendale.Overloaded})
	now += 6 * time.Second
	handle(ravendale.Event{Kind: ravendale.TimerFired})
	// Output:
	// send job 7 to alpha
	// set the timer to 10s
	// set the timer to 50ms
	// refuse job 7
}
