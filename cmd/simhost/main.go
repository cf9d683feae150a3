// Simhost is the simulator's adapter: it runs one Dispatcher for each instance, without shared state.
// It reads the simulator's line protocol from standard input and writes its replies to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ravendale"
	"ravendale/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve reads batches from in and writes a reply to each to out. It writes complete replies only, and returns nil
// if in ends between two batches.
func serve(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	instances := make(map[string]*ravendale.Dispatcher)
	var (
		m             wire.Message
		clock         wire.Message // the message that began the current batch
		reply         []byte
		actions       []ravendale.Action
		replyInstance string // the instance of the last action in the reply
	)
	for {
		if err := reader.Next(&m); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		switch m.Kind {
		case wire.Clock:
			clock = m
			reply, replyInstance = reply[:0], ""
		case wire.Start:
			d, err := ravendale.New(m.Settings, m.Seed)
			if err != nil {
				return fmt.Errorf("%s: %w", m.Instance, err)
			}
			instances[m.Instance] = d
		case wire.Exit:
			delete(instances, m.Instance)
		case wire.Event:
			actions = instances[m.Instance].Handle(clock.Now, &m.Event, actions[:0])
			if len(actions) > 0 && replyInstance != m.Instance {
				reply, replyInstance = wire.AppendInstance(reply, m.Instance), m.Instance
			}
			for i := range actions {
				reply = wire.AppendAction(reply, &actions[i])
			}
		case wire.Turn:
			if _, err := out.Write(wire.AppendEnd(reply, clock.Frame)); err != nil {
				return err
			}
		}
	}
}
