// Package fleettest is the bench for processes: it starts several real processes of the program with stand-in discovery,
// servers and clients, puts a fault proxy on every link between them, and plays a script of faults. What happened is kept, for
// checkers that decide: the records (package audit) and the clients' history. A fault that never took effect is an error.
//
// All of it is on loopback addresses, 127.0.0.0/8.
package fleettest

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/agent"
	"ravendale/balancer/frames"

	"golang.org/x/sys/unix"
)

// Options say what a bench plays with.
type Options struct {
	Binary  string // the program
	Dir     string // for files, the bench's own
	Members int
	Alone   string        // mark or stop
	ShutOut string        // wait or exit
	Beat    time.Duration // 50 ms if 0
	Trust   time.Duration // 600 ms if 0
	Record  int64         // bytes, the program's own if 0
	Seed    uint64
	Every   time.Duration // between two requests of a client, 10 ms if 0
	Off     bool          // no fleet: for comparisons
	Direct  bool          // no proxies on the links: for many members
	Log     func(format string, args ...any)
}

// Patience is how long an awaited event may take: far above what it takes, for machines that are busy.
const Patience = 30 * time.Second

// Bench is one play.
type Bench struct {
	o      Options
	net    string // its part of the loopback addresses
	keys   frames.Keys
	all    []*process
	links  map[[2]string]*proxy // from, to
	dirty  []*expect            // faults whose effect is still to be seen
	mu     sync.Mutex
	asked  []Asked
	stop   context.CancelFunc
	asking sync.WaitGroup
	began  time.Time
	Events []Event
}

// Event is one line of the script as it was carried out.
type Event struct {
	At   time.Time
	Line string
}

// expect is a fault that was put on a link, and what the proxy had counted then.
type expect struct {
	p    *proxy
	way  int
	had  int64
	line string
}

// process is one member, over its restarts.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	side   *side
	starts int
	stuck  bool  // stopped by SIGSTOP
	before []run // processes that were there when the next one was started
}

