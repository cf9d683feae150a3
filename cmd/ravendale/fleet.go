package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/agent"
	"ravendale/balancer/frames"
	"ravendale/balancer/operator"
	"ravendale/balancer/platform/node"
	"ravendale/balancer/xmlfile"
)

// build is the generation of the program that epochs may ask for: it is raised with what older programs can't act under. A test
// links another one in.
var build = "1"

func generation() int {
	n, err := strconv.Atoi(build)
	if err != nil || n < 1 {
		panic("the program was linked with a generation that is none: " + build)
	}
	return n
}

// wallClock is the system's, in Unix milliseconds. RAVENDALE_CLOCK_FILE names a file with milliseconds that it is off by, read
// again each time: tests have one process's clock wrong, and step.
func wallClock() func() int64 {
	file := os.Getenv("RAVENDALE_CLOCK_FILE")
	if file == "" {
		return func() int64 { return time.Now().UnixMilli() }
	}
	return func() int64 {
		text, _ := os.ReadFile(file) // none: it is right
		off, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		return time.Now().UnixMilli() + off
	}
}

// loadKeys reads the key file of a fleet's element.
func loadKeys(f *operator.Fleet) (frames.Keys, error) {
	text, err := os.ReadFile(f.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet: keys: %w", err)
	}
	return frames.ParseKeys(f.Keys, text)
}

// join makes the scheduler a member of the fleet that the operator's file names.
func join(n *node.Node, name string, file *operator.File, log *slog.Logger) error {
	f := *file.Fleet
	f.Defaults()
	keys, err := loadKeys(&f)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // a disk or quota that is full is an error of the write, not the end of the scheduler
	sum := sha256.Sum256(text)
	n.Join(node.FleetOptions{File: f, Keys: keys, Build: generation(), Digest: hex.EncodeToString(sum[:8]), Wall: wallClock(),
		Getenv: os.Getenv, Read: os.ReadFile})
	log.Info("member of a fleet", "name", f.Name, "members", len(f.Members), "alone", f.Alone)
	return nil
}

type fleetCmd struct {
	Status  statusCmd  `cmd:"" help:"Show who is there, and what each acts under."`
	RollOut rollOutCmd `cmd:"" help:"Hand in an epoch, and wait until all act under it."`
}

// ask says whom to ask.
type ask struct {
	Config string        `help:"The operator's file with the fleet's element." placeholder:"FILE" env:"RAVENDALE_FILE" required:""`
	Member string        `help:"Ask this member alone; else each of the file." placeholder:"NAME"`
	Within time.Duration `help:"Wait at most so long for each answer." default:"2s"`
}

func (a *ask) load() (f *operator.Fleet, keys frames.Keys, members []operator.Member, err error) {
	file, err := operator.Load(a.Config)
	if err != nil {
		return nil, nil, nil, err
	}
	if file.Fleet == nil {
		return nil, nil, nil, fmt.Errorf("%s: there is no <fleet> in it", a.Config)
	}
	file.Fleet.Defaults()
	if keys, err = loadKeys(file.Fleet); err != nil {
		return nil, nil, nil, err
	}
	for _, m := range file.Fleet.Members {
		if a.Member == "" || a.Member == m.Name {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return nil, nil, nil, fmt.Errorf("%s: no member %q", a.Config, a.Member)
	}
	return file.Fleet, keys, members, nil
}

// call asks all members at once; one that gives no answer has a status with the error.
func (a *ask) call(keys frames.Keys, members []operator.Member) map[string]*agent.Status {
	type answer struct {
		name string
		s    *agent.Status
	}
	answers := make(chan answer)
	for _, m := range members {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), a.Within)
			defer cancel()
			s, err := agent.Call(ctx, m.Address, keys, "status", nil)
			if err != nil {
				s = &agent.Status{Name: m.Name, Error: err.Error()}
			}
			answers <- answer{m.Name, s}
		}()
	}
	all := make(map[string]*agent.Status)
	for range members {
		x := <-answers
		all[x.name] = x.s
	}
	return all
}

type statusCmd struct {
	ask
	JSON bool `help:"As JSON." name:"json"`
}

