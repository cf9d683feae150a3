package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ravendale"
	"ravendale/balancer/scheduler"
)

// Span counts what all schedulers together did in a span of time, from the logs of their attempts. The schedulers must log
// with `--log-level debug --log-format json`.
type Span struct {
	From                       time.Duration // start of the span, counted from the first line of all logs
	Jobs, Sends, ToCold, Dials int
	Served, Refused, Failed    int
	ListCalls, ListCallsFailed int
	Open                       float64                   // mean number of open jobs of a scheduler at the first send of a job
	Outcomes                   map[ravendale.Outcome]int // of attempts
	MostToOneCold, ColdServers int                       // the most sends to one cold server within ColdSpan; ColdServers is not set
	Unsent                     map[string]int            // jobs refused or failed without a send, by reason
	LateSends                  int                       // sends to a server after its sender's list had it as draining or removed
	LatestSend                 time.Duration             // the longest time from that list to a late send
	LeftWaiting                int                       // clients that left before their request was sent to a server
	SentAfterLeft              int                       // those whose request was sent all the same, more than LeftSlack later
}

// ColdSpan is the window in which sends to one cold server are counted, the same as that of the overload rule.
const ColdSpan = 2 * time.Second

// LeftSlack is how long after its client has left a request may still be sent; the users' specification sets it.
const LeftSlack = 300 * time.Millisecond

// logLine is one JSON line of a debug log. It holds the fields of all messages, of which each line has some.
type logLine struct {
	Time    time.Time            `json:"time"`
	Msg     string               `json:"msg"`
	Job     int                  `json:"job"`
	Attempt int                  `json:"try"`
	Server  string               `json:"server"`
	Cold    bool                 `json:"cold"`
	Open    int                  `json:"open"`
	Outcome ravendale.Outcome    `json:"outcome"`
	Kind    scheduler.AnswerKind `json:"kind"`
	Why     string               `json:"why"` // reason of an answer without a send

	from string // the scheduler, by the name of its log file
}

// Trace reads the logs of a folder, one file per scheduler, and counts over all of them in spans of the given length. A line
// may begin with a timestamp of the log collector. Lines without valid JSON are skipped, and skipped is their number.
func Trace(folder string, span time.Duration) (spans []*Span, skipped int, err error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", folder, err)
	}
	if len(files) == 0 {
		return nil, 0, fmt.Errorf("%s: no *.log files in this folder", folder)
	}
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, 8<<20)
		for in.Scan() {
			_, object, found := bytes.Cut(in.Bytes(), []byte("{"))
			l := logLine{from: strings.TrimSuffix(filepath.Base(name), ".log")}
			if !found || json.Unmarshal(append([]byte("{"), object...), &l) != nil || l.Time.IsZero() {
				skipped++
				continue
			}
			lines = append(lines, l)
		}
		err = in.Err()
		_ = f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
	}
	return tally(lines, span), skipped, nil
}

// jobKey identifies a job: each scheduler numbers its own jobs.
type jobKey struct {
	from string
	job  int
}

// serverKey identifies a server in the list of one scheduler.
type serverKey struct{ from, server string }

// tallier counts the log lines of all schedulers in chronological order.
type tallier struct {
	length          time.Duration // of a span
	spans           []*Span
	drainingSince   map[serverKey]time.Time    // when a scheduler was notified that a server leaves
	recentColdSends map[string][]time.Duration // times of the sends to each cold server within ColdSpan
	sent            map[jobKey]bool
	clientLeftAt    map[jobKey]time.Time // when a job's client left before the job was sent
}

// tally sorts the lines by time and counts them in spans.
func tally(lines []logLine, span time.Duration) []*Span {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	t := &tallier{length: span, drainingSince: make(map[serverKey]time.Time), recentColdSends: make(map[string][]time.Duration),
		sent: make(map[jobKey]bool), clientLeftAt: make(map[jobKey]time.Time)}
	for i := range lines {
		t.add(&lines[i], lines[i].Time.Sub(lines[0].Time))
	}
	for _, s := range t.spans {
		s.Open /= max(float64(s.Jobs), 1)
	}
	return t.spans
}

// spanAt returns the span at a time after the first line, and appends spans up to it.
func (t *tallier) spanAt(after time.Duration) *Span {
	for time.Duration(len(t.spans))*t.length <= after {
		t.spans = append(t.spans, &Span{From: time.Duration(len(t.spans)) * t.length, Outcomes: make(map[ravendale.Outcome]int),
			Unsent: make(map[string]int)})
	}
	return t.spans[len(t.spans)-1]
}

