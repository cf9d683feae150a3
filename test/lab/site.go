package lab

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"ravendale/balancer/http1"
	"ravendale/cluster/httpclient"
)

// processSet holds the processes of the measured scheduler. An upgrade starts a process and stops the one before it.
type processSet struct {
	runner      *Runner
	dir         string
	variant     *Variant
	adminPrefix string       // host and port of the admin endpoints without the port's last two digits
	listener    net.Listener // inherited by each process
	processes   []*child     // in start order
}

func (s *processSet) kill() {
	for _, c := range s.processes {
		c.kill()
	}
}

// start starts another process and leaves the running ones alone.
func (s *processSet) start(cores int) error {
	binary := s.runner.Binary
	if s.variant.Binary != "" {
		binary = s.variant.Binary
	}
	var args []string
	if cores > 0 {
		args = []string{"serve", "--cores", strconv.Itoa(cores)}
	}
	listener, err := s.listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	c := &child{cmd: exec.Command(binary, args...), log: &bytes.Buffer{}}
	c.cmd.ExtraFiles = []*os.File{listener} // descriptor 3
	c.cmd.Env = []string{"PROXY_CONFIG=" + filepath.Join(s.dir, "config.json"), "PROXY_FD=3", "TMPDIR=" + s.dir,
		"PROXY_MANAGEMENT=" + s.adminAddr(len(s.processes))}
	if s.variant.GoGC != "" {
		c.cmd.Env = append(c.cmd.Env, "GOGC="+s.variant.GoGC)
	}
	c.cmd.Stderr, c.cmd.Stdout = c.log, c.log
	if err := c.cmd.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, c)
	return nil
}

func (s *processSet) adminAddr(process int) string { return s.adminPrefix + strconv.Itoa(10+process) }

// callTimeout limits a connect to the admin endpoint, and the call on it.
const callTimeout = 2 * time.Second

// call sends a request to the admin endpoint of the newest process. A status other than 2xx is an error.
func (s *processSet) call(method, path string) error {
	address := s.adminAddr(len(s.processes) - 1)
	client := httpclient.New(httpclient.Options{
		Address: address, ConnectTimeout: callTimeout, ExchangeTimeout: callTimeout, MaxBody: http1.MaxBody,
	})
	resp, err := client.Do(context.Background(), &httpclient.Request{Method: method, Target: path, Host: address})
	if err != nil {
		return err
	}
	if resp.Status/100 != 2 {
		return fmt.Errorf("admin endpoint %s answered %d", path, resp.Status)
	}
	return nil
}

// act performs an action, and undoes "away" and "hand" after a.For. For "hand" it calls onDetached once node is detached.
func (s *processSet) act(a *ActXML, node string, onDetached func(node string)) error {
	switch a.Do {
	case "reload":
		return s.processes[len(s.processes)-1].cmd.Process.Signal(syscall.SIGHUP)
	case "away":
		if err := s.call("POST", "/_lameduck/on"); err != nil {
			return err
		}
		time.Sleep(a.For)
		return s.call("POST", "/_lameduck/off")
	case "hand":
		if err := s.call("POST", "/_workers/detach/"+node); err != nil {
			return err
		}
		onDetached(node)
		time.Sleep(a.For + 50*time.Millisecond)
		return s.call("POST", "/_workers/attach/"+node)
	}
	old := s.processes[len(s.processes)-1]
	if err := s.start(a.Cores); err != nil {
		return err
	}
	for until := time.Now().Add(readyTimeout); ; time.Sleep(10 * time.Millisecond) {
		if s.call("GET", "/_ready") == nil {
			return old.cmd.Process.Signal(syscall.SIGTERM)
		}
		if time.Now().After(until) {
			return fmt.Errorf("the new version did not become ready in time: %s", s.processes[len(s.processes)-1].log)
		}
	}
}
