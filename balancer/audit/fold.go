package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
)

// fold reduces the member's files to at most Options.MaxBytes. It first replaces the spans of the oldest files by sums
// and, if that is not enough, removes the oldest files. It returns the resulting size.
func (l *Log) fold() int64 {
	files, err := memberFiles(l.options.Dir, l.options.Member)
	if err != nil {
		return l.figures.Bytes
	}
	total := int64(0)
	for _, f := range files {
		total += f.size
	}
	for pass := 0; pass < 2 && total > l.options.MaxBytes; pass++ {
		for _, f := range files {
			if total <= l.options.MaxBytes || f.path == l.path {
				break
			}
			folded := int64(0)
			if pass == 0 {
				if folded = foldFile(f.path); folded < 0 {
					continue // already folded, or damaged: a damaged file is kept for an investigation
				}
			} else if os.Remove(f.path) != nil {
				continue
			}
			total -= f.size - folded
		}
		if files, err = memberFiles(l.options.Dir, l.options.Member); err != nil {
			break
		}
	}
	return total
}

// foldFile atomically replaces a file by one with sums instead of spans, and returns the new size, or -1 if it left the
// file unchanged.
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

// peekPrev returns the hash that a file's first line names as its predecessor's, without a check.
func peekPrev(line []byte) string {
	var e Entry
	if len(line) > 2*hashSize {
		_ = json.Unmarshal(line[2*hashSize+1:], &e) // an invalid line yields ""
	}
	return e.Prev
}

// addSpan adds a span's counts to the sum for its epoch and mark.
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