// add counts a line; after is its time since the first line.
func (t *tallier) add(l *logLine, after time.Duration) {
	s := t.spanAt(after)
	switch l.Msg {
	case "send":
		t.addSend(s, l, after)
	case "sent":
		r := jobKey{l.from, l.Job}
		if at, has := t.clientLeftAt[r]; has && l.Time.Sub(at) > LeftSlack {
			s.SentAfterLeft++
		}
		t.sent[r] = true
	case "left":
		if r := (jobKey{l.from, l.Job}); !t.sent[r] {
			s.LeftWaiting++
			t.clientLeftAt[r] = l.Time
		}
	case "end":
		s.Outcomes[l.Outcome]++
	case "refused": // by a frontend, before the job reached the scheduling module
		s.Refused++
		s.Unsent[l.Why]++
	case "answer":
		s.addAnswer(l)
	case "dial":
		s.Dials++
	case "watch asked":
		s.ListCalls++
	case "watch ended":
		s.ListCallsFailed++
	case "leaves":
		t.drainingSince[serverKey{l.from, l.Server}] = l.Time
	case "joins": // a server with this name is listed again
		delete(t.drainingSince, serverKey{l.from, l.Server})
	case "serving":
		t.resetScheduler(l.from)
	}
}

func (t *tallier) addSend(s *Span, l *logLine, after time.Duration) {
	s.Sends++
	if l.Attempt == 0 {
		s.Jobs++
		s.Open += float64(l.Open)
	}
	if l.Cold {
		s.ToCold++
		at := append(t.recentColdSends[l.Server], after)
		for after-at[0] > ColdSpan {
			at = at[1:]
		}
		t.recentColdSends[l.Server] = at
		s.MostToOneCold = max(s.MostToOneCold, len(at))
	}
	if at, drains := t.drainingSince[serverKey{l.from, l.Server}]; drains {
		s.LateSends++
		s.LatestSend = max(s.LatestSend, l.Time.Sub(at))
	}
}

func (s *Span) addAnswer(l *logLine) {
	if l.Why != "" {
		s.Unsent[l.Why]++
	}
	switch l.Kind {
	case scheduler.Served:
		s.Served++
	case scheduler.Refused:
		s.Refused++
	case scheduler.Failed:
		s.Failed++
	}
}

// resetScheduler drops the state of a scheduler that has restarted: it has lost its list, and numbers its jobs
// from the start.
func (t *tallier) resetScheduler(from string) {
	maps.DeleteFunc(t.drainingSince, func(k serverKey, _ time.Time) bool { return k.from == from })
	maps.DeleteFunc(t.sent, func(k jobKey, _ bool) bool { return k.from == from })
	maps.DeleteFunc(t.clientLeftAt, func(k jobKey, _ time.Time) bool { return k.from == from })
}

// formatCounts formats counts by reason as one field, such as "no_start=3,no_time=9", or "-" if there are none.
func formatCounts(counts map[string]int) string {
	var pairs []string
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		pairs = append(pairs, fmt.Sprintf("%s=%d", why, counts[why]))
	}
	if pairs == nil {
		return "-"
	}
	return strings.Join(pairs, ",")
}

// WriteTrace writes the spans as a table.
func WriteTrace(to io.Writer, spans []*Span, span time.Duration) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight) // Flush returns errors of earlier writes
	_, _ = fmt.Fprintln(w, "from\tjobs/s\topen\tsends/job\tdials/job\tserved\trefused\tfailed\tcancelled\tfull\tno conn\terrors\tto cold\tmost/2 s\tlist calls\tfailed\tafter told\tlatest\tleft waiting\tsent on\tunsent by why\t")
	for _, s := range spans {
		jobs := max(float64(s.Jobs), 1)
		_, _ = fmt.Fprintf(w, "%v\t%.0f\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t%s\t\n", s.From, float64(s.Jobs)/span.Seconds(), s.Open,
			float64(s.Sends)/jobs, float64(s.Dials)/jobs, s.Served, s.Refused, s.Failed, s.Outcomes[ravendale.Cancelled], s.Outcomes[ravendale.Overloaded],
			s.Outcomes[ravendale.ConnectFailed], s.Outcomes[ravendale.Error]+s.Outcomes[ravendale.Reset], s.ToCold, s.MostToOneCold,
			s.ListCalls, s.ListCallsFailed, s.LateSends, s.LatestSend.Round(time.Millisecond), s.LeftWaiting, s.SentAfterLeft, formatCounts(s.Unsent))
	}
	return w.Flush()
}
