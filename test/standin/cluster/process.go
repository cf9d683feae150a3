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

// ErrNotRunning is wrapped by the errors for signals to a process that does not run.
var ErrNotRunning = errors.New("process is not running")

// Process is one program on one machine, across all its restarts. Each run of it is an incarnation.
type Process struct {
	cluster         *Cluster
	machine         machine
	program         string
	settingsPath    string // of the settings file
	dataPath        string // of the data folder
	logPath         string // of the log file
	programs        string // folder of the program
	mutex           sync.Mutex
	command         *exec.Cmd
	exited          chan struct{} // closed when the incarnation has ended
	exitErr         error
	expected        bool // the end of the incarnation was requested
	unexpectedExits []string
}

// Name returns the program and the machine of the process.
func (p *Process) Name() string { return p.program + " on " + p.machine.name }

// Node returns the name of its machine.
func (p *Process) Node() string { return p.machine.name }

// IP returns the address of its machine.
func (p *Process) IP() string { return p.machine.ip }

// LogPath returns the file that standard output and standard error go to.
func (p *Process) LogPath() string { return p.logPath }

// DataPath returns its data folder.
func (p *Process) DataPath() string { return p.dataPath }

// RunFrom sets the folder from which the next start takes the program, as an upgrade does.
func (p *Process) RunFrom(programs string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.programs = programs
}

// PID returns the process id, or 0 if the process does not run.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Start starts an incarnation with the current settings. bootstrap is set for the first start of the whole cluster.
func (p *Process) Start(bootstrap bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return fmt.Errorf("cluster: %s is already running", p.Name())
	}
	if err := os.WriteFile(p.settingsPath, []byte(p.cluster.settings(p, bootstrap)), 0o644); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := os.MkdirAll(p.dataPath, 0o755); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(p.programs, p.program))
	command.Env = []string{settings.PathVariable + "=" + p.settingsPath, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH")}
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
	p.command, p.exitErr = nil, err
	if !p.expected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended unexpectedly: %v", p.Name(), command.ProcessState))
	}
	close(exited)
}

// signal sends a signal to the current incarnation, and returns a channel that is closed at its end. ends tells whether
// the signal is to end it.
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

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL, true)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error {
	_, err := p.signal(syscall.SIGSTOP, false)
	return err
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error {
	_, err := p.signal(syscall.SIGCONT, false)
	return err
}

// Reload makes the process read its settings file again, by SIGHUP.
func (p *Process) Reload() error {
	_, err := p.signal(syscall.SIGHUP, false)
	return err
}

// Terminate requests the end of the process with SIGTERM, and does not wait for it.
func (p *Process) Terminate() error {
	_, err := p.signal(syscall.SIGTERM, true)
	return err
}

// Stop requests the end of the process with SIGTERM and waits for it. It returns an error if the process had to be
// killed after the grace period or exited with a non-zero status.
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
	if p.exitErr != nil {
		return fmt.Errorf("cluster: %s: %w", p.Name(), p.exitErr)
	}
	return nil
}

// Wipe removes the data folder of a process that does not run.
func (p *Process) Wipe() error {
	if p.PID() != 0 {
		return fmt.Errorf("cluster: %s is running, its disk can't be wiped", p.Name())
	}
	if err := os.RemoveAll(p.dataPath); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// UnexpectedExits describes the incarnations that ended by themselves.
func (p *Process) UnexpectedExits() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string(nil), p.unexpectedExits...)
}
