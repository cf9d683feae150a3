package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"ravendale/cluster/settings"
	"ravendale/test/standin/cluster"
)

// storeProcess is a store on a machine that was added to the cluster.
type storeProcess struct{ command *exec.Cmd }

// startReplacement starts an empty store in the place of one that is gone, under another name and address.
func (r *rig) startReplacement(old *cluster.Process, ip string) error {
	path := filepath.Join(r.folder, old.Node()+"."+cluster.ProgramStore+".conf")
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name := old.Node() + "-new"
	base := filepath.Join(r.folder, name)
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		key, value, _ := strings.Cut(line, "=")
		switch key {
		case "nodeName":
			value = name
		case "ip":
			value = ip
		case "dataDir":
			value = base + ".data"
		case "bootstrap":
			value = "false"
		}
		lines = append(lines, key+"="+value)
	}
	if err := os.MkdirAll(base+".data", 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(base+".conf", []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(r.programs, cluster.ProgramStore))
	command.Env = []string{settings.PathVariable + "=" + base + ".conf", "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("the replacement did not start: %w", err)
	}
	r.extra = append(r.extra, &storeProcess{command})
	return nil
}

func (p *storeProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}