// run is one process.
type run struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// New lays a bench out; Close ends it.
func New(o Options) (*Bench, error) {
	if o.Beat == 0 {
		o.Beat = 50 * time.Millisecond
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

const settings = `{"balancers": 1, "me": 0, "dcs": ["here"], "locality": "here", "host-types": ["toy"], "discovery": "ask",
  "ceilings": {"attempts-cap": 6, "connect-timeout-us": 250000, "idle-close-us": 5000000, "may-cancel": true,
    "may-duplicate": true, "retry-after": true, "max-retry-after-us": 2000000},
  "rules": {"ask-every-us": 10000000, "cold-from": 0.13, "cold-us": 24000000, "fall-multiple": 3.0, "fall-us": 2000000,
    "grace-to-answer-us": 8000, "stop-sending-within-us": 750000},
  "specifics": {"class-kind": [-1], "class-stretch": [2.0], "tells-start": false, "progress-us": 0}, "tick-us": 2000,
  "request-classes": [{"name": "saldo", "effect": "idempotent", "aim-us": 5000000, "give-up-us": 5000000, "importance": 3.0, "late-worth": 0.25}]}`

// files writes what a member is started with.
func (b *Bench) files(i int) error {
	p := b.all[i]
	if err := os.MkdirAll(filepath.Join(b.dir(p.name), "record"), 0o755); err != nil {
		return err
	}
	text := fmt.Sprintf(`<ravendale><log format="json"/><fleet name=%q listen=%q dir=%q keys=%q beat="%dms" trust="%dms" span="200ms"`, p.name, b.address(i),
		filepath.Join(b.dir(p.name), "record"), filepath.Join(b.o.Dir, "keys"), b.o.Beat.Milliseconds(), b.o.Trust.Milliseconds())
	for name, value := range map[string]string{"alone": b.o.Alone, "shut-out": b.o.ShutOut} {
		if value != "" {
			text += fmt.Sprintf(" %s=%q", name, value)
		}
	}
	if b.o.Record > 0 {
		text += fmt.Sprintf(` record="%d"`, b.o.Record)
	}
	text += ">"
	for j, other := range b.all {
		addr := b.address(j)
		if i != j && !b.o.Direct {
			addr = fmt.Sprintf("%s.%d:%d", b.net, 1+i, 10000+j)
		}
		text += fmt.Sprintf(`<member name=%q address=%q/>`, other.name, addr)
	}
	text += "</fleet></ravendale>"
	if b.o.Off {
		text = `<ravendale><log format="json"/></ravendale>`
	}
	if err := os.WriteFile(filepath.Join(b.dir(p.name), "fleet.xml"), []byte(text), 0o600); err != nil {
		return err
	}
	return b.config(i, settings)
}

func (b *Bench) config(i int, settings string) error {
	text := fmt.Sprintf(`{"name": %q, "listen": "%s.%d:9000", "discovery": "%s.%d:8500", "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"seq": 0, "whole": true, "hosts": []}, "settings": %s}`,
		b.all[i].name, b.net, 1+i, b.net, 1+i, settings)
	return os.WriteFile(filepath.Join(b.dir(b.all[i].name), "config.json"), []byte(text), 0o600)
}

// start starts a member's process. The one before may still run: then it is an upgrade, or two by mistake.
func (b *Bench) start(p *process) error {
	dir := b.dir(p.name)
	p.starts++
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("log.%d", p.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(b.o.Binary)
	cmd.Env = []string{"PROXY_CONFIG=" + filepath.Join(dir, "config.json"), "TMPDIR=" + dir, "RAVENDALE_FILE=" + filepath.Join(dir, "fleet.xml"),
		"RAVENDALE_CLOCK_FILE=" + filepath.Join(dir, "clock")}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is in its log and in who asked for it
		_ = log.Close()
		close(exited)
	}()
	if p.running() {
		p.before = append(p.before, run{p.cmd, p.exited})
	}
	p.cmd, p.exited, p.stuck = cmd, exited, false
	return nil
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end kills what still runs of a member.
func (p *process) end() {
	for _, r := range append(p.before, run{p.cmd, p.exited}) {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill() // it may have ended
			<-r.exited
		}
	}
}

// Close ends everything that the bench started.
func (b *Bench) Close() {
	if b.stop != nil {
		b.stop()
		b.asking.Wait()
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

// Run carries out a script: a line each, # begins a comment. Its words:
//
//	start all|NAMES [empty|old]        empty: without its disk; old: with the disk that was saved
//	save NAMES                         keep a copy of the disk
//	await acts|shut|marked|dead NAMES  standing as they tell (who acts votes too), or the process has ended
//	await epoch N NAMES                what they act under
//	await NAME sees STATE NAMES        how a member sees others
//	await told NAME N                  another's record says that its record is as far as its adoption of that epoch
//	roll-out N floor=F [within=D] [build=B] [settings=JSON] via NAME [refused]
//	cut A>B, cut A|B, heal             one direction (lists of names), both, or all well again
//	delay A>B D, corrupt A>B, duplicate A>B, reset A>B
//	kill, stop, cont, term NAMES       SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	full, free NAMES                   its disk takes nothing more, or takes all again
//	hup NAMES [bad]                    SIGHUP, with a configuration that is whole, or not
//	clock NAME MS                      its wall clock is off by so much from now on
//	load on|off                        clients
//	pass D                             let time go by: never what a verdict rests on
func (b *Bench) Run(script string) error {
	for i, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		b.Events = append(b.Events, Event{time.Now(), strings.Join(words, " ")})
		b.o.Log("%6.2f s  %s", time.Since(b.began).Seconds(), strings.Join(words, " "))
		if err := b.line(words); err != nil {
			return fmt.Errorf("line %d, %q: %w", i+1, strings.TrimSpace(line), err)
		}
	}
	return nil
}

var errWords = errors.New("too few words, or one that is none")

func (b *Bench) line(words []string) error {
	arg := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch words[0] {
	case "await":
		return b.await(words[1:])
	case "roll-out":
		return b.rollOut(words[1:])
	case "cut", "delay", "corrupt", "duplicate", "reset":
		return b.fault(words)
	case "heal":
		return b.heal()
	case "pass":
		d, err := time.ParseDuration(arg(1))
		time.Sleep(d)
		return err
	case "load":
		return b.load(arg(1) == "on")
	case "clock":
		return os.WriteFile(filepath.Join(b.dir(arg(1)), "clock"), []byte(arg(2)), 0o600)
	}
	some, err := b.pick(arg(1))
	if err != nil {
		return err
	}
	for _, p := range some {
		if err := b.act(words[0], p, arg(2)); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func (b *Bench) act(verb string, p *process, how string) error {
	record := filepath.Join(b.dir(p.name), "record")
	switch verb {
	case "start":
		switch how {
		case "empty":
			if err := b.awaitLaterSecond(record); err != nil {
				return err
			}
			if err := os.RemoveAll(record); err != nil {
				return err
			}
		case "old":
			if err := os.RemoveAll(record); err != nil {
				return err
			}
			if err := os.CopyFS(record, os.DirFS(record+".saved")); err != nil {
				return err
			}
		}
		return b.start(p)
	case "save":
		if err := os.RemoveAll(record + ".saved"); err != nil {
			return err
		}
		return copyLive(record+".saved", record)
	case "hup":
		text := settings
		if how == "bad" {
			text = `{"balancers": "one"}`
		}
		if err := b.config(b.index(p.name), text); err != nil {
			return err
		}
		return p.cmd.Process.Signal(syscall.SIGHUP)
	case "full", "free":
		limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
		if verb == "full" {
			limit.Cur = 1 // no file grows beyond a byte
		}
		return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	case "kill", "stop", "cont", "term":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "term": syscall.SIGTERM}[verb]
		if !p.running() {
			return errors.New("its process has ended already")
		}
		p.stuck = verb == "stop"
		if err := p.cmd.Process.Signal(sig); err != nil || verb != "kill" {
			return err
		}
		<-p.exited
		return nil
	}
	return fmt.Errorf("%w: %s", errWords, verb)
}

// copyLive copies a folder whose files may be replaced meanwhile.
func copyLive(to, from string) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	list, err := os.ReadDir(from)
	for _, f := range list {
		text, readErr := os.ReadFile(filepath.Join(from, f.Name()))
		if errors.Is(readErr, fs.ErrNotExist) {
			continue
		}
		err = errors.Join(err, readErr, os.WriteFile(filepath.Join(to, f.Name()), text, 0o600))
	}
	return err
}

// until waits for an event, and says what was there instead.
func (b *Bench) until(holds func() (bool, string)) error {
	last := ""
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ok, seen := holds()
		if ok {
			return nil
		}
		last = seen
	}
	return fmt.Errorf("it never came; last: %s", last)
}

func (b *Bench) await(words []string) error {
	if len(words) < 2 {
		return errWords
	}
	if len(words) == 4 && words[1] == "sees" {
		others, err := b.pick(words[3])
		if err != nil {
			return err
		}
		return b.until(func() (bool, string) {
			s, err := b.Status(words[0])
			if err != nil {
				return false, err.Error()
			}
			for _, o := range others {
				if got := s.Peers[o.name]; string(got.State) != words[2] {
					return false, fmt.Sprintf("%s is %+v", o.name, got)
				}
			}
			return true, ""
		})
	}
	if len(words) == 3 && words[0] == "told" {
		return b.awaitTold(words[1], words[2])
	}
	some, err := b.pick(words[len(words)-1])
	if err != nil {
		return err
	}
	number := uint64(0)
	if words[0] == "epoch" {
		if number, err = strconv.ParseUint(words[1], 10, 64); err != nil {
			return err
		}
	}
	for _, p := range some {
		err := b.until(func() (bool, string) {
			if words[0] == "dead" {
				return !p.running(), "it runs"
			}
			s, err := b.Status(p.name)
			if err != nil {
				return false, err.Error()
			}
			seen := fmt.Sprintf("%+v, acting under %v, in force %v, %+v", s.Standing, s.Acting, s.Force, s.Peers)
			switch words[0] {
			case "acts":
				return s.Standing == fleet.Standing{Acts: true} && s.Votes, seen
			case "marked":
				return s.Standing.Marked, seen
			case "shut":
				return !s.Standing.Acts, seen
			case "epoch":
				return s.Acting.Number == number, seen
			}
			return false, "there is no such event"
		})
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// awaitLaterSecond waits until an empty disk begins with an incarnation above those of a record: it is the second of its start.
func (b *Bench) awaitLaterSecond(record string) error {
	files, err := filepath.Glob(filepath.Join(record, "*.audit"))
	if err != nil {
		return err
	}
	newest := int64(0)
	for _, file := range files {
		words := strings.Split(filepath.Base(file), ".") // member, incarnation, number
		if incarnation, err := strconv.ParseInt(words[1], 10, 64); err == nil {
			newest = max(newest, incarnation)
		}
	}
	return b.until(func() (bool, string) { return time.Now().Unix() > newest, fmt.Sprintf("it is %d still", newest) })
}

// awaitTold waits until another member's record says that a member's record is as far as its adoption of an epoch.
func (b *Bench) awaitTold(member, number string) error {
	epoch, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return err
	}
	return b.until(func() (bool, string) {
		records, err := audit.Read(b.Records()...)
		if err != nil {
			return false, err.Error()
		}
		return records.AdoptionWitnessed(member, epoch), "no record says so"
	})
}

func (b *Bench) rollOut(words []string) error {
	if len(words) < 2 {
		return errWords
	}
	e := fleet.Epoch{Within: b.o.Trust}
	var via string
	refused := false
	var err error
	if e.Number, err = strconv.ParseUint(words[0], 10, 64); err != nil {
		return err
	}
	for i, word := range words {
		name, value, _ := strings.Cut(word, "=")
		var bad error
		switch name {
		case "floor":
			e.Floor, bad = strconv.ParseUint(value, 10, 64)
		case "within":
			e.Within, bad = time.ParseDuration(value)
		case "build":
			e.Build, bad = strconv.Atoi(value)
		case "settings":
			e.Settings = json.RawMessage(value)
		case "via":
			via = words[i+1]
		case "refused":
			refused = true
		}
		err = errors.Join(err, bad)
	}
	packed, packErr := fleet.Pack(e)
	if refused && err == nil && packErr != nil {
		return nil
	}
	if err = errors.Join(err, packErr); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = agent.Call(ctx, b.address(b.index(via)), b.keys, "roll-out", packed.Content)
	if refused {
		if err == nil {
			return errors.New("it was taken")
		}
		return nil
	}
	return err
}

// fault puts one on links: "a,b>c" is the direction from a and b to c, "a,b|c" both.
func (b *Bench) fault(words []string) error {
	if len(words) < 2 {
		return errWords
	}
	both := strings.Contains(words[1], "|")
	left, right, found := strings.Cut(strings.Replace(words[1], "|", ">", 1), ">")
	from, err := b.pick(left)
	to, err2 := b.pick(right)
	if err = errors.Join(err, err2); err != nil || !found {
		return errors.Join(errWords, err)
	}
	f := fault{Cut: words[0] == "cut", Corrupt: words[0] == "corrupt", Duplicate: words[0] == "duplicate", Reset: words[0] == "reset"}
	if words[0] == "delay" {
		if len(words) < 3 {
			return errWords
		}
		if f.Delay, err = time.ParseDuration(words[2]); err != nil {
			return err
		}
	}
	put := func(x, y string) { // bytes from x to y go on the link that x made, and come back on the one that y made
		for _, at := range []struct {
			p   *proxy
			way int
		}{{b.links[[2]string{x, y}], out}, {b.links[[2]string{y, x}], back}} {
			if at.p != nil {
				at.p.set(at.way, f)
				b.dirty = append(b.dirty, &expect{at.p, at.way, at.p.hits[at.way].Load(), strings.Join(words, " ")})
			}
		}
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			put(x.name, y.name)
			if both {
				put(y.name, x.name)
			}
		}
	}
	return nil
}

// heal ends all faults of links. Those that did nothing to a single byte of a line are an error: the test would prove nothing.
func (b *Bench) heal() error {
	took := make(map[string]bool)
	for _, e := range b.dirty {
		took[e.line] = took[e.line] || e.p.hits[e.way].Load() > e.had
	}
	b.dirty = nil
	for _, p := range b.links {
		p.set(out, fault{})
		p.set(back, fault{})
	}
	for line, did := range took {
		if !did {
			return fmt.Errorf("the fault %q never took effect", line)
		}
	}
	return nil
}

func (b *Bench) load(on bool) error {
	if !on {
		if b.stop == nil {
			return errors.New("it is off")
		}
		b.stop()
		b.asking.Wait()
		b.stop = nil
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	for i, p := range b.all {
		b.asking.Go(func() {
			client(ctx, i, p.name, fmt.Sprintf("%s.%d:9000", b.net, 1+i), b.o.Every, func(a Asked) {
				b.mu.Lock()
				b.asked = append(b.asked, a)
				b.mu.Unlock()
			})
		})
	}
	return nil
}

// Finish ends the members as planned, and returns what their records and the clients say. A script whose last faults were not
// healed has them judged here.
func (b *Bench) Finish() (*audit.Audit, []Asked, error) {
	err := b.heal()
	if b.stop != nil {
		err = errors.Join(err, b.load(false))
	}
	for _, p := range b.all {
		if p.stuck && p.running() {
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
	return a, b.asked, errors.Join(err, readErr)
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

// Usage is what all members' processes have used so far.
type Usage struct {
	CPU  time.Duration
	RSS  int64 // bytes, now
	Told int64 // bytes of words, as the members count them
}

// Usage measures.
func (b *Bench) Usage() (u Usage) {
	for _, p := range b.all {
		pid := p.cmd.Process.Pid
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
			_, rest, _ := strings.Cut(string(text), ") ")
			if words := strings.Fields(rest); len(words) > 12 {
				for _, word := range words[11:13] { // utime, stime, in hundredths of a second
					ticks, _ := strconv.ParseInt(word, 10, 64)
					u.CPU += time.Duration(ticks) * 10 * time.Millisecond
				}
			}
		}
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
			if words := strings.Fields(string(text)); len(words) > 1 {
				pages, _ := strconv.ParseInt(words[1], 10, 64)
				u.RSS += pages * int64(os.Getpagesize())
			}
		}
		if s, err := b.Status(p.name); err == nil && !b.o.Off {
			for _, peer := range s.Peers {
				u.Told += peer.Bytes
			}
		}
	}
	return u
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

// Asked is the clients' history so far.
func (b *Bench) Asked() []Asked {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.asked)
}