// Run shows the fleet; the exit code is 1 where a member gave no answer.
func (c *statusCmd) Run() error {
	_, keys, members, err := c.load()
	if err != nil {
		return err
	}
	all := c.call(keys, members)
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(all)
	} else {
		err = showStatus(os.Stdout, all)
	}
	for _, s := range all {
		if s.Error != "" && err == nil {
			err = errWrong
		}
	}
	return err
}

func showStatus(to io.Writer, all map[string]*agent.Status) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0) // Flush tells of what it met before
	_, _ = fmt.Fprintln(w, "MEMBER\tINCARNATION\tBUILD\tACTS UNDER\tIN FORCE\tSTANDING\tPEERS ALIVE\tLAG\tRECORD\tNOTES")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := all[name]
		if s.Error != "" {
			_, _ = fmt.Fprintf(w, "%s\t\t\t\t\tno answer\t\t\t\t%s\n", name, s.Error)
			continue
		}
		standing, notes := "acts", []string{}
		if !s.Standing.Acts {
			standing = "shut out: " + s.Standing.Why
		} else if s.Standing.Marked {
			standing = "marked: " + s.Standing.Why
		}
		alive, lag := 0, int64(0)
		for _, peer := range slices.Sorted(maps.Keys(s.Peers)) {
			p := s.Peers[peer]
			if p.State == fleet.Alive {
				alive++
				lag = max(lag, p.AnsweredMs)
			} else {
				notes = append(notes, fmt.Sprintf("%s %s (%s)", peer, p.State, p.Link))
			}
		}
		if !s.Votes {
			notes = append(notes, "casts no vote")
		}
		if s.Record.Lost > 0 {
			notes = append(notes, fmt.Sprintf("%d entries lost", s.Record.Lost))
		}
		if s.Refused > 0 {
			notes = append(notes, fmt.Sprintf("%d refused", s.Refused))
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%v\t%s\t%d of %d\t%d ms\t%d\t%s\n", name, s.Inc, s.Build, s.Acting, s.Force, standing, alive, len(s.Peers),
			lag, s.Head.Seq, strings.Join(notes, ", "))
	}
	return w.Flush()
}

// epochFile is the form of a file that is rolled out.
type epochFile struct {
	Number   int64         `xml:"number,attr" required:"true"`
	Floor    int64         `xml:"floor,attr" required:"true"`
	Within   time.Duration `xml:"within,attr" required:"true"`
	Build    int           `xml:"build,attr"`
	Settings *settingsFile `xml:"settings"`
}

type settingsFile struct {
	File string `xml:"file,attr" required:"true"` // JSON, a merge patch (RFC 7396) for the platform's settings; beside the epoch's file
}

// Check implements xmlfile.Checker.
func (e *epochFile) Check(bad func(string)) {
	if e.Number < 1 {
		bad(fmt.Sprintf("number: %d is below 1", e.Number))
	}
	if e.Floor < 0 || e.Floor > e.Number {
		bad(fmt.Sprintf("floor: %d is not between 0 and %d", e.Floor, e.Number))
	}
	if e.Build < 0 {
		bad(fmt.Sprintf("build: %d is below 0", e.Build))
	}
}

func loadEpoch(name string) (*fleet.Epoch, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var f epochFile
	if err := xmlfile.Read(name, text, "epoch", &f); err != nil {
		return nil, err
	}
	e := fleet.Epoch{Number: uint64(f.Number), Floor: uint64(f.Floor), Within: f.Within, Build: f.Build}
	if f.Settings != nil {
		path := filepath.Join(filepath.Dir(name), f.Settings.File)
		if e.Settings, err = os.ReadFile(path); err != nil {
			return nil, err
		}
		if !json.Valid(e.Settings) {
			return nil, fmt.Errorf("%s: no JSON", path)
		}
	}
	return fleet.Pack(e)
}

type rollOutCmd struct {
	ask
	File string        `arg:"" help:"The epoch: XML, docs/fleet.md has its form."`
	Wait time.Duration `help:"Until all act under it, at most so long." default:"30s"`
}

