package core

import (
	"fmt"
	"strconv"
	"strings"
)

// register is a machine that holds one number and changes it by compare-and-set. It counts what it applies, and shows that to the
// simulation: all registers, in all incarnations, must apply the same commands in the same places.
type register struct {
	s     *simulation
	value int
	count int
}

// Apply implements Machine. A command is a name of its own, followed by "read", or by "set" and two numbers.
func (r *register) Apply(command []byte) []byte {
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
func (r *register) Snapshot() []byte { return []byte(fmt.Sprint(r.value, r.count)) }

// Restore implements Machine.
func (r *register) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &r.value, &r.count)
	return err
}
