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

// build is the program's generation, of which an epoch may require a minimum. It is raised when epochs can contain what
// older programs can't act under. A test sets another one at link time.
var build = "1"

func generation() int {
	n, err := strconv.Atoi(build)
	if err != nil || n < 1 {
		panic("ravendale: the program was linked with an invalid generation: " + build)
	}
	return n
}

// wallClock returns a function that reads the system clock in Unix milliseconds. RAVENDALE_CLOCK_FILE names a file with
// an offset in milliseconds, which is read at each call: tests use it to skew the clock of one process, and to step it.
func wallClock() func() int64 {
	file := os.Getenv("RAVENDALE_CLOCK_FILE")
	if file == "" {
		return func() int64 { return time.Now().UnixMilli() }
	}
	return func() int64 {
		text, _ := os.ReadFile(file) // without a file the offset is 0
		offsetMs, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		return time.Now().UnixMilli() + offsetMs
	}
}

// loadKeys reads the key file that the <fleet> element names.
func loadKeys(f *operator.Fleet) (frames.Keys, error) {
	text, err := os.ReadFile(f.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet: reading the key file: %w", err)
	}
	return frames.ParseKeys(f.Keys, text)
}

// joinFleet makes the scheduler a member of the fleet in the operator's file, which was read from path.
func joinFleet(n *node.Node, path string, file *operator.File, log *slog.Logger) error {
	f := *file.Fleet
	f.Defaults()
	keys, err := loadKeys(&f)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // a write to a full disk or quota must return an error, not kill the scheduler
	sum := sha256.Sum256(text)
	n.Join(node.FleetOptions{File: f, Keys: keys, Build: generation(), Digest: hex.EncodeToString(sum[:8]), Wall: wallClock(),
		Getenv: os.Getenv, Read: os.ReadFile})
	log.Info("joining fleet", "name", f.Name, "members", len(f.Members), "alone", f.Alone)
	return nil
}

type fleetCmd struct {
	Status  statusCmd  `cmd:"" help:"Show the members, and the epoch that each acts under."`
	RollOut rollOutCmd `cmd:"" help:"Submit an epoch, and wait until all members act under it."`
}

// targetFlags select the members to query.
type targetFlags struct {
	Config string        `help:"The operator's file with the <fleet> element." placeholder:"FILE" env:"RAVENDALE_FILE" required:""`
	Member string        `help:"Contact only this member instead of all in the file." placeholder:"NAME"`
	Within time.Duration `help:"Timeout for each answer." default:"2s"`
}

func (t *targetFlags) loadFleet() (f *operator.Fleet, keys frames.Keys, members []operator.Member, err error) {
	file, err := operator.Load(t.Config)
	if err != nil {
		return nil, nil, nil, err
	}
	if file.Fleet == nil {
		return nil, nil, nil, fmt.Errorf("%s: the file has no <fleet> element", t.Config)
	}
	file.Fleet.Defaults()
	if keys, err = loadKeys(file.Fleet); err != nil {
		return nil, nil, nil, err
	}
	for _, m := range file.Fleet.Members {
		if t.Member == "" || t.Member == m.Name {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return nil, nil, nil, fmt.Errorf("%s: the fleet has no member %q", t.Config, t.Member)
	}
	return file.Fleet, keys, members, nil
}

// queryStatus queries all members concurrently. The status of a member that doesn't answer holds the error.
func (t *targetFlags) queryStatus(keys frames.Keys, members []operator.Member) map[string]*agent.Status {
	type answer struct {
		name   string
		status *agent.Status
	}
	answers := make(chan answer)
	for _, m := range members {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), t.Within)
			defer cancel()
			status, err := agent.Call(ctx, m.Address, keys, "status", nil)
			if err != nil {
				status = &agent.Status{Name: m.Name, Error: err.Error()}
			}
			answers <- answer{m.Name, status}
		}()
	}
	statuses := make(map[string]*agent.Status)
	for range members {
		received := <-answers
		statuses[received.name] = received.status
	}
	return statuses
}

type statusCmd struct {
	targetFlags
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints the status of the members. The exit code is 1 if a member did not answer.
func (c *statusCmd) Run() error {
	_, keys, members, err := c.loadFleet()
	if err != nil {
		return err
	}
	statuses := c.queryStatus(keys, members)
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(statuses)
	} else {
		err = showStatus(os.Stdout, statuses)
	}
	for _, s := range statuses {
		if s.Error != "" && err == nil {
			err = errReported
		}
	}
	return err
}

func showStatus(out io.Writer, statuses map[string]*agent.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) // Flush returns the error of an earlier write
	_, _ = fmt.Fprintln(w, "MEMBER\tINCARNATION\tBUILD\tACTS UNDER\tIN FORCE\tSTANDING\tPEERS ALIVE\tLAG\tRECORD\tNOTES")
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[name]
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

