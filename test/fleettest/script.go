package fleettest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/agent"

	"golang.org/x/sys/unix"
)

// Event is one line of the script as it was carried out.
type Event struct {
	At   time.Time
	Line string
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
		args := strings.Fields(line)
		if len(args) == 0 {
			continue
		}
		b.Events = append(b.Events, Event{time.Now(), strings.Join(args, " ")})
		b.o.Log("%6.2f s  %s", time.Since(b.began).Seconds(), strings.Join(args, " "))
		if err := b.line(args); err != nil {
			return fmt.Errorf("line %d, %q: %w", i+1, strings.TrimSpace(line), err)
		}
	}
	return nil
}

var errUsage = errors.New("too few words, or one that is none")

func (b *Bench) line(args []string) error {
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	switch args[0] {
	case "await":
		return b.await(args[1:])
	case "roll-out":
		return b.rollOut(args[1:])
	case "cut", "delay", "corrupt", "duplicate", "reset":
		return b.fault(args)
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
		if err := b.act(args[0], p, arg(2)); err != nil {
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
		p.stopped = verb == "stop"
		if err := p.cmd.Process.Signal(sig); err != nil || verb != "kill" {
			return err
		}
		<-p.exited
		return nil
	}
	return fmt.Errorf("%w: %s", errUsage, verb)
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

func (b *Bench) rollOut(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	e := fleet.Epoch{Within: b.o.Trust}
	var via string
	refused := false
	var err error
	if e.Number, err = strconv.ParseUint(args[0], 10, 64); err != nil {
		return err
	}
	for i, word := range args {
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
			via = args[i+1]
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
