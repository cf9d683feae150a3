package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// process is one member of the fleet; it keeps its identity over restarts.
type process struct {
	name     string
	cmd      *exec.Cmd
	exited   chan struct{}
	standIns *standIns
	starts   int
	stopped  bool         // stopped by SIGSTOP
	previous []processRun // processes that were still running when the next one was started
}

// processRun is one operating system process of a member.
type processRun struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a member's process. The previous one may still be running: this tests an upgrade, or two processes of one
// member started by mistake.
func (b *Bench) start(p *process) error {
	dir := b.dir(p.name)
	p.starts++
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("log.%d", p.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(b.options.Binary)
	cmd.Env = []string{"PROXY_CONFIG=" + filepath.Join(dir, "config.json"), "TMPDIR=" + dir, "RAVENDALE_FILE=" + filepath.Join(dir, "fleet.xml"),
		"RAVENDALE_CLOCK_FILE=" + filepath.Join(dir, "clock")}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit reason is in its log, or follows from the script
		_ = log.Close()
		close(exited)
	}()
	if p.running() {
		p.previous = append(p.previous, processRun{p.cmd, p.exited})
	}
	p.cmd, p.exited, p.stopped = cmd, exited, false
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

// killAll kills all running processes of a member and waits for their exit.
func (p *process) killAll() {
	for _, r := range append(p.previous, processRun{p.cmd, p.exited}) {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill() // it may have exited already
			<-r.exited
		}
	}
}
