package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
)

// fold keeps the member's files within their bound: the oldest first becomes sums, and then, if that is not enough, goes. It
// returns what they take.
func (l *Log) fold() int64 {
	files, err := memberFiles(l.o.Dir, l.o.Member)
	if err != nil {
		return l.figures.Bytes
	}
	total := int64(0)
	for _, f := range files {
		total += f.size
	}
	for pass := 0; pass < 2 && total > l.o.Most; pass++ {
		for _, f := range files {
			if total <= l.o.Most || f.path == l.path {
				break
			}
			left := int64(0)
			if pass == 0 {
				if left = foldFile(f.path); left < 0 {
					continue // it is one already, or does not hold together: it stays as it is, for whoever looks into that
				}
			} else if os.Remove(f.path) != nil {
				continue
			}
			total -= f.size - left
		}
		if files, err = memberFiles(l.o.Dir, l.o.Member); err != nil {
			break
		}
	}
	return total
}

// foldFile puts sums in the place of a file's spans, whole or not at all, and returns its size then; below 0, nothing was done.
func foldFile(path string) int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return -1
	}
	lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	var head, sum Entry
	prev := ""
	sum.Kind = Fold
	for i, line := range lines {
		if i == 0 {
			prev = peekPrev(line)
		}
		e, hash, err := readLine(prev, line)
		if err != nil || e.Kind == Fold {
			return -1
		}
		prev = hash
		switch {
		case i == 0:
			head = *e
			continue
		case e.Kind == Span:
			sum.Spans = addSpan(sum.Spans, e)
		default:
			sum.Kept = append(sum.Kept, bytes.Clone(line[2*hashSize+1:]))
		}
		sum.Seq, sum.At, sum.Wall, sum.Mono, sum.Upto = e.Seq, e.At, e.Wall, e.Mono, e.Seq
	}
	sum.Before = &Head{Incarnation: head.Incarnation, Seq: sum.Seq, Hash: prev}
	b, hash, err := appendLine(nil, head.Prev, &head)
	if err == nil {
		b, _, err = appendLine(b, hash, &sum)
	}
	if err != nil || os.WriteFile(path+".new", b, 0o644) != nil || os.Rename(path+".new", path) != nil {
		return -1
	}
	return int64(len(b))
}

// peekPrev is what a file's first line is chained to, as it says itself.
func peekPrev(line []byte) string {
	var e Entry
	if len(line) > 2*hashSize {
		_ = json.Unmarshal(line[2*hashSize+1:], &e) // what makes no sense has none
	}
	return e.Prev
}

// addSpan adds what was done in a span to the sum for its epoch.
func addSpan(sums []Entry, e *Entry) []Entry {
	i := slices.IndexFunc(sums, func(s Entry) bool {
		return s.Marked == e.Marked && (s.Epoch == nil) == (e.Epoch == nil) && (s.Epoch == nil || *s.Epoch == *e.Epoch)
	})
	if i < 0 {
		s := *e
		s.Classes = make(map[string]Count)
		s.Sent = 0
		sums = append(sums, s)
		i = len(sums) - 1
	}
	s := &sums[i]
	s.At, s.Wall, s.Mono, s.Seq = e.At, e.Wall, e.Mono, e.Seq
	s.Sent += e.Sent
	for name, c := range e.Classes {
		t := s.Classes[name]
		s.Classes[name] = Count{t.Taken + c.Taken, t.Served + c.Served, t.Refused + c.Refused, t.Failed + c.Failed}
	}
	return sums
}
