package core_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/control/core"
	"ravendale/control/slots"
	"ravendale/test/diskfolder"
)

// listMachine is a machine that stores all commands in order.
type listMachine struct {
	mu   sync.Mutex
	text string
}

func (l *listMachine) Apply(command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(command) + ","
	return []byte(l.text)
}

func (l *listMachine) Snapshot() []byte { return []byte(l.String()) }

func (l *listMachine) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = string(snapshot)
	return nil
}

func (l *listMachine) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

// process is one process of a core on loopback addresses.
type process struct {
	settings settings.Settings
	folder   slots.Folder // nil: the data folder of the settings
	machine  core.Machine // nil: list
	core     *core.Core
	list     *listMachine
	server   *rpc.Server
	cancel   context.CancelFunc
	exited   chan struct{}
	leads    chan *core.Lease
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().(*net.TCPAddr).Port
}

func newProcesses(t *testing.T, count int) []*process {
	port := freePort(t)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", i+10))
	}
	var processes []*process
	for i := range count + 1 { // the last one is no seed
		processes = append(processes, &process{settings: settings.Settings{
			Node: fmt.Sprint("node-", i), IP: fmt.Sprintf("127.0.0.%d", i+10), Zone: fmt.Sprint("zone-", i),
			PortRange: []int{port, port + 3}, Seeds: seeds, Bootstrap: true, DataDir: filepath.Join(diskfolder.New(t), "data"),
			ToleratedNodes: 1, Bounds: settings.Bounds{CatchupS: 5},
		}})
	}
	return processes
}

