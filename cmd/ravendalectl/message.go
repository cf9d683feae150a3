package main

import (
	"context"
	"fmt"
	"time"
)

type messageCommand struct {
	ID     string        `arg:"" help:"The message's ID: the Msg-Id header of the response that accepted it, or else its Request-Id."`
	Edge   []string      `help:"HTTP addresses of edges, tried one after another." placeholder:"HOST:PORT" required:""`
	Host   string        `help:"Host header of the message." required:""`
	Body   bool          `help:"Write the message's body to standard output instead of its state."`
	Within time.Duration `help:"How long to retry until a definite answer arrives." default:"30s"`
}

// Run implements the command.
func (c *messageCommand) Run(ctx context.Context, env environment) error {
	client, err := newClient(env, c.Edge, c.Within, "name edges by --edge, as host:port,host:port")
	if err != nil {
		return err
	}
	const hint = "check the name, the host and the edges; what ended long ago is forgotten"
	if c.Body {
		body, err := client.MessageBody(ctx, c.Host, c.ID)
		if err != nil {
			return callError(err, c.ID, hint)
		}
		_, err = env.stdout.Write(body)
		return err
	}
	message, err := client.Message(ctx, c.Host, c.ID)
	if err != nil {
		return callError(err, c.ID, hint)
	}
	if message.Signature != "" {
		_, err = fmt.Fprintf(env.stdout, "%s %s\n", message.State, message.Signature)
		return err
	}
	_, err = fmt.Fprintln(env.stdout, message.State)
	return err
}
