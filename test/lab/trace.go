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

// Span is what all schedulers together did in a span of time, counted from what each logged of its attempts: serve with
// `--log-level debug --log-format json`.
type Span struct {
	From                       time.Duration // after the first line of all
	Jobs, Sends, ToCold, Dials int
	Served, Refused, Failed    int
	ListCalls, ListCallsFailed int
	Open                       float64                   // jobs in hand at a scheduler, mean over first sends
	Outcomes                   map[ravendale.Outcome]int // of attempts
	MostToOneCold, ColdServers int                       // the most sends to one cold server within ColdSpan, and how many were sent to
	Unsent                     map[string]int            // answered as refused or failed without a send, by why
	LateSends                  int                       // to a server listed as draining or removed
	LatestSend                 time.Duration             // after its sender had that list
	LeftWaiting                int                       // clients that left before their request was sent to any server
	SentAfterLeft              int                       // of those requests, that were sent more than LeftSlack later all the same
}

// ColdSpan is the time in which sends to one cold server are counted: the span of the rule on overfeeding.
const ColdSpan = 2 * time.Second

// LeftSlack is how long after its client left a request may still be sent on, by the users' page.
const LeftSlack = 300 * time.Millisecond

// traced is a line of a log at debug level, in JSON. Only what is there counts.
type traced struct {
	Time    time.Time            `json:"time"`
	Msg     string               `json:"msg"`
	Job     int                  `json:"job"`
	Attempt int                  `json:"try"`
	Server  string               `json:"server"`
	Cold    bool                 `json:"cold"`
	Open    int                  `json:"open"`
	Outcome ravendale.Outcome    `json:"outcome"`
	Kind    scheduler.AnswerKind `json:"kind"`
	Why     string               `json:"why"` // of an answer without a send

	from string // the scheduler
}

// Trace counts across the logs of a folder, a file for each scheduler, in spans of a length. A line may have a time of the
// one who collected it in front; what is no such JSON is passed over, and counted.
func Trace(folder string, span time.Duration) (spans []*Span, skipped int, err error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", folder, err)
	}
	if len(files) == 0 {
		return nil, 0, fmt.Errorf("%s: no logs there", folder)
	}
	var lines []traced
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, 8<<20)
		for in.Scan() {
			_, object, found := bytes.Cut(in.Bytes(), []byte("{"))
			l := traced{from: strings.TrimSuffix(filepath.Base(name), ".log")}
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

// jobKey is a job of one scheduler.
type jobKey struct {
	from string
	job  int
}

// serverKey is a server as one scheduler knows it.
type serverKey struct{ from, server string }

// tallier counts the lines of all schedulers, in the order of their times.
type tallier struct {
	length   time.Duration // of a span
	spans    []*Span
	drainsAt map[serverKey]time.Time    // when a scheduler heard that a server drains
	recent   map[string][]time.Duration // sends to each cold server within ColdSpan
	sent     map[jobKey]bool
	left     map[jobKey]time.Time // when the client of a job left that was not sent yet
}

func tally(lines []traced, span time.Duration) []*Span {
	slices.SortStableFunc(lines, func(a, b traced) int { return a.Time.Compare(b.Time) })
	t := &tallier{length: span, drainsAt: make(map[serverKey]time.Time), recent: make(map[string][]time.Duration),
		sent: make(map[jobKey]bool), left: make(map[jobKey]time.Time)}
	for i := range lines {
		t.add(&lines[i], lines[i].Time.Sub(lines[0].Time))
	}
	for _, s := range t.spans {
		s.Open /= max(float64(s.Jobs), 1)
	}
	return t.spans
}

// spanAt is the span that a time falls into.
func (t *tallier) spanAt(after time.Duration) *Span {
	for time.Duration(len(t.spans))*t.length <= after {
		t.spans = append(t.spans, &Span{From: time.Duration(len(t.spans)) * t.length, Outcomes: make(map[ravendale.Outcome]int),
			Unsent: make(map[string]int)})
	}
	return t.spans[len(t.spans)-1]
}

// add counts a line that was written so long after the first.
func (t *tallier) add(l *traced, after time.Duration) {
	s := t.spanAt(after)
	switch l.Msg {
	case "send":
		t.addSend(s, l, after)
	case "sent":
		r := jobKey{l.from, l.Job}
		if at, has := t.left[r]; has && l.Time.Sub(at) > LeftSlack {
			s.SentAfterLeft++
		}
		t.sent[r] = true
	case "left":
		if r := (jobKey{l.from, l.Job}); !t.sent[r] {
			s.LeftWaiting++
			t.left[r] = l.Time
		}
	case "end":
		s.Outcomes[l.Outcome]++
	case "refused": // by a frontend, before the module saw it
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
		t.drainsAt[serverKey{l.from, l.Server}] = l.Time
	case "joins": // again, under the same name
		delete(t.drainsAt, serverKey{l.from, l.Server})
	case "serving":
		t.forget(l.from)
	}
}

func (t *tallier) addSend(s *Span, l *traced, after time.Duration) {
	s.Sends++
	if l.Attempt == 0 {
		s.Jobs++
		s.Open += float64(l.Open)
	}
	if l.Cold {
		s.ToCold++
		at := append(t.recent[l.Server], after)
		for after-at[0] > ColdSpan {
			at = at[1:]
		}
		t.recent[l.Server] = at
		s.MostToOneCold = max(s.MostToOneCold, len(at))
	}
	if at, drains := t.drainsAt[serverKey{l.from, l.Server}]; drains {
		s.LateSends++
		s.LatestSend = max(s.LatestSend, l.Time.Sub(at))
	}
}

func (s *Span) addAnswer(l *traced) {
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

// forget drops what is known of a scheduler that has started again: it has no list from before, and numbers its jobs anew.
func (t *tallier) forget(from string) {
	maps.DeleteFunc(t.drainsAt, func(k serverKey, _ time.Time) bool { return k.from == from })
	maps.DeleteFunc(t.sent, func(k jobKey, _ bool) bool { return k.from == from })
	maps.DeleteFunc(t.left, func(k jobKey, _ time.Time) bool { return k.from == from })
}

// whys is a count by reason in one field: "no_start=3,no_time=9", or "-".
func whys(counts map[string]int) string {
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
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight) // Flush tells of what it met before
	_, _ = fmt.Fprintln(w, "from\tjobs/s\topen\tsends/job\tdials/job\tserved\trefused\tfailed\tcancelled\tfull\tno conn\terrors\tto cold\tmost/2 s\tlist calls\tfailed\tafter told\tlatest\tleft waiting\tsent on\tunsent by why\t")
	for _, s := range spans {
		jobs := max(float64(s.Jobs), 1)
		_, _ = fmt.Fprintf(w, "%v\t%.0f\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t%s\t\n", s.From, float64(s.Jobs)/span.Seconds(), s.Open,
			float64(s.Sends)/jobs, float64(s.Dials)/jobs, s.Served, s.Refused, s.Failed, s.Outcomes[ravendale.Cancelled], s.Outcomes[ravendale.Overloaded],
			s.Outcomes[ravendale.ConnectFailed], s.Outcomes[ravendale.Error]+s.Outcomes[ravendale.Reset], s.ToCold, s.MostToOneCold,
			s.ListCalls, s.ListCallsFailed, s.LateSends, s.LatestSend.Round(time.Millisecond), s.LeftWaiting, s.SentAfterLeft, whys(s.Unsent))
	}
	return w.Flush()
}