func (p *process) start(t *testing.T) {
	mux := rpc.NewMux()
	p.list, p.leads, p.exited = &listMachine{}, make(chan *core.Lease, 8), make(chan struct{})
	settings := p.settings
	machine := p.machine
	if machine == nil {
		machine = p.list
	}
	config := core.Config{
		Settings: &settings, Machine: machine, Mux: mux, Applied: func() {},
		Lead: func(ctx context.Context, lease *core.Lease) {
			p.leads <- lease
			<-ctx.Done()
		},
	}
	config.SetFolder(p.folder)
	opened, err := core.Open(config)
	require.NoError(t, err)
	p.core = opened
	p.server, err = rpc.Listen(settings.ControlAddress(settings.IP), rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	go func() { opened.Run(ctx); close(p.exited) }()
	require.Eventually(t, opened.Running, 10*time.Second, time.Millisecond)
	t.Cleanup(p.stop)
}

func (p *process) stop() {
	if p.cancel == nil {
		return
	}
	p.server.Close()
	p.cancel()
	<-p.exited
	p.cancel = nil
}

// waitTimeout limits waits for events that have to happen. It is long enough for a busy machine: no result depends on
// how long they take.
const waitTimeout = 30 * time.Second

// submit submits a command until it is applied. After ErrUnavailable it tries again: the process may not run yet, or
// the core may not be bootstrapped.
func (p *process) submit(t *testing.T, command string) string {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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

func TestCoreOnSockets(t *testing.T) {
	processes := newProcesses(t, 3)
	seeds, diskless := processes[:3], processes[3]
	diskless.settings.DataDir = ""
	for _, p := range processes {
		p.start(t)
	}
	require.Equal(t, "a,", seeds[0].submit(t, "a"))
	require.Equal(t, "a,b,", seeds[2].submit(t, "b"))
	require.Equal(t, "a,b,c,", diskless.submit(t, "c"))
	for _, p := range seeds {
		require.Eventually(t, func() bool { return p.list.String() == "a,b,c," }, waitTimeout, 5*time.Millisecond)
	}
	leader := waitLeader(t, seeds)
	require.Eventually(t, func() bool {
		address, ok := diskless.core.Leader()
		return ok && strings.HasPrefix(address, leader.settings.IP+":")
	}, waitTimeout, 10*time.Millisecond)
	require.Len(t, diskless.core.Addresses(), 3)
	require.False(t, diskless.core.LeaderIsStore())

	leader.stop()
	killed := time.Now()
	var others []*process
	for _, p := range seeds {
		if p != leader {
			others = append(others, p)
		}
	}
	require.Equal(t, "a,b,c,d,", others[0].submit(t, "d"))
	t.Logf("answered %v after the leader was stopped", time.Since(killed))
	waitLeader(t, others)
	t.Logf("another leader %v after that", time.Since(killed))

	leader.settings.Bootstrap = false
	leader.settings.DataDir = filepath.Join(diskfolder.New(t), "new") // with an empty disk
	leader.start(t)
	require.Eventually(t, func() bool { return leader.list.String() == "a,b,c,d," }, waitTimeout, 10*time.Millisecond)
	for _, p := range seeds {
		p.stop()
	}
	for _, p := range seeds {
		p.start(t)
	}
	started := time.Now()
	require.Equal(t, "a,b,c,d,e,", leader.submit(t, "e"))
	t.Logf("answered %v after all processes were started", time.Since(started))
}

func waitLeader(t *testing.T, processes []*process) *process {
	deadline := time.Now().Add(waitTimeout)
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
	require.Fail(t, "no process holds the leader lease", "%+v", processes[0].core.Status())
	return nil
}

func TestSubmitWithoutMajority(t *testing.T) {
	processes := newProcesses(t, 3)
	processes[0].start(t)
	require.Eventually(t, func() bool { // a process that does not run yet returns ErrUnavailable at once
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := processes[0].core.Submit(ctx, []byte("a"))
		require.ErrorIs(t, err, core.ErrUnavailable)
		return time.Since(started) >= 100*time.Millisecond
	}, waitTimeout, time.Millisecond)
	_, ok := processes[0].core.Leader()
	require.False(t, ok)
}

// limitedFolder is a folder on a disk that may be full.
type limitedFolder struct {
	slots.OSFolder
	full atomic.Bool
}

func newLimitedFolder(t *testing.T) *limitedFolder {
	return &limitedFolder{OSFolder: slots.OSFolder(diskfolder.New(t))}
}

// Open implements slots.Folder.
func (d *limitedFolder) Open(name string, size int64) (slots.File, error) {
	file, err := d.OSFolder.Open(name, size)
	return limitedFile{file, d}, err
}

type limitedFile struct {
	slots.File
	disk *limitedFolder
}

// Write implements slots.File.
func (f limitedFile) Write(data []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(data)
	}
	written, _ := f.File.Write(data[:len(data)/2])
	return written, unix.ENOSPC
}

// Sync implements slots.File.
func (f limitedFile) Sync() error {
	if f.disk.full.Load() {
		return unix.ENOSPC
	}
	return f.File.Sync()
}

// TestFullDisk fills the disk of the leader, and restarts the leader while the disk is full. The process must continue
// and forward commands.
func TestFullDisk(t *testing.T) {
	processes := newProcesses(t, 3)[:3]
	disks := make(map[*process]*limitedFolder)
	for _, p := range processes {
		disks[p] = newLimitedFolder(t)
		p.folder = disks[p]
		p.start(t)
	}
	require.Equal(t, "a,", processes[0].submit(t, "a"))
	leader := waitLeader(t, processes)
	require.NoError(t, os.WriteFile(filepath.Join(string(disks[leader].OSFolder), slots.DamagedName("slot-0")), []byte("old"), 0o600))
	disks[leader].full.Store(true)
	text := "a,"
	submit := func(command string) {
		text += command + ","
		require.Equal(t, text, leader.submit(t, command))
	}
	require.Eventually(t, func() bool { // the outcome of the command that meets the fault may be unknown
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _ = leader.core.Submit(ctx, []byte("-"))
		return leader.core.Status().DiskFault != ""
	}, 3*time.Second, 10*time.Millisecond)
	waitLeader(t, others(processes, leader))
	text = others(processes, leader)[0].submit(t, "b")
	submit("c")
	require.Contains(t, leader.core.Status().DiskFault, unix.ENOSPC.Error())
	require.NoFileExists(t, filepath.Join(string(disks[leader].OSFolder), slots.DamagedName("slot-0")), "the process removes damaged files to make room")

	leader.stop()
	leader.start(t) // while the disk is still full
	require.NotEmpty(t, leader.core.Status().DiskFault)
	submit("d")
	disks[leader].full.Store(false)
	require.Eventually(t, func() bool {
		status := leader.core.Status()
		return status.DiskFault == "" && status.Attached && leader.list.String() == text
	}, 10*time.Second, 10*time.Millisecond)
	submit("e")
}

func others(processes []*process, than *process) []*process {
	return slices.DeleteFunc(slices.Clone(processes), func(p *process) bool { return p == than })
}

// TestDamagedDisk flips a bit in a member's newest slot while it is down: it must rejoin with another identity, and
// keep the damaged files.
func TestDamagedDisk(t *testing.T) {
	processes := newProcesses(t, 3)[:3]
	for _, p := range processes {
		p.start(t)
	}
	require.Equal(t, "a,", processes[0].submit(t, "a"))
	member := processes[2]
	require.Eventually(t, func() bool { return member.list.String() == "a," }, 10*time.Second, time.Millisecond)
	oldID := member.core.Status().ID
	member.stop()
	for parity := range 2 {
		slot, _ := slots.FileNames(parity)
		path := filepath.Join(member.settings.DataDir, slot)
		data, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue
		}
		require.NoError(t, err)
		data[len(data)-1] ^= 1
		require.NoError(t, os.WriteFile(path, data, 0o600))
	}
	member.start(t)
	require.NotEqual(t, oldID, member.core.Status().ID)
	require.Eventually(t, func() bool { return member.core.Status().Attached && member.list.String() == "a," }, 10*time.Second, time.Millisecond)
	damaged, err := filepath.Glob(filepath.Join(member.settings.DataDir, slots.DamagedName("*")))
	require.NoError(t, err)
	require.NotEmpty(t, damaged)
}

