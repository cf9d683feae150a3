package fleettest

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet/agent"
	"ravendale/balancer/frames"
)

// Options say what a bench plays with.
type Options struct {
	Binary    string // the program
	Dir       string // for files, the bench's own
	Members   int
	Alone     string        // mark or stop
	ShutOut   string        // wait or exit
	Heartbeat time.Duration // 50 ms if 0
	Trust     time.Duration // 600 ms if 0
	Record    int64         // bytes, the program's own if 0
	Seed      uint64
	Every     time.Duration // between two requests of a client, 10 ms if 0
	Off       bool          // no fleet: for comparisons
	Direct    bool          // no proxies on the links: for many members
	Log       func(format string, args ...any)
}

// Bench is one play.
type Bench struct {
	o        Options
	net      string // its part of the loopback addresses
	keys     frames.Keys
	all      []*process
	links    map[[2]string]*proxy // from, to
	dirty    []*expect            // faults whose effect is still to be seen
	mu       sync.Mutex
	requests []Request
	stop     context.CancelFunc
	clients  sync.WaitGroup
	began    time.Time
	Events   []Event
}

// New lays a bench out; Close ends it.
func New(o Options) (*Bench, error) {
	if o.Heartbeat == 0 {
		o.Heartbeat = 50 * time.Millisecond
	}
	if o.Trust == 0 {
		o.Trust = 600 * time.Millisecond
	}
	if o.Every == 0 {
		o.Every = 10 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	b := &Bench{o: o, links: make(map[[2]string]*proxy), net: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)), began: time.Now()}
	secret := make([]byte, 16)
	for i := range secret {
		secret[i] = byte(rand.Uint32())
	}
	b.keys = frames.Keys{{ID: 1, Secret: secret}}
	err := os.WriteFile(filepath.Join(o.Dir, "keys"), []byte("1 "+hex.EncodeToString(secret)+"\n"), 0o600)
	for i := range o.Members {
		b.all = append(b.all, &process{name: memberName(i)})
	}
	for i, from := range b.all {
		for j, to := range b.all {
			if i != j && err == nil && !o.Off && !o.Direct {
				b.links[[2]string{from.name, to.name}], err = newProxy(fmt.Sprintf("%s.%d:%d", b.net, 1+i, 10000+j), b.address(j))
			}
		}
		if err == nil {
			from.side, err = newSide(fmt.Sprintf("%s.%d:9000", b.net, 1+i), fmt.Sprintf("%s.%d:8500", b.net, 1+i), fmt.Sprintf("%s.%d:9101", b.net, 1+i))
		}
		if err == nil {
			err = b.files(i)
		}
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func memberName(i int) string {
	if i < 26 {
		return string(rune('a' + i))
	}
	return memberName(i/26-1) + string(rune('a'+i%26))
}

func (b *Bench) address(i int) string { return fmt.Sprintf("%s.%d:7000", b.net, 1+i) }

func (b *Bench) dir(name string) string { return filepath.Join(b.o.Dir, name) }

// Close ends everything that the bench started.
func (b *Bench) Close() {
	if b.stop != nil {
		b.stop()
		b.clients.Wait()
		b.stop = nil
	}
	for _, p := range b.all {
		p.end()
		if p.side != nil {
			p.side.close()
		}
	}
	for _, l := range b.links {
		if l != nil {
			l.close()
		}
	}
}

// Status asks a member, past all faults.
func (b *Bench) Status(name string) (*agent.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return agent.Call(ctx, b.address(b.index(name)), b.keys, "status", nil)
}

func (b *Bench) index(name string) int {
	return slices.IndexFunc(b.all, func(p *process) bool { return p.name == name })
}

// pick returns the processes of a list of names, or all.
func (b *Bench) pick(list string) (some []*process, err error) {
	if list == "all" {
		return b.all, nil
	}
	for _, name := range strings.Split(list, ",") {
		i := b.index(name)
		if i < 0 {
			return nil, fmt.Errorf("no member %q", name)
		}
		some = append(some, b.all[i])
	}
	return some, nil
}

func (b *Bench) load(on bool) error {
	if !on {
		if b.stop == nil {
			return errors.New("it is off")
		}
		b.stop()
		b.clients.Wait()
		b.stop = nil
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	for i, p := range b.all {
		b.clients.Go(func() {
			client(ctx, i, p.name, fmt.Sprintf("%s.%d:9000", b.net, 1+i), b.o.Every, func(a Request) {
				b.mu.Lock()
				b.requests = append(b.requests, a)
				b.mu.Unlock()
			})
		})
	}
	return nil
}

// Finish ends the members as planned, and returns what their records and the clients say. A script whose last faults were not
// healed has them judged here.
func (b *Bench) Finish() (*audit.Audit, []Request, error) {
	err := b.heal()
	if b.stop != nil {
		err = errors.Join(err, b.load(false))
	}
	for _, p := range b.all {
		if p.stopped && p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		for _, r := range append(p.before, run{p.cmd, p.exited}) {
			if r.cmd != nil {
				_ = r.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
			}
		}
	}
	for _, p := range b.all {
		if p.cmd != nil {
			select {
			case <-p.exited:
			case <-time.After(Patience):
				err = errors.Join(err, fmt.Errorf("%s does not stop", p.name))
			}
		}
	}
	a, readErr := audit.Read(b.Records()...)
	b.mu.Lock()
	defer b.mu.Unlock()
	return a, b.requests, errors.Join(err, readErr)
}

// Keep copies the bench's files, logs and records among them, to a folder.
func (b *Bench) Keep(to string) error {
	return filepath.WalkDir(b.o.Dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() { // sockets of hand-overs lie there too
			return err
		}
		rel, err := filepath.Rel(b.o.Dir, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Dir(filepath.Join(to, rel)), 0o755); err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o600)
	})
}

// Records are the folders of the members' records.
func (b *Bench) Records() (dirs []string) {
	for _, p := range b.all {
		dirs = append(dirs, filepath.Join(b.dir(p.name), "record"))
	}
	return dirs
}

// Ready waits until all members say that clients may come.
func (b *Bench) Ready(ctx context.Context) error {
	for i, p := range b.all {
		for {
			req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s.%d:9000/ready", b.net, 1+i), nil)
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.name, ctx.Err())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// Requests is the clients' history so far.
func (b *Bench) Requests() []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requests)
}
