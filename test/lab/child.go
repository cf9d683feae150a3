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

// child is a process of this run.
type child struct {
	cmd    *exec.Cmd
	stdout *bufio.Reader
	stop   io.Closer
	log    *bytes.Buffer
}

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
	c.stdout, c.stop = bufio.NewReader(stdout), in
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	_, err = in.Write(append(text, '\n'))
	return c, err
}

func (c *child) readLine() (string, error) {
	line, err := c.stdout.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", c.cmd.Args[1], err, c.log)
	}
	return line, nil
}

func (c *child) kill() {
	if c.cmd.Process != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// report ends a child and reads what it saw.
func (c *child) report(v any) error {
	_ = c.stop.Close()
	line, err := c.readLine()
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(line), v)
}

// cpuOf is the processor time that children used so far; one that has ended counts as none.
func cpuOf(children []*child) (sum time.Duration) {
	for _, c := range children {
		if u, err := usage(c.cmd.Process.Pid); err == nil {
			sum += u.user + u.system
		}
	}
	return sum
}
