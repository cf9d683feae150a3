package audit

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// MaxLine bounds a line, in bytes; that of a fold, which stands for a segment, may be maxFold.
const (
	MaxEntry = 64 << 10
	maxFold  = 4 << 20
)

// Stamp orders entries of several schedulers so that a cause comes before its effect: a hybrid logical clock (Kulkarni and
// others, "Logical Physical Clocks", OPODIS 2014). Wall is in Unix milliseconds and at least what the writer's own clock had
// said; no decision rests on it.
type Stamp struct {
	Wall int64  `json:"w"`
	Tick uint32 `json:"t,omitempty"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Tick, o.Tick))
}

// Clock makes stamps. The zero value is ready.
type Clock struct{ last Stamp }

// Now returns the stamp of an event at a time of the own wall clock, in Unix milliseconds, which may step back.
func (c *Clock) Now(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Tick++
	}
	return c.last
}

// Saw has all stamps from now on come after one that was heard.
func (c *Clock) Saw(heard Stamp) {
	if heard.Compare(c.last) > 0 {
		c.last = heard
	}
}

// Kinds of entries. One that is not listed is of another version of the program: it is kept, shown and chained, not judged.
const (
	Start    = "start"    // a process begins; Before is where the one before it on this disk ended
	Stop     = "stop"     // it ends as planned
	Proposed = "proposed" // an operator's epoch was handed in here
	Accepted = "accepted" // this member votes for an epoch
	InForce  = "in-force" // it knows that a majority did, or that a peer adopted it
	Adopted  = "adopted"  // it acts under an epoch from here on; From is who brought it
	Refused  = "refused"  // an epoch, or a peer's message
	Standing = "standing" // whether it may act, and why not
	Member   = "member"   // a peer as seen
	Command  = "command"  // an operator's: detach, attach, lame duck, settings read again
	List     = "list"     // the list of servers that it acts on
	Span     = "span"     // what it did since the last span, under one epoch
	Gap      = "gap"      // entries that could not be written
	Witness  = "witness"  // how far the records of peers were, as they reported, and how far their clocks are off
	Fold     = "fold"     // spans of a segment as sums
	Segment  = "segment"  // the first line of a file
	Amnesiac = "amnesiac" // the disk is older than what peers remember of this member: it does not vote
)

// ID names an epoch: no two contents have one. The zero value is none.
type ID struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest,omitempty"` // SHA-256 of the content, in hex
}

// String gives the number and the first digits of the digest.
func (id ID) String() string { return fmt.Sprintf("%d:%.8s", id.Number, id.Digest) }

// Head is how far a record is: the number of its last entry and the hash of its line.
type Head struct {
	Incarnation uint64 `json:"inc"`
	Seq         uint64 `json:"seq"`
	Hash        string `json:"hash,omitempty"`
}

// Count is what was done with the requests of one class.
type Count struct {
	Taken   int `json:"taken,omitempty"`
	Served  int `json:"served,omitempty"`
	Refused int `json:"refused,omitempty"`
	Failed  int `json:"failed,omitempty"`
}

// Seen is what a witness says of a peer.
type Seen struct {
	Head  Head  `json:"head"`
	OffMs int64 `json:"off_ms"` // the peer's monotonic clock less the own one, and how wrong that may be
	ErrMs int64 `json:"err_ms"`
}

// Entry is one line. Only what is given counts.
type Entry struct {
	Seq  uint64 `json:"seq"`
	At   Stamp  `json:"at"`
	Wall int64  `json:"wall"` // the writer's clock, in Unix milliseconds: shown, never trusted
	Mono int64  `json:"mono"` // its monotonic clock, in milliseconds since its start
	Kind string `json:"kind"`

	Epoch  *ID    `json:"epoch,omitempty"`
	Floor  uint64 `json:"floor,omitempty"`  // of that epoch: nobody is to act under an older one,
	Within int64  `json:"within,omitempty"` // from so many milliseconds after it is in force
	From   string `json:"from,omitempty"`
	Peer   string `json:"peer,omitempty"`
	State  string `json:"state,omitempty"`
	Why    string `json:"why,omitempty"`
	Acts   *bool  `json:"acts,omitempty"`

	Trust    int64             `json:"trust,omitempty"` // for so many milliseconds after messages with a majority a member is trusted
	Build    string            `json:"build,omitempty"`
	File     string            `json:"file,omitempty"`     // digest of the operator's file
	Settings string            `json:"settings,omitempty"` // digest of the platform's settings
	List     int64             `json:"list,omitempty"`     // seq of the list of servers
	Command  string            `json:"words,omitempty"`    // of a command
	Since    int64             `json:"since,omitempty"`    // Mono at which a span began
	Marked   bool              `json:"marked,omitempty"`
	Sent     int               `json:"sent,omitempty"`
	Classes  map[string]Count  `json:"classes,omitempty"`
	Lost     uint64            `json:"lost,omitempty"` // entries, of a gap
	Seen     map[string]Seen   `json:"seen,omitempty"`
	Before   *Head             `json:"before,omitempty"`
	Kept     []json.RawMessage `json:"kept,omitempty"` // of a fold: the entries that are no spans
	Upto     uint64            `json:"upto,omitempty"` // and the last entry that it stands for
	Spans    []Entry           `json:"spans,omitempty"`

	Name        string `json:"member,omitempty"` // of a segment
	Incarnation uint64 `json:"inc,omitempty"`
	Number      int    `json:"segment,omitempty"`
	Prev        string `json:"prev,omitempty"` // the hash that the first line is chained to
}

const hashSize = 16 // bytes kept of a hash

// chain is the hash of a line's text after another line's.
func chain(prev string, text []byte) string {
	h := sha256.New()
	h.Write([]byte(prev))
	h.Write(text)
	return hex.EncodeToString(h.Sum(nil)[:hashSize])
}

// appendLine writes an entry as a line after one of hash prev.
func appendLine(b []byte, prev string, e *Entry) (appended []byte, hash string, err error) {
	text, err := json.Marshal(e)
	if err != nil {
		return b, prev, fmt.Errorf("entry %d: %w", e.Seq, err)
	}
	if most := map[bool]int{true: maxFold, false: MaxEntry}[e.Kind == Fold]; len(text) > most-2*hashSize-2 {
		return b, prev, fmt.Errorf("entry %d: more than %d bytes", e.Seq, most)
	}
	hash = chain(prev, text)
	b = append(append(append(b, hash...), ' '), text...)
	return append(b, '\n'), hash, nil
}

// What may be wrong with a line.
var (
	errForm  = errors.New("no line of a record")
	errChain = errors.New("altered, or not after the line before")
)

// readLine reads a line, without its end.
func readLine(prev string, line []byte) (e *Entry, hash string, err error) {
	if len(line) < 2*hashSize+1 || line[2*hashSize] != ' ' {
		return nil, "", errForm
	}
	hash, text := string(line[:2*hashSize]), line[2*hashSize+1:]
	e = &Entry{}
	if err := json.Unmarshal(text, e); err != nil || e.Kind == "" {
		return nil, hash, errForm
	}
	if chain(prev, text) != hash {
		return e, hash, errChain
	}
	return e, hash, nil
}
