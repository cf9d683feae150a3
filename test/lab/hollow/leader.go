package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
	"ravendale/control/leader"
	"ravendale/control/state"
)

// ErrRefused is returned for a change that the state machine did not take.
var ErrRefused = errors.New("hollow: the change was refused")

// LeaderConfig says what a Leader serves.
type LeaderConfig struct {
	Network   int // loopback network
	Heartbeat time.Duration
	Routes    int
	Services  int
	Workers   int // entries of the platform's list
	Log       *slog.Logger
}

// Leader is a control process that always leads: the real service over the real state machine, which no disks agree on.
type Leader struct {
	config  LeaderConfig
	machine *state.Machine
	service *leader.Service
	server  *rpc.Server
	address string
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex // guards version
	version uint64
}

// StartLeader starts a leader with its first configuration in place.
func StartLeader(config LeaderConfig) (*Leader, error) {
	ip, err := address(config.Network, 0)
	if err != nil {
		return nil, err
	}
	l := &Leader{config: config, machine: state.NewMachine(), address: join(ip, firstPort), done: make(chan struct{})}
	mux := rpc.NewMux()
	l.service = leader.NewService(leader.Config{
		Settings: hollowSettings(ip, l.address, config.Heartbeat), Mux: mux, Submit: l.submit, State: l.machine.Current,
		Leader: func() (string, bool) { return l.address, true }, Core: func() []string { return []string{l.address} },
		Log: config.Log, Read: l.read,
	})
	if _, err := l.order(&state.Set{Body: document(1, config.Routes, config.Services)}); err != nil {
		return nil, err
	}
	l.version = 1
	if l.server, err = rpc.Listen(l.address, rpc.Options{Mux: mux}, nil); err != nil {
		return nil, fmt.Errorf("hollow: leader: %w", err)
	}
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(l.done)
		l.service.Lead(ctx, func() bool { return ctx.Err() == nil })
	}()
	return l, nil
}

// hollowSettings are those of a process on a hollow machine. What is not set here has no part in the control plane.
func hollowSettings(ip, seed string, heartbeat time.Duration) *settings.Settings {
	return &settings.Settings{
		IP: ip, PortRange: []int{firstPort, firstPort + ports - 1}, Seeds: []string{seed},
		HeartbeatMs: int(heartbeat / time.Millisecond), ToleratedNodes: 1, ProviderRate: 50,
		Bounds: settings.Bounds{DrainMs: 3000},
	}
}

// Close stops the leader at once.
func (l *Leader) Close() {
	l.cancel()
	l.server.Close()
	<-l.done
}

// Change is a configuration that was acknowledged.
type Change struct {
	Sequence uint64    // of the topic's version
	At       time.Time // of the acknowledgement
}

// Change gives one route another time-out.
func (l *Leader) Change() (Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.version + 1
	sequence, err := l.order(&state.Patch{Base: l.version, Body: change(next, l.config.Routes, l.config.Services)})
	if err != nil {
		return Change{}, err
	}
	l.version = next
	return Change{Sequence: sequence, At: time.Now()}, nil
}

// order submits a command, and returns the sequence that the configuration has then.
func (l *Leader) order(command state.Command) (uint64, error) {
	encoded, err := state.Encode(command)
	if err != nil {
		return 0, err
	}
	result, err := state.DecodeResult(l.machine.Apply(encoded))
	if err != nil {
		return 0, err
	}
	if !result.Applied() {
		return 0, fmt.Errorf("%w: %s %v", ErrRefused, result.Outcome, result.Findings)
	}
	sequence := l.machine.Current().Sequence
	l.service.Changed()
	return sequence, nil
}

func (l *Leader) submit(_ context.Context, command []byte) ([]byte, error) {
	result := l.machine.Apply(command)
	l.service.Changed()
	return result, nil
}

func (l *Leader) read(context.Context, time.Duration) (*wire.Workers, int, error) {
	return discovery.Sort(workers(l.config.Workers, l.config.Services)), 1, nil
}

// workers makes up a platform's list, as long in bytes as real ones are.
func workers(count, services int) []wire.Worker {
	entries := make([]wire.Worker, count)
	for i := range entries {
		entries[i] = wire.Worker{
			ID: fmt.Sprintf("i-%011d", i), Service: service(i % max(services, 1)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("zone-%02d", i%31), Version: "v12", Capacity: 8, WarmupMillis: 3000,
		}
	}
	return entries
}

// The orders that a leader's process takes, a line each.
const (
	orderChange = "change"
	orderUsage  = "usage"
)

// answer is what a leader's process writes for each order, a line each; the first comes once it listens.
type answer struct {
	Error  string
	Change Change
	Usage  Usage
}

// ServeLeader runs a leader in this process, and takes orders until they end.
func ServeLeader(config LeaderConfig, orders io.Reader, answers io.Writer) error {
	l, err := StartLeader(config)
	if err != nil {
		return err
	}
	defer l.Close()
	in, out := json.NewDecoder(orders), json.NewEncoder(answers)
	if err := out.Encode(answer{}); err != nil {
		return err
	}
	for {
		var order string
		if err := in.Decode(&order); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := out.Encode(l.answer(order)); err != nil {
			return err
		}
	}
}

func (l *Leader) answer(order string) answer {
	var a answer
	var err error
	switch order {
	case orderChange:
		a.Change, err = l.Change()
	case orderUsage:
		runtime.GC()
		a.Usage, err = ReadUsage()
	default:
		err = fmt.Errorf("hollow: unknown order %q", order)
	}
	if err != nil {
		a.Error = err.Error()
	}
	return a
}
