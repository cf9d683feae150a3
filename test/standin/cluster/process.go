package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ravendale/cluster/settings"
)

// ErrNotRunning is wrapped by errors of signals to a process that does not run.
var ErrNotRunning = errors.New("it does not run")

// Process is one program on one machine, over all its incarnations.
type Process struct {
	cluster  *Cluster
	machine  machine
	program  string
	path     string // of the settings file
	data     string // of the data folder
	log      string // of the log file
	programs string // folder that the program is started from
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{} // closed when the incarnation is over
	exit     error
	expected bool // the incarnation was ended by a fault or a stop
	surprise []string
}

// Name of the process: program and machine.
func (p *Process) Name() string { return p.program + " on " + p.machine.name }

// Node is the name of its machine.
func (p *Process) Node() string { return p.machine.name }

// IP of its machine.
func (p *Process) IP() string { return p.machine.ip }

// LogPath is where its standard error goes.
func (p *Process) LogPath() string { return p.log }

// DataPath is its data folder.
func (p *Process) DataPath() string { return p.data }

// RunFrom has the next start take the program from another folder, as an upgrade does.
func (p *Process) RunFrom(programs string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.programs = programs
}

// PID is the id of the operating system's process, or 0.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Start begins an incarnation with the settings that are current. Bootstrap is for the first start of the whole cluster.
func (p *Process) Start(bootstrap bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return fmt.Errorf("cluster: %s runs already", p.Name())
	}
	if err := os.WriteFile(p.path, []byte(p.cluster.settings(p, bootstrap)), 0o644); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := os.MkdirAll(p.data, 0o755); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(p.programs, p.program))
	command.Env = []string{settings.PathVariable + "=" + p.path, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("cluster: %s: %w", p.Name(), err)
	}
	p.command, p.exited, p.expected = command, make(chan struct{}), false
	go p.wait(command, p.exited)
	return nil
}

func (p *Process) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command, p.exit = nil, err
	if !p.expected {
		p.surprise = append(p.surprise, fmt.Sprintf("%s ended by itself: %v", p.Name(), command.ProcessState))
	}
	close(exited)
}

// signal sends a signal to the incarnation under way, and returns what is closed at its end.
func (p *Process) signal(signal syscall.Signal, ends bool) (exited chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return nil, fmt.Errorf("cluster: %s: %w", p.Name(), ErrNotRunning)
	}
	if ends {
		p.expected = true
	}
	return p.exited, p.command.Process.Signal(signal)
}

// Kill ends the process by SIGKILL.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL, true)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() error {
	_, err := p.signal(syscall.SIGSTOP, false)
	return err
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error {
	_, err := p.signal(syscall.SIGCONT, false)
	return err
}

// Reload tells the process that its settings file has changed.
func (p *Process) Reload() error {
	_, err := p.signal(syscall.SIGHUP, false)
	return err
}

// Terminate asks the process to end by SIGTERM, and does not wait for that.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM, true)
	return err
}

// Stop asks the process to end by SIGTERM. One that has not ended within the grace is killed, which is an error, as is an exit that
// tells of one.
func (p *Process) Stop(grace time.Duration) error {
	exited, err := p.signal(syscall.SIGTERM, true)
	if err != nil {
		return err
	}
	select {
	case <-exited:
	case <-time.After(grace):
		_ = p.Kill()
		return fmt.Errorf("cluster: %s did not end within %v", p.Name(), grace)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.exit != nil {
		return fmt.Errorf("cluster: %s: %w", p.Name(), p.exit)
	}
	return nil
}

// Wipe empties the data folder of a process that does not run.
func (p *Process) Wipe() error {
	if p.PID() != 0 {
		return fmt.Errorf("cluster: %s runs, and can't lose its disk", p.Name())
	}
	if err := os.RemoveAll(p.data); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// Surprises tells which incarnations ended by themselves.
func (p *Process) Surprises() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string(nil), p.surprise...)
}