// countingMachine is a machine that counts the commands that it applies, and has a large state.
type countingMachine struct {
	mu    sync.Mutex
	count int
}

func (c *countingMachine) Apply([]byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Append(nil, c.count)
}

const counterPadding = 4 << 20

func (c *countingMachine) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(fmt.Append(nil, c.count, " "), make([]byte, counterPadding)...)
}

func (c *countingMachine) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(snapshot) < counterPadding {
		return errors.New("snapshot is shorter than its padding")
	}
	_, err := fmt.Sscan(string(snapshot[:len(snapshot)-counterPadding]), &c.count)
	return err
}

func (c *countingMachine) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// TestLargeCommandsReachAllMembers submits more bytes of commands at once than fit a message among members, and then
// adds a member that needs a snapshot of them.
func TestLargeCommandsReachAllMembers(t *testing.T) {
	const commands, size = 9, 4 << 20
	require.Greater(t, commands*size, rpc.MaxFrame)
	processes := newProcesses(t, 3)[:3]
	for _, p := range processes {
		p.machine = &countingMachine{}
		p.start(t)
	}
	var group sync.WaitGroup
	for i := range commands {
		group.Go(func() {
			for { // until the command was accepted: on a slow disk the chain may refuse commands for a while
				_, err := processes[i%2].core.Submit(context.Background(), make([]byte, size))
				if !errors.Is(err, core.ErrUnavailable) {
					return
				}
			}
		})
	}
	group.Wait()
	counts := func(p *process, count int) func() bool {
		return func() bool { return p.machine.(*countingMachine).value() == count }
	}
	for _, p := range processes {
		require.Eventually(t, counts(p, commands), 30*time.Second, 10*time.Millisecond)
	}
	replacement := processes[2]
	replacement.stop()
	replacement.settings.Bootstrap, replacement.settings.DataDir, replacement.machine = false, filepath.Join(diskfolder.New(t), "new"), &countingMachine{}
	replacement.start(t)
	require.Eventually(t, counts(replacement, commands), 30*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return replacement.core.Status().Attached }, 30*time.Second, 10*time.Millisecond)
	_, err := replacement.core.Submit(t.Context(), make([]byte, core.MaxCommand+1))
	require.ErrorIs(t, err, core.ErrTooLong)
}
