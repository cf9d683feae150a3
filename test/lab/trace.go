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
	LateSends                  int                       // to a server told as draining or gone
	LatestSend                 time.Duration             // after that was told to its sender
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
	Try     int                  `json:"try"`
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

func tally(lines []traced, span time.Duration) (spans []*Span) {
	slices.SortStableFunc(lines, func(a, b traced) int { return a.Time.Compare(b.Time) })
	told := make(map[[2]string]time.Time) // to a scheduler, that a server drains
	recent := make(map[string][]time.Duration)
	type request struct {
		from string
		job  int
	}
	sent, left := make(map[request]bool), make(map[request]time.Time)
	for i := range lines {
		l := &lines[i]
		after := l.Time.Sub(lines[0].Time)
		for time.Duration(len(spans))*span <= after {
			spans = append(spans, &Span{From: time.Duration(len(spans)) * span, Outcomes: make(map[ravendale.Outcome]int),
				Unsent: make(map[string]int)})
		}
		s := spans[len(spans)-1]
		switch l.Msg {
		case "send":
			s.Sends++
			if l.Try == 0 {
				s.Jobs++
				s.Open += float64(l.Open)
			}
			if l.Cold {
				s.ToCold++
				at := append(recent[l.Server], after)
				for after-at[0] > ColdSpan {
					at = at[1:]
				}
				recent[l.Server] = at
				s.MostToOneCold = max(s.MostToOneCold, len(at))
			}
			if at, was := told[[2]string{l.from, l.Server}]; was {
				s.LateSends++
				s.LatestSend = max(s.LatestSend, l.Time.Sub(at))
			}
		case "sent":
			r := request{l.from, l.Job}
			if at, has := left[r]; has && l.Time.Sub(at) > LeftSlack {
				s.SentAfterLeft++
			}
			sent[r] = true
		case "left":
			if r := (request{l.from, l.Job}); !sent[r] {
				s.LeftWaiting++
				left[r] = l.Time
			}
		case "end":
			s.Outcomes[l.Outcome]++
		case "refused": // by a frontend, before the module saw it
			s.Refused++
			s.Unsent[l.Why]++
		case "answer":
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
		case "dial":
			s.Dials++
		case "watch asked":
			s.ListCalls++
		case "watch ended":
			s.ListCallsFailed++
		case "leaves":
			told[[2]string{l.from, l.Server}] = l.Time
		case "joins": // again, under the same name
			delete(told, [2]string{l.from, l.Server})
		case "serving": // started again: it has no list from before
			for key := range told {
				if key[0] == l.from {
					delete(told, key)
				}
			}
			of := func(r request) bool { return r.from == l.from } // its jobs are numbered anew
			maps.DeleteFunc(sent, func(r request, _ bool) bool { return of(r) })
			maps.DeleteFunc(left, func(r request, _ time.Time) bool { return of(r) })
		}
	}
	for _, s := range spans {
		s.Open /= max(float64(s.Jobs), 1)
	}
	return spans
}

// whys is a count by reason in one field: "no_start=3,no_time=9", or "-".
func whys(counts map[string]int) string {
	var parts []string
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", why, counts[why]))
	}
	if parts == nil {
		return "-"
	}
	return strings.Join(parts, ",")
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