// epochFile is the XML form of an epoch to roll out.
type epochFile struct {
	Number   int64         `xml:"number,attr" required:"true"`
	Floor    int64         `xml:"floor,attr" required:"true"`
	Within   time.Duration `xml:"within,attr" required:"true"`
	Build    int           `xml:"build,attr"`
	Settings *settingsFile `xml:"settings"`
}

type settingsFile struct {
	File string `xml:"file,attr" required:"true"` // JSON merge patch (RFC 7396) of the platform's settings; relative to the epoch file
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
			return nil, fmt.Errorf("%s: not valid JSON", path)
		}
	}
	return fleet.Pack(e)
}

type rollOutCmd struct {
	targetFlags
	File string        `arg:"" help:"The epoch file: XML, see docs/fleet.md."`
	Wait time.Duration `help:"Time to wait until all members act under the epoch." default:"30s"`
}

// Run submits the epoch to the members in turn until one accepts it, or only to the named one. The exit code is 1 if some
// member does not act under it in time.
func (c *rollOutCmd) Run() error {
	e, err := loadEpoch(c.File)
	if err != nil {
		return err
	}
	f, keys, members, err := c.loadFleet()
	if err != nil {
		return err
	}
	var refusals []error
	acceptedBy := ""
	for _, m := range members {
		ctx, cancel := context.WithTimeout(context.Background(), c.Within)
		_, err := agent.Call(ctx, m.Address, keys, "roll-out", e.Content)
		cancel()
		if err == nil {
			acceptedBy = m.Name
			break
		}
		refusals = append(refusals, fmt.Errorf("%s: %w", m.Name, err))
	}
	if acceptedBy == "" {
		return errors.Join(refusals...)
	}
	fmt.Printf("%v handed in at %s\n", e.ID, acceptedBy)
	for deadline := time.Now().Add(c.Wait); ; time.Sleep(f.Heartbeat) {
		var behind []string
		for name, s := range c.queryStatus(keys, f.Members) {
			if s.Error != "" || s.Acting != e.ID {
				behind = append(behind, name)
			}
		}
		if len(behind) == 0 {
			fmt.Println("all act under it")
			return nil
		}
		if time.Now().After(deadline) {
			slices.Sort(behind)
			fmt.Printf("not yet: %s\n", strings.Join(behind, ", "))
			return errReported
		}
	}
}

type auditCmd struct {
	Dirs []string `arg:"" help:"Folders with the members' records." name:"dir"`
	JSON bool     `help:"Print JSON." name:"json"`
	At   string   `help:"Show the epoch that each member acted under at this time (RFC 3339, by the first member's clock)." placeholder:"TIME"`
	All  bool     `help:"Show every entry, not only those that affect which epoch is acted under."`
}

// Run prints the merged records. The exit code is 1 if a roll-out's rule was broken or a record was tampered with.
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
		epochByMember := a.EpochsAt(at.UnixMilli())
		for _, m := range a.Members {
			if id, known := epochByMember[m]; known {
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
		err = errReported
	}
	return err
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

func showAudit(out io.Writer, a *audit.Audit, all bool) {
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
		_, _ = fmt.Fprintf(out, "%s  %-10s %-10s %s\n", formatTime(e.When), e.Member, e.Kind, strings.TrimSpace(text+" "+e.From+" "+e.Peer+" "+e.State))
	}
	for _, history := range a.Epochs {
		if history.InForce == 0 {
			_, _ = fmt.Fprintf(out, "epoch %v: never in force\n", history.ID)
			continue
		}
		_, _ = fmt.Fprintf(out, "epoch %v: in force %s, floor %d from %s, adopted by %d of %d\n", history.ID, formatTime(history.InForce), history.Floor, formatTime(history.Date), len(history.Adopted), len(a.Members))
		if history.Conflict {
			_, _ = fmt.Fprintf(out, "BROKEN: another content was in force as epoch %d\n", history.ID.Number)
		}
	}
	for _, s := range a.Straggled {
		_, _ = fmt.Fprintf(out, "straggler %s under epoch %v: %s %d ms after the date %s\n", s.Member, s.Epoch, s.End, s.AfterMs, s.From)
	}
	for _, b := range a.Below {
		_, _ = fmt.Fprintf(out, "BROKEN: %s took %d requests below floor %d in the span that ended %s, %d ms after the date (%s)\n", b.Member, b.Taken, b.Floor,
			formatTime(b.When), b.When-b.Date, b.Position)
	}
	for _, f := range a.Findings {
		_, _ = fmt.Fprintln(out, "found:", f)
	}
}
