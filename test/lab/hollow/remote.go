package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// remote is a leader in another process.
type remote struct {
	command *exec.Cmd
	orders  io.WriteCloser
	in      *json.Encoder
	out     *json.Decoder
}

// startRemote starts a program that calls ServeLeader.
func startRemote(command *exec.Cmd) (*remote, error) {
	orders, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	answers, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("hollow: leader's process: %w", err)
	}
	r := &remote{command: command, orders: orders, in: json.NewEncoder(orders), out: json.NewDecoder(answers)}
	if _, err := r.read(); err != nil {
		return nil, errors.Join(err, r.close())
	}
	return r, nil
}

func (r *remote) read() (answer, error) {
	var a answer
	if err := r.out.Decode(&a); err != nil {
		return a, fmt.Errorf("hollow: leader's process: %w", err)
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

func (r *remote) order(order string) (answer, error) {
	if err := r.in.Encode(order); err != nil {
		return answer{}, fmt.Errorf("hollow: leader's process: %w", err)
	}
	return r.read()
}

func (r *remote) change() (Change, error) {
	a, err := r.order(orderChange)
	return a.Change, err
}

func (r *remote) usage() (Usage, error) {
	a, err := r.order(orderUsage)
	return a.Usage, err
}

func (r *remote) close() error {
	_ = r.orders.Close()
	return r.command.Wait()
}
