package core

import (
	"fmt"
	"slices"
	"strings"
)

// modelDisk is the content of a member's disk that survives a loss of power.
type modelDisk struct {
	snapshot []byte
	records  [][]byte
}

func (d *modelDisk) put(write *diskWrite) {
	if write.Image != nil {
		d.snapshot, d.records = write.Image, nil
		return
	}
	d.records = append(slices.Clone(d.records), write.Records...)
}

// commandLog is a machine that accepts a command if its base equals the number of commands accepted before. It stores all
// commands.
type commandLog struct {
	Applied []string
	Taken   int
}

func (l *commandLog) Apply(command []byte) []byte {
	l.Applied = append(slices.Clone(l.Applied), string(command))
	var base int
	var name string
	if _, err := fmt.Sscan(string(command), &base, &name); err != nil {
		panic(err)
	}
	if base != l.Taken {
		return []byte("refused")
	}
	l.Taken++
	return []byte("taken")
}

func (l *commandLog) Snapshot() []byte {
	return []byte(fmt.Sprint(l.Taken) + "\n" + strings.Join(l.Applied, "\n"))
}

func (l *commandLog) Restore(snapshot []byte) error {
	taken, applied, _ := strings.Cut(string(snapshot), "\n")
	l.Applied = nil
	if applied != "" {
		l.Applied = strings.Split(applied, "\n")
	}
	_, err := fmt.Sscan(taken, &l.Taken)
	return err
}

// sync completes all pending writes of a member.
func (m *model) sync(at int) {
	member := m.mutableMember(at)
	last := m.completeWrites(member)
	if m.scope.earlySyncReport {
		return // the node was already notified
	}
	member.node.OnDisk(m.clock(at), last)
	m.execute(at)
}

func (m *model) completeWrites(member *modelMember) (last uint64) {
	for i := range member.writes {
		member.disk.put(&member.writes[i])
		last = member.writes[i].Batch
	}
	member.writes = nil
	return last
}
