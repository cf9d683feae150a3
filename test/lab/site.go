package lab

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// site is where the processes of the scheduler run that is measured, one after the other.
type site struct {
	runner      *Runner
	dir         string
	variant     *Variant
	adminPrefix string       // of the processes' admin endpoints: two digits follow
	listener    net.Listener // inherited by each process
	all         []*child     // the newest last
}

func (s *site) kill() {
	for _, c := range s.all {
		c.kill()
	}
}

// start starts a process beside those that are there.
func (s *site) start(cores int) error {
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
		"PROXY_MANAGEMENT=" + s.adminAddress(len(s.all))}
	if s.variant.GoGC != "" {
		c.cmd.Env = append(c.cmd.Env, "GOGC="+s.variant.GoGC)
	}
	c.cmd.Stderr, c.cmd.Stdout = c.log, c.log
	if err := c.cmd.Start(); err != nil {
		return err
	}
	s.all = append(s.all, c)
	return nil
}

func (s *site) adminAddress(process int) string { return s.adminPrefix + strconv.Itoa(10+process) }

// call calls the admin endpoint of the newest process, and takes nothing but success.
func (s *site) call(method, path string) error {
	req, err := http.NewRequest(method, "http://"+s.adminAddress(len(s.all)-1)+path, nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}

// act does one thing; out is called with a node once it is out by hand.
func (s *site) act(a *ActXML, node string, removed func(node string)) error {
	switch a.Do {
	case "reload":
		return s.all[len(s.all)-1].cmd.Process.Signal(syscall.SIGHUP)
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
		removed(node)
		time.Sleep(a.For + 50*time.Millisecond)
		return s.call("POST", "/_workers/attach/"+node)
	}
	old := s.all[len(s.all)-1]
	if err := s.start(a.Cores); err != nil {
		return err
	}
	for until := time.Now().Add(readyWithin); ; time.Sleep(10 * time.Millisecond) {
		if s.call("GET", "/_ready") == nil {
			return old.cmd.Process.Signal(syscall.SIGTERM)
		}
		if time.Now().After(until) {
			return fmt.Errorf("the new version is not ready: %s", s.all[len(s.all)-1].log)
		}
	}
}
