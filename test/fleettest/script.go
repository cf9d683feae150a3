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

// Event is one script line and the time at which it was run.
type Event struct {
	At   time.Time
	Line string
}

// Run runs a script with one command per line; # begins a comment. NAMES is a comma-separated list of members or "all". The
// commands are:
//
//	start NAMES [empty|old]            empty: on an empty disk; old: on the disk copy made by save
//	save NAMES                         copy the disk
//	await acts|shut|marked|dead NAMES  wait for the standing that the member reports (acts: it also votes), or the process exit
//	await epoch N NAMES                wait until the members act under epoch N
//	await NAME sees STATE NAMES        wait until a member reports the others in a state
//	await told NAME N                  wait until another member's record confirms that NAME's record includes its adoption of epoch N
//	roll-out N floor=F [within=D] [build=B] [settings=JSON] via NAME [refused]    refused: the call must fail
//	cut A>B, cut A|B, heal             blackhole one direction (A and B are NAMES) or both; end the faults of all links
//	delay A>B D, corrupt A>B, duplicate A>B, reset A>B
//	kill, stop, cont, term NAMES       SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	full, free NAMES                   make the disk reject all writes, or accept them again
//	hup NAMES [bad]                    SIGHUP, with a valid or an invalid configuration
//	clock NAME MS                      set the offset of the member's wall clock
//	load on|off                        start or stop the clients
//	pass D                             sleep; no test result may depend on its length
func (b *Bench) Run(script string) error {
	for i, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		args := strings.Fields(line)
		if len(args) == 0 {
			continue
		}
		b.Events = append(b.Events, Event{time.Now(), strings.Join(args, " ")})
		b.options.Log("%6.2f s  %s", time.Since(b.startedAt).Seconds(), strings.Join(args, " "))
		if err := b.runCommand(args); err != nil {
			return fmt.Errorf("line %d, %q: %w", i+1, strings.TrimSpace(line), err)
		}
	}
	return nil
}

var errUsage = errors.New("unknown command or missing argument")

func (b *Bench) runCommand(args []string) error {
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
		return b.applyFault(args)
	case "heal":
		return b.heal()
	case "pass":
		d, err := time.ParseDuration(arg(1))
		time.Sleep(d)
		return err
	case "load":
		return b.setLoad(arg(1) == "on")
	case "clock":
		return os.WriteFile(filepath.Join(b.dir(arg(1)), "clock"), []byte(arg(2)), 0o600)
	}
	selected, err := b.processesNamed(arg(1))
	if err != nil {
		return err
	}
	for _, p := range selected {
		if err := b.runProcessCommand(args[0], p, arg(2)); err != nil {
			return fmt.Errorf("member %s: %w", p.name, err)
		}
	}
	return nil
}

func (b *Bench) runProcessCommand(verb string, p *process, mode string) error {
	recordDir := filepath.Join(b.dir(p.name), "record")
	switch verb {
	case "start":
		switch mode {
		case "empty":
			if err := b.awaitLaterSecond(recordDir); err != nil {
				return err
			}
			if err := os.RemoveAll(recordDir); err != nil {
				return err
			}
		case "old":
			if err := os.RemoveAll(recordDir); err != nil {
				return err
			}
			if err := os.CopyFS(recordDir, os.DirFS(recordDir+".saved")); err != nil {
				return err
			}
		}
		return b.start(p)
	case "save":
		if err := os.RemoveAll(recordDir + ".saved"); err != nil {
			return err
		}
		return copyLive(recordDir+".saved", recordDir)
	case "hup":
		text := settings
		if mode == "bad" {
			text = `{"balancers": "one"}`
		}
		if err := b.writeConfig(b.index(p.name), text); err != nil {
			return err
		}
		return p.cmd.Process.Signal(syscall.SIGHUP)
	case "full", "free":
		limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
		if verb == "full" {
			limit.Cur = 1 // limits each file to one byte, so that writes fail
		}
		return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	case "kill", "stop", "cont", "term":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "term": syscall.SIGTERM}[verb]
		if !p.running() {
			return errors.New("process has already exited")
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

// copyLive copies a folder whose files may be replaced or removed during the copy.
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
	e := fleet.Epoch{Within: b.options.Trust}
	var via string
	refused := false
	var err error
	if e.Number, err = strconv.ParseUint(args[0], 10, 64); err != nil {
		return err
	}
	for i, word := range args {
		name, value, _ := strings.Cut(word, "=")
		var parseErr error
		switch name {
		case "floor":
			e.Floor, parseErr = strconv.ParseUint(value, 10, 64)
		case "within":
			e.Within, parseErr = time.ParseDuration(value)
		case "build":
			e.Build, parseErr = strconv.Atoi(value)
		case "settings":
			e.Settings = json.RawMessage(value)
		case "via":
			via = args[i+1]
		case "refused":
			refused = true
		}
		err = errors.Join(err, parseErr)
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
			return errors.New("roll-out was accepted, want it refused")
		}
		return nil
	}
	return err
}
