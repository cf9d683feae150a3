package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"time"
)

// child is a process that the runner started.
type child struct {
	cmd    *exec.Cmd
	stdout *bufio.Reader
	stdin  io.Closer
	log    *bytes.Buffer
}

// start starts this program with a command and writes its spec to stdin as one line of JSON. The
// child ends when its stdin is closed.
func (r *Runner) start(verb string, spec any) (*child, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(r.Self, verb), log: &bytes.Buffer{}}
	c.cmd.Stderr = c.log
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.stdout, c.stdin = bufio.NewReader(stdout), in
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	_, err = in.Write(append(text, '\n'))
	return c, err
}

func (c *child) readLine() (string, error) {
	line, err := c.stdout.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("child process %s wrote no line: %w: %s", c.cmd.Args[1], err, c.log)
	}
	return line, nil
}

func (c *child) kill() {
	if c.cmd.Process != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// stopAndReadReport closes the child's stdin, which ends it, and decodes the report that it writes.
func (c *child) stopAndReadReport(v any) error {
	_ = c.stdin.Close()
	line, err := c.readLine()
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(line), v)
}

// cpuTime returns the processor time that the children have used so far. A child that has exited counts as 0.
func cpuTime(children []*child) (sum time.Duration) {
	for _, c := range children {
		if u, err := readUsage(c.cmd.Process.Pid); err == nil {
			sum += u.user + u.system
		}
	}
	return sum
}
