package core_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/core"
	"ravendale/rpc"
	"ravendale/settings"
)

// list is a machine that keeps all commands in order.
type list struct {
	mu   sync.Mutex
	text string
}

func (l *list) Apply(command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(command) + ","
	return []byte(l.text)
}

func (l *list) Snapshot() []byte { return []byte(l.String()) }

func (l *list) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = string(snapshot)
	return nil
}

func (l *list) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

// process is one process of a core on loopback addresses.
type process struct {
	settings settings.Settings
	core     *core.Core
	list     *list
	server   *rpc.Server
	cancel   context.CancelFunc
	ended    chan error
	leads    chan *core.Lease
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func plan(t *testing.T, count int) []*process {
	port := freePort(t)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", i+10))
	}
	var processes []*process
	for i := range count + 1 { // the last is no seed
		processes = append(processes, &process{settings: settings.Settings{
			Node: fmt.Sprint("node-", i), IP: fmt.Sprintf("127.0.0.%d", i+10), Zone: fmt.Sprint("zone-", i),
			PortRange: []int{port, port + 3}, Seeds: seeds, Bootstrap: true, DataDir: filepath.Join(t.TempDir(), "data"),
			LostNodes: 1, Bounds: settings.Bounds{CatchupS: 5},
		}})
	}
	return processes
}

func (p *process) start(t *testing.T) {
	mux := rpc.NewMux()
	p.list, p.leads, p.ended = &list{}, make(chan *core.Lease, 8), make(chan error, 1)
	settings := p.settings
	opened, err := core.Open(core.Config{
		Settings: &settings, Machine: p.list, Mux: mux, Applied: func() {},
		Lead: func(ctx context.Context, lease *core.Lease) {
			p.leads <- lease
			<-ctx.Done()
		},
	})
	require.NoError(t, err)
	p.core = opened
	p.server, err = rpc.Listen(settings.ControlAddress(settings.IP), rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	go func() { p.ended <- opened.Run(ctx) }()
	t.Cleanup(p.stop)
}

func (p *process) stop() {
	if p.cancel == nil {
		return
	}
	p.server.Close()
	p.cancel()
	<-p.ended
	p.cancel = nil
}

// soon bounds waits for what has to come, on a machine however busy: no verdict depends on how long it takes.
const soon = 30 * time.Second

// submit has a command applied. One that surely was not is submitted again: the process may not run yet, or the core not be founded.
func (p *process) submit(t *testing.T, command string) string {
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	for {
		result, err := p.core.Submit(ctx, []byte(command))
		if errors.Is(err, core.ErrUnavailable) && ctx.Err() == nil {
			runtime.Gosched()
			continue
		}
		require.NoError(t, err, "%+v", p.core.Status())
		return string(result)
	}
}

func TestAWholeCoreOnSockets(t *testing.T) {
	processes := plan(t, 3)
	seeds, diskless := processes[:3], processes[3]
	diskless.settings.DataDir = ""
	for _, p := range processes {
		p.start(t)
	}
	require.Equal(t, "a,", seeds[0].submit(t, "a"))
	require.Equal(t, "a,b,", seeds[2].submit(t, "b"))
	require.Equal(t, "a,b,c,", diskless.submit(t, "c"))
	for _, p := range seeds {
		require.Eventually(t, func() bool { return p.list.String() == "a,b,c," }, soon, 5*time.Millisecond)
	}
	leader := waitLeader(t, seeds)
	require.Eventually(t, func() bool {
		address, ok := diskless.core.Leader()
		return ok && strings.HasPrefix(address, leader.settings.IP+":")
	}, soon, 10*time.Millisecond)
	require.Len(t, diskless.core.Addresses(), 3)

	leader.stop()
	killed := time.Now()
	var others []*process
	for _, p := range seeds {
		if p != leader {
			others = append(others, p)
		}
	}
	require.Equal(t, "a,b,c,d,", others[0].submit(t, "d"))
	t.Logf("answered %v after the leader's end", time.Since(killed))
	waitLeader(t, others)
	t.Logf("another leader %v after", time.Since(killed))

	leader.settings.Bootstrap = false
	leader.settings.DataDir = filepath.Join(t.TempDir(), "new") // it lost its disk
	leader.start(t)
	require.Eventually(t, func() bool { return leader.list.String() == "a,b,c,d," }, soon, 10*time.Millisecond)
	for _, p := range seeds {
		p.stop()
	}
	for _, p := range seeds {
		p.start(t)
	}
	started := time.Now()
	require.Equal(t, "a,b,c,d,e,", leader.submit(t, "e"))
	t.Logf("answered %v after the start of all", time.Since(started))
}

func waitLeader(t *testing.T, processes []*process) *process {
	deadline := time.Now().Add(soon)
	for time.Now().Before(deadline) {
		for _, p := range processes {
			select {
			case lease := <-p.leads:
				if lease.Valid() {
					return p
				}
			default:
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Fail(t, "nobody leads", "%+v", processes[0].core.Status())
	return nil
}

func TestWithoutAMajorityNothingIsTaken(t *testing.T) {
	processes := plan(t, 3)
	processes[0].start(t)
	require.Eventually(t, func() bool { // a process that does not run yet refuses at once
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := processes[0].core.Submit(ctx, []byte("a"))
		require.ErrorIs(t, err, core.ErrUnavailable)
		return time.Since(started) >= 100*time.Millisecond
	}, soon, time.Millisecond)
	_, ok := processes[0].core.Leader()
	require.False(t, ok)
}
