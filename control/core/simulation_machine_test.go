package core

import (
	"fmt"
	"strconv"
	"strings"
)

// registerMachine is a machine that holds one number and changes it by compare-and-set. It counts the commands that it
// applies, and reports them to the simulation: all incarnations of all members must apply the same commands in the same
// order.
type registerMachine struct {
	s     *simulation
	value int
	count int
}

// Apply implements Machine. A command consists of a unique name and "read", or "set" and two numbers.
func (r *registerMachine) Apply(command []byte) []byte {
	r.s.applied(r.count, string(command))
	r.count++
	operation, from, to := parseCommand(string(command))
	if operation == "read" {
		return []byte(strconv.Itoa(r.value))
	}
	if r.value != from {
		return []byte("refused")
	}
	r.value = to
	return []byte("taken")
}

func parseCommand(command string) (operation string, from, to int) {
	_, rest, _ := strings.Cut(command, " ")
	if rest == "read" {
		return rest, 0, 0
	}
	if _, err := fmt.Sscanf(rest, "set %d %d", &from, &to); err != nil {
		panic(err)
	}
	return "set", from, to
}

// Snapshot implements Machine.
func (r *registerMachine) Snapshot() []byte { return []byte(fmt.Sprint(r.value, r.count)) }

// Restore implements Machine.
func (r *registerMachine) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &r.value, &r.count)
	return err
}
