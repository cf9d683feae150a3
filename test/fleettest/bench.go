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

// Options configure a bench.
type Options struct {
	Binary          string // path of the program under test
	Dir             string // working folder, used by this bench only
	Members         int
	Alone           string        // value of the fleet setting alone, mark or stop; empty: the program's default
	ShutOut         string        // value of the fleet setting shut-out, wait or exit; empty: the program's default
	Heartbeat       time.Duration // default 50 ms
	Trust           time.Duration // default 600 ms
	Record          int64         // value of the fleet setting record in bytes; 0: the program's default
	Seed            uint64
	RequestInterval time.Duration // interval between a client's requests, default 10 ms
	WithoutFleet    bool          // run the members without a fleet, for comparisons
	Direct          bool          // connect members without proxies, for large fleets
	Log             func(format string, args ...any)
}

// Bench is one fleet of processes with its stand-ins and fault proxies.
type Bench struct {
	options       Options
	addressPrefix string // first three bytes of the bench's loopback addresses
	keys          frames.Keys
	members       []*process
	links         map[[2]string]*proxy // by the names of the dialling and the dialled member
	pendingFaults []*pendingFault      // faults whose effect heal still has to check
	mu            sync.Mutex
	requests      []Request
	stopLoad      context.CancelFunc
	clients       sync.WaitGroup
	startedAt     time.Time
	Events        []Event
}

// New prepares a bench: its files, proxies and stand-ins. Run starts the members. Close stops everything.
func New(o Options) (*Bench, error) {
	if o.Heartbeat == 0 {
		o.Heartbeat = 50 * time.Millisecond
	}
	if o.Trust == 0 {
		o.Trust = 600 * time.Millisecond
	}
	if o.RequestInterval == 0 {
		o.RequestInterval = 10 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	b := &Bench{options: o, links: make(map[[2]string]*proxy), addressPrefix: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)), startedAt: time.Now()}
	secret := make([]byte, 16)
	for i := range secret {
		secret[i] = byte(rand.Uint32())
	}
	b.keys = frames.Keys{{ID: 1, Secret: secret}}
	err := os.WriteFile(filepath.Join(o.Dir, "keys"), []byte("1 "+hex.EncodeToString(secret)+"\n"), 0o600)
	for i := range o.Members {
		b.members = append(b.members, &process{name: memberName(i)})
	}
	for i, from := range b.members {
		for j, to := range b.members {
			if i != j && err == nil && !o.WithoutFleet && !o.Direct {
				b.links[[2]string{from.name, to.name}], err = newProxy(fmt.Sprintf("%s.%d:%d", b.addressPrefix, 1+i, 10000+j), b.address(j))
			}
		}
		if err == nil {
			from.standIns, err = newStandIns(fmt.Sprintf("%s.%d:9000", b.addressPrefix, 1+i), fmt.Sprintf("%s.%d:8500", b.addressPrefix, 1+i), fmt.Sprintf("%s.%d:9101", b.addressPrefix, 1+i))
		}
		if err == nil {
			err = b.writeFiles(i)
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

func (b *Bench) address(i int) string { return fmt.Sprintf("%s.%d:7000", b.addressPrefix, 1+i) }

func (b *Bench) dir(name string) string { return filepath.Join(b.options.Dir, name) }

// Close stops everything that the bench started.
func (b *Bench) Close() {
	if b.stopLoad != nil {
		b.stopLoad()
		b.clients.Wait()
		b.stopLoad = nil
	}
	for _, p := range b.members {
		p.killAll()
		if p.standIns != nil {
			p.standIns.close()
		}
	}
	for _, l := range b.links {
		if l != nil {
			l.close()
		}
	}
}

// Status requests a member's status over a direct connection that no fault affects.
func (b *Bench) Status(name string) (*agent.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return agent.Call(ctx, b.address(b.index(name)), b.keys, "status", nil)
}

func (b *Bench) index(name string) int {
	return slices.IndexFunc(b.members, func(p *process) bool { return p.name == name })
}

// processesNamed returns the members in a comma-separated list of names, or all members for "all".
func (b *Bench) processesNamed(list string) (selected []*process, err error) {
	if list == "all" {
		return b.members, nil
	}
	for _, name := range strings.Split(list, ",") {
		i := b.index(name)
		if i < 0 {
			return nil, fmt.Errorf("unknown member %q", name)
		}
		selected = append(selected, b.members[i])
	}
	return selected, nil
}

func (b *Bench) setLoad(on bool) error {
	if !on {
		if b.stopLoad == nil {
			return errors.New("load is already off")
		}
		b.stopLoad()
		b.clients.Wait()
		b.stopLoad = nil
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stopLoad = cancel
	for i, p := range b.members {
		b.clients.Go(func() {
			client(ctx, i, p.name, fmt.Sprintf("%s.%d:9000", b.addressPrefix, 1+i), b.options.RequestInterval, func(a Request) {
				b.mu.Lock()
				b.requests = append(b.requests, a)
				b.mu.Unlock()
			})
		})
	}
	return nil
}

// Finish stops the members with SIGTERM and returns the audit of their records and the clients' requests. It also ends the
// faults that the script left in place, and returns an error if one of them affected no data.
func (b *Bench) Finish() (*audit.Audit, []Request, error) {
	err := b.heal()
	if b.stopLoad != nil {
		err = errors.Join(err, b.setLoad(false))
	}
	for _, p := range b.members {
		if p.stopped && p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		for _, r := range append(p.previous, processRun{p.cmd, p.exited}) {
			if r.cmd != nil {
				_ = r.cmd.Process.Signal(syscall.SIGTERM) // it may have exited already
			}
		}
	}
	for _, p := range b.members {
		if p.cmd != nil {
			select {
			case <-p.exited:
			case <-time.After(AwaitTimeout):
				err = errors.Join(err, fmt.Errorf("member %s has not stopped after SIGTERM", p.name))
			}
		}
	}
	a, readErr := audit.Read(b.Records()...)
	b.mu.Lock()
	defer b.mu.Unlock()
	return a, b.requests, errors.Join(err, readErr)
}

// CopyFiles copies the bench's files, including logs and records, to a folder.
func (b *Bench) CopyFiles(to string) error {
	return filepath.WalkDir(b.options.Dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() { // the folder also contains the sockets used for hand-overs
			return err
		}
		rel, err := filepath.Rel(b.options.Dir, path)
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

// Records returns the folders of the members' records.
func (b *Bench) Records() (dirs []string) {
	for _, p := range b.members {
		dirs = append(dirs, filepath.Join(b.dir(p.name), "record"))
	}
	return dirs
}

// Ready waits until all members report that they are ready for clients.
func (b *Bench) Ready(ctx context.Context) error {
	for i, p := range b.members {
		for {
			req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s.%d:9000/ready", b.addressPrefix, 1+i), nil)
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
				return fmt.Errorf("member %s is not ready: %w", p.name, ctx.Err())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// Requests returns the clients' requests so far.
func (b *Bench) Requests() []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requests)
}