// Run hands the epoch in at the first member that takes it, or the one that is named. The exit code is 1 where some do not act
// under it in time.
func (c *rollOutCmd) Run() error {
	e, err := loadEpoch(c.File)
	if err != nil {
		return err
	}
	f, keys, members, err := c.load()
	if err != nil {
		return err
	}
	var refusals []error
	took := ""
	for _, m := range members {
		ctx, cancel := context.WithTimeout(context.Background(), c.Within)
		_, err := agent.Call(ctx, m.Address, keys, "roll-out", e.Content)
		cancel()
		if err == nil {
			took = m.Name
			break
		}
		refusals = append(refusals, fmt.Errorf("%s: %w", m.Name, err))
	}
	if took == "" {
		return errors.Join(refusals...)
	}
	fmt.Printf("%v handed in at %s\n", e.ID, took)
	for end := time.Now().Add(c.Wait); ; time.Sleep(f.Heartbeat) {
		var behind []string
		for name, s := range c.call(keys, f.Members) {
			if s.Error != "" || s.Acting != e.ID {
				behind = append(behind, name)
			}
		}
		if len(behind) == 0 {
			fmt.Println("all act under it")
			return nil
		}
		if time.Now().After(end) {
			slices.Sort(behind)
			fmt.Printf("not yet: %s\n", strings.Join(behind, ", "))
			return errWrong
		}
	}
}

type auditCmd struct {
	Dirs []string `arg:"" help:"Folders with records." name:"dir"`
	JSON bool     `help:"As JSON." name:"json"`
	At   string   `help:"Who acted under which epoch at this time (RFC 3339, by the first member's clock)." placeholder:"TIME"`
	All  bool     `help:"Every entry, not only those that change what is acted on."`
}

// Run prints what the records say together. The exit code is 1 where a rule of a roll-out was broken or a record tampered with.
func (c *auditCmd) Run() error {
	a, err := audit.Read(c.Dirs...)
	if err != nil {
		return err
	}
	if c.At != "" {
		at, err := time.Parse(time.RFC3339Nano, c.At)
		if err != nil {
			return fmt.Errorf("--at: %w", err)
		}
		under := a.Under(at.UnixMilli())
		for _, m := range a.Members {
			if id, known := under[m]; known {
				fmt.Printf("%s\t%v\n", m, id)
			} else {
				fmt.Printf("%s\tits record does not say\n", m)
			}
		}
		return nil
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(a)
	} else {
		showAudit(os.Stdout, a, c.All)
	}
	if err == nil && (a.Broken() || slices.ContainsFunc(a.Findings, func(f audit.Finding) bool { return f.Kind.Fault() })) {
		err = errWrong
	}
	return err
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

func showAudit(to io.Writer, a *audit.Audit, all bool) {
	for _, e := range a.Timeline {
		if !all && slices.Contains([]string{audit.Span, audit.Witness, audit.Member, audit.List}, e.Kind) {
			continue
		}
		text := e.Why + e.Command
		if e.Epoch != nil {
			text = strings.TrimSpace(e.Epoch.String() + " " + text)
		}
		if e.Kind == audit.Standing {
			text = fmt.Sprintf("acts=%v marked=%v %s", *e.Acts, e.Marked, e.Why)
		}
		_, _ = fmt.Fprintf(to, "%s  %-10s %-10s %s\n", clock(e.When), e.Member, e.Kind, strings.TrimSpace(text+" "+e.From+" "+e.Peer+" "+e.State))
	}
	for _, l := range a.Epochs {
		if l.InForce == 0 {
			_, _ = fmt.Fprintf(to, "epoch %v: never in force\n", l.ID)
			continue
		}
		_, _ = fmt.Fprintf(to, "epoch %v: in force %s, floor %d from %s, adopted by %d of %d\n", l.ID, clock(l.InForce), l.Floor, clock(l.Date), len(l.Adopted), len(a.Members))
		if l.Conflict {
			_, _ = fmt.Fprintf(to, "BROKEN: another content was in force as epoch %d\n", l.ID.Number)
		}
	}
	for _, s := range a.Straggled {
		_, _ = fmt.Fprintf(to, "straggler %s under epoch %v: %s %d ms after the date %s\n", s.Member, s.Epoch, s.End, s.AfterMs, s.From)
	}
	for _, b := range a.Below {
		_, _ = fmt.Fprintf(to, "BROKEN: %s took %d requests below floor %d in the span that ended %s, %d ms after the date (%s)\n", b.Member, b.Taken, b.Floor,
			clock(b.When), b.When-b.Date, b.Position)
	}
	for _, f := range a.Findings {
		_, _ = fmt.Fprintln(to, "found:", f)
	}
}
