package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// process is one member, over its restarts.
type process struct {
	name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	side    *side
	starts  int
	stopped bool  // stopped by SIGSTOP
	before  []run // processes that were there when the next one was started
}

// run is one process.
type run struct {
	cmd    *exec.Cmd
	exited chan struct{}
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

// end kills what still runs of a member.
func (p *process) end() {
	for _, r := range append(p.before, run{p.cmd, p.exited}) {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill() // it may have ended
			<-r.exited
		}
	}
}
