// Simhost hosts dispatchers on the simulator's wire: one Dispatcher for each
// instance, sharing nothing. It reads standard input and writes standard output.
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

// serve answers every batch of in on out. It writes whole replies only, and returns nil where in ends
// between two batches.
func serve(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	instances := make(map[string]*ravendale.Dispatcher)
	var (
		m       wire.Message
		batch   wire.Message // the clock line of the batch in hand
		reply   []byte
		actions []ravendale.Action
		writing string // the instance whose actions the reply is at
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
			batch = m
			reply, writing = reply[:0], ""
		case wire.Start:
			d, err := ravendale.New(m.Settings, m.Seed)
			if err != nil {
				return fmt.Errorf("%s: %w", m.Instance, err)
			}
			instances[m.Instance] = d
		case wire.Exit:
			delete(instances, m.Instance)
		case wire.Event:
			actions = instances[m.Instance].Handle(batch.Now, &m.Event, actions[:0])
			if len(actions) > 0 && writing != m.Instance {
				reply, writing = wire.AppendInstance(reply, m.Instance), m.Instance
			}
			for i := range actions {
				reply = wire.AppendAction(reply, &actions[i])
			}
		case wire.Turn:
			if _, err := out.Write(wire.AppendEnd(reply, batch.Frame)); err != nil {
				return err
			}
		}
	}
}
